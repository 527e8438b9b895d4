package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/emulator"
)

// putOddEntries puts entries of another writer among those of the workers, and an odd
// key among the operator's requests. Each of them is valid but for one field.
func (s *deployment) putOddEntries(name string) {
	nested := strings.Repeat("[", 60_000) + strings.Repeat("]", 60_000)
	const valid = `{"Service":"pool","Address":"127.0.0.1:9","Zone":"z","State":"ready","Capacity":{"Cpu":8000,"MemMb":16000,"Gpu":0},"Labels":["a","r"],"born":5}`
	fields := []string{`"pool"`, `"127.0.0.1:9"`, `"z"`, `"ready"`, `8000`, `16000`, `0}`, `["a","r"]`, `5}`}
	for n, field := range fields {
		for m, value := range []string{nested, "1e300", "1e400", `"127.0.0.1:99999"`, "-1"} {
			end := strings.TrimLeft(field, `"abcdefghijklmnopqrstuvwxyz:.,[]0123456789`)
			s.store.Put("keyed.servers", fmt.Sprintf("%s-%d-%d", name, n, m), []byte(strings.Replace(valid, field, value+end, 1)))
		}
	}
	for _, key := range []string{name + "-\xff\xfe", name + "-\n", name + " "} {
		s.store.Put("keyed.servers", key, []byte(valid))
		s.store.Put("keyed.op", "evacuate/"+key, []byte("1"))
		s.store.Put("keyed.op", key, []byte(nested))
	}
}

// Guards against odd entries of another writer that end an instance, keep it from
// following the lists, break its connections to the others, or cost the other entries
// their effect: at the first read and while the lists are followed.
func TestOddEntriesOfAnotherWriter(t *testing.T) {
	s := newDeployment(t, 0, 3, shortTask)
	s.putOddEntries("first")
	for n := range 3 {
		s.start(fmt.Sprintf("inst-%d", n))
	}
	s.submit(s.instances[0], 1, 4)
	s.waitState(s.instances[1], 1, "completed")
	owner := s.owner()

	s.putOddEntries("later")
	s.submit(s.instances[1], 2, 4)
	s.waitState(s.instances[2], 2, "completed")
	// Later entries have effect.
	for _, w := range s.workers {
		s.store.Put("keyed.servers", w.ID, nil)
	}
	added := emulator.NewWorker("i-added", s.attempts)
	s.workers = append(s.workers, added)
	s.registerWorker(added, "ready")
	s.submit(s.instances[0], 3, 2)
	s.waitState(s.instances[1], 3, "completed")
	s.configure(2, map[string]any{"Name": "r2", "Host": queueHost, "PathPrefix": "/more/", "Service": "pool", "MaxAttempts": 1})
	for _, i := range s.instances {
		s.eventually("the new queue", func() bool {
			status, _ := s.call(i, http.MethodGet, "/more/", nil)
			return status == http.StatusOK
		})
	}
	qt.Check(t, s.owner(), qt.Equals, owner, qt.Commentf("the owner changed"))
}

package daemon

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/store"
)

// Guards against a new owner that starts tasks in an evacuated failure domain because it
// took over the set of evacuations while all records were read again.
func TestEvacuationsStayWhileTheyAreReadAgain(t *testing.T) {
	records := []store.Record{{Key: "evacuate/a", Value: []byte("{}")}, {Key: "config", Value: []byte("{}")}, {Key: "evacuate/b", Value: []byte("{}")}}
	r := newOperatorRequests()
	r.reset(records)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20000 {
			r.reset(records)
		}
	}()
	for reading := true; reading; {
		select {
		case <-done:
			reading = false
		default:
		}
		domains, _ := r.snapshot()
		qt.Assert(t, domains, qt.DeepEquals, []string{"a", "b"})
	}
	r.reset(records[:2])
	domains, _ := r.snapshot()
	qt.Assert(t, domains, qt.DeepEquals, []string{"a"})
}

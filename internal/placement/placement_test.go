package placement

import (
	"flag"
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"gooseberryreel/internal/remote"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func size(cpu int64) remote.Resources { return remote.Resources{CPUMilli: cpu, MemoryMiB: cpu} }

func randomState(t *rapid.T) *State {
	s := &State{MaxEvictions: 3, MaxSlowdown: 1.5, Quotas: map[string]remote.Resources{"a": size(5000)},
		Slowdown: func(_, job string, _ float64) float64 { return map[string]float64{"noisy": 1.4}[job] }}
	task := 0
	for i := range rapid.IntRange(1, 4).Draw(t, "workers") {
		w := Worker{Name: fmt.Sprint("w", i), Capacity: size(4000), Reserved: size(500), Services: []ServiceLoad{{Service: "web", Load: 0.5}},
			Unavailable: rapid.IntRange(0, 5).Draw(t, "unavailable") == 0, Leaving: rapid.IntRange(0, 5).Draw(t, "leaving") == 0}
		for range rapid.IntRange(0, 4).Draw(t, "tasks") {
			task++
			w.Tasks = append(w.Tasks, Task{Ref: remote.TaskRef{Job: fmt.Sprint("t", task), Attempt: 1}, Name: "quiet",
				Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), Needs: size(800), Urgent: rapid.Bool().Draw(t, "urgentTask"), Stopping: rapid.Bool().Draw(t, "stopping")})
		}
		s.Workers = append(s.Workers, w)
	}
	for i := range rapid.IntRange(0, 8).Draw(t, "queue") {
		s.Queue = append(s.Queue, Pending{ID: fmt.Sprint("j", i), Name: rapid.SampledFrom([]string{"quiet", "noisy"}).Draw(t, "name"),
			Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "jobTeam"), Urgent: rapid.IntRange(0, 3).Draw(t, "urgent") == 0,
			Needs: size(rapid.SampledFrom([]int64{300, 1500, 3500, 9000}).Draw(t, "needs"))})
	}
	return s
}

// Guards against plans that exceed the capacity of a worker or the quota of a
// team, start jobs on unavailable workers, evict urgent tasks or start a job
// twice.
func TestPlanKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := randomState(t)
		free := make(map[string]remote.Resources)
		byName := make(map[string]*Worker)
		team := make(map[string]remote.Resources)
		tasks := make(map[remote.TaskRef]Task)
		for i := range s.Workers {
			w := &s.Workers[i]
			byName[w.Name], free[w.Name] = w, w.Capacity.Sub(w.InUse())
			for _, task := range w.Tasks {
				team[task.Team] = team[task.Team].Add(task.Needs)
				tasks[task.Ref] = task
			}
		}
		jobs := make(map[string]Pending)
		for _, p := range s.Queue {
			jobs[p.ID] = p
		}
		plan := Reconcile(s)
		for _, start := range plan.Starts {
			p, ok := jobs[start.Job]
			if !ok {
				t.Fatalf("%s started twice", start.Job)
			}
			delete(jobs, start.Job)
			w := byName[start.Worker]
			if w.Leaving || w.Unavailable || !p.Needs.Fits(free[w.Name]) {
				t.Fatalf("%s can't start on %s", p.ID, w.Name)
			}
			free[w.Name] = free[w.Name].Sub(p.Needs)
			team[p.Team] = team[p.Team].Add(p.Needs)
			if p.Team == "a" && !team["a"].Fits(s.Quotas["a"]) {
				t.Fatalf("%s exceeds its team's quota", p.ID)
			}
		}
		for _, e := range plan.Evictions {
			if task := tasks[e.Ref]; task.Urgent || task.Stopping {
				t.Fatalf("evicts %+v", task)
			}
		}
	})
}

// Guards against placing a batch job on the worker of a service that it is known
// to slow down while another worker has capacity.
func TestRankingAvoidsInterference(t *testing.T) {
	s := &State{MaxSlowdown: 1.5, Slowdown: func(string, string, float64) float64 { return 1.2 }}
	s.Workers = []Worker{
		{Name: "busy", Capacity: size(9000), Services: []ServiceLoad{{Service: "web", Load: 0.9}}},
		{Name: "free", Capacity: size(9000)},
	}
	s.Queue = []Pending{{ID: "j", Name: "noisy", Needs: size(1000)}}
	qt.Assert(t, Reconcile(s).Starts, qt.DeepEquals, []Start{{Job: "j", Worker: "free"}})
}

// Guards against a first-fit baseline that ranks workers. It must choose the
// first accepting worker in the list, however highly it is utilized.
func TestFirstFitDoesNotRank(t *testing.T) {
	c := qt.New(t)
	needs := remote.Resources{CPUMilli: 1000, MemoryMiB: 1000}
	busy := Worker{
		Name: "busy", Capacity: remote.Resources{CPUMilli: 4000, MemoryMiB: 4000},
		Tasks: []Task{{Ref: remote.TaskRef{Job: "a", Attempt: 1}, Needs: needs}, {Ref: remote.TaskRef{Job: "b", Attempt: 1}, Needs: needs}},
	}
	idle := Worker{Name: "idle", Capacity: busy.Capacity}
	s := &State{Workers: []Worker{busy, idle}, Queue: []Pending{{ID: "j", Name: "j", Needs: needs}}}
	c.Assert(Reconcile(s).Starts, qt.DeepEquals, []Start{{Job: "j", Worker: "idle"}})
	s.FirstFit = true
	c.Assert(Reconcile(s).Starts, qt.DeepEquals, []Start{{Job: "j", Worker: "busy"}})
}

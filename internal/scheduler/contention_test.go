package scheduler

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gooseberryreel/internal/pb"
)

// contendedLoad is the load of a simulated site in which services hold most of the
// cores and are replaced all the time beside urgent short jobs and fillers.
type contendedLoad struct {
	workers int
	// serviceShare is the part of the cores that services want in the mean,
	// urgentShare that of urgent jobs.
	serviceShare, urgentShare float64
	duration                  time.Duration
	seed                      uint64
	takeovers                 time.Duration // between two takeovers, zero for none
}

// contendedResult is the outcome of a contended load.
type contendedResult struct {
	jobs                 int // urgent jobs
	onTime, late, lost   float64
	large, middle, small float64 // earned by the largest tenth, the fifth below it and the rest
	served               float64 // task-seconds of services at work, relative to those wanted
	longestWait          time.Duration
	meanWait             time.Duration
	fillers              int // filler jobs completed
	fillersOnTime        int
	used                 float64 // mean share of the CPUs requested
	starts               uint64  // sum of the hashes of all starts with their times
	heldBack             int     // services with tasks held back
}

func (r contendedResult) earned() float64 { return r.onTime + 0.15*r.late }

func (r contendedResult) String() string {
	return fmt.Sprintf("%d urgent jobs: %.3f on time, %.3f late, %.3f lost, earned %.3f (largest tenth %.3f, fifth below %.3f, rest %.3f); services %.4f at work; waits of new tasks %.1f s in the mean, %.1f s at most; %d fillers done, %d on time; %.3f used",
		r.jobs, r.onTime, r.late, r.lost, r.earned(), r.large, r.middle, r.small, r.served, r.meanWait.Seconds(), r.longestWait.Seconds(), r.fillers, r.fillersOnTime, r.used)
}

// urgentJob is an urgent job of a contended load.
type urgentJob struct {
	id        string
	work      []time.Duration // of the tasks of each step
	size      float64         // core-seconds
	submitted time.Time
	objective time.Duration
	finished  time.Time
}

type contendedService struct {
	submitted, cancelAt time.Time
	tasks               int
	started             map[int]time.Time
}

type contendedSite struct {
	contendedLoad
	sim                        *simulation
	rng                        *rand.Rand
	cores                      float64
	urgent                     map[string]*urgentJob
	fillers                    map[string]time.Time // due times of those that are not done
	services                   map[string]*contendedService
	serviceSteps               []*step
	next                       int
	due                        [3]float64
	burst                      float64
	burstEnd                   time.Time
	begin                      time.Time
	starts                     uint64 // see contendedResult
	fillersDone, fillersOnTime int
}

const (
	contendedWorkerCPU  = 16_000
	contendedServiceCPU = 3200
	contendedLife       = 70 * time.Second
	contendedWarmUp     = 15 * time.Second
)

// simulateContention runs a contended load.
func simulateContention(l contendedLoad, disabled disabledRules) contendedResult {
	site := newContendedSite(l, disabled)
	sim := site.sim
	var r contendedResult
	var wanted, working, used, samples float64
	tookOver := sim.now
	for sim.now.Sub(site.begin) < contendedWarmUp+l.duration {
		if l.takeovers > 0 && sim.now.Sub(tookOver) >= l.takeovers {
			tookOver = sim.now
			sim.takeOver()
		}
		counted := sim.now.Sub(site.begin) >= contendedWarmUp
		site.arrive(100 * time.Millisecond)
		for range 10 {
			sim.step()
			site.noteEnds()
		}
		if !counted {
			continue
		}
		samples++
		for _, s := range site.services {
			wanted += float64(s.tasks)
		}
		requested := int64(0)
		for _, sw := range sim.workers {
			for id := range sw.active {
				if s := site.services[id.Job]; s != nil {
					working++
					requested += contendedServiceCPU
				} else if site.urgent[id.Job] != nil {
					requested += 2000
				}
			}
		}
		used += float64(requested) / 1000 / site.cores
	}
	sim.run(6 * time.Second)
	site.noteEnds()
	r.served, r.used = working/wanted, used/samples
	site.countUrgent(&r)
	var waits time.Duration
	n := 0
	for _, s := range site.services {
		for i := range s.tasks {
			wait := sim.now.Sub(s.submitted)
			if at, found := s.started[i]; found {
				wait = at.Sub(s.submitted)
			}
			if s.submitted.Sub(site.begin) < contendedWarmUp {
				continue
			}
			n++
			waits += wait
			r.longestWait = max(r.longestWait, wait)
		}
	}
	r.meanWait = waits / time.Duration(max(n, 1))
	r.fillers, r.fillersOnTime, r.starts = site.fillersDone, site.fillersOnTime, site.starts
	for _, s := range site.serviceSteps {
		if s.heldBack {
			r.heldBack++
		}
	}
	return r
}

func newContendedSite(l contendedLoad, disabled disabledRules) *contendedSite {
	sim := newSimulation(l.seed, l.workers)
	sim.unchecked, sim.trace = true, nil
	sim.disabled, sim.core.disabled = disabled, disabled
	site := &contendedSite{contendedLoad: l, sim: sim, rng: rand.New(rand.NewPCG(l.seed, 3)), urgent: make(map[string]*urgentJob),
		fillers: make(map[string]time.Time), services: make(map[string]*contendedService), begin: sim.now}
	for n, sw := range sim.workers {
		sw.capacity = Resources{contendedWorkerCPU, 96_000, 0}
		if n%3 == 2 {
			sw.capacity.CPUMilli = contendedWorkerCPU * 3 / 2
		}
		sw.rack = fmt.Sprintf("r%d", n/8)
		site.cores += float64(sw.capacity.CPUMilli) / 1000
		sim.core.SetWorker(sw.entry(), sim.now)
	}
	queue := func(name string, priority int, stretch float64, allowance time.Duration) Queue {
		return Queue{Name: name, Pool: "s", Priority: priority, MaxAttempts: 3, Stretch: stretch, Allowance: allowance}
	}
	sim.config.Queues = []Queue{queue("urgent", 0, 1.5, 300*time.Millisecond), queue("batch", 2, 2, time.Second), queue("services", 0, 2, time.Second)}
	sim.taskFor = func(id AttemptID) simTask {
		h := fnv.New64a()
		fmt.Fprintln(h, id, sim.now.UnixNano())
		site.starts += h.Sum64()
		switch {
		case site.urgent[id.Job] != nil:
			return simTask{work: site.urgent[id.Job].work[id.Step]}
		case site.services[id.Job] != nil:
			s := site.services[id.Job]
			if _, found := s.started[id.Task]; !found {
				s.started[id.Task] = sim.now
			}
			return simTask{longRunning: true, latencyMS: 5}
		default:
			return simTask{work: 2300 * time.Millisecond}
		}
	}
	for range int(math.Round(l.serviceShare * site.cores / 44.8)) {
		site.submitService(time.Duration(site.rng.Float64() * float64(contendedLife)))
	}
	return site
}

// arrive cancels services and submits the jobs of a time span.
func (site *contendedSite) arrive(d time.Duration) {
	sim := site.sim
	at := sim.now.Sub(site.begin).Seconds()
	for _, id := range sortedKeys(site.services) {
		if s := site.services[id]; !s.cancelAt.After(sim.now) && s.tasks > 0 {
			sim.cancel(id)
			s.tasks = 0
		}
	}
	if sim.now.After(site.burstEnd) {
		site.burst = 1
		if site.rng.Float64() < d.Seconds()/25 {
			site.burst = 1.4 + 1.2*site.rng.Float64()
			site.burstEnd = sim.now.Add(time.Duration(3+4*site.rng.Float64()) * time.Second)
		}
	}
	wave := (1 + 0.55*math.Sin(2*math.Pi*at/13)) * site.burst
	rates := [3]float64{wave * site.urgentShare * site.cores / 22, 10.6 / 6528 * site.cores, site.serviceShare * site.cores / 44.8 / contendedLife.Seconds()}
	for kind, rate := range rates {
		site.due[kind] += rate * d.Seconds() * 2 * site.rng.Float64()
		for ; site.due[kind] >= 1; site.due[kind]-- {
			switch kind {
			case 0:
				site.submitUrgent()
			case 1:
				site.submitFiller()
			default:
				site.submitService(time.Duration(float64(contendedLife) * math.Exp(0.3*site.rng.NormFloat64())))
			}
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (site *contendedSite) newID(kind byte) string {
	site.next++
	return fmt.Sprintf("%c%015x", kind, site.next)
}

// width returns the number of tasks of a step.
func (site *contendedSite) width(mean float64) int32 {
	return int32(min(max(math.Round(mean*math.Exp(0.8*site.rng.NormFloat64()-0.32)), 1), 57))
}

func (site *contendedSite) submitUrgent() {
	j := &urgentJob{id: site.newID('a'), submitted: site.sim.now}
	sub := &pb.Submission{Id: j.id, Queue: "urgent", Service: "s", MaxAttempts: 3, Stretch: 1.5, TargetMs: 300}
	steps := 1
	if site.rng.Float64() < 0.6 {
		steps = 2
	}
	path := time.Duration(0)
	for n := range steps {
		work := time.Duration(0.54 * float64(time.Second) * math.Exp(0.5*site.rng.NormFloat64()-0.125))
		j.work = append(j.work, work)
		path += work
		spec := &pb.StepSpec{Tasks: site.width(10), CpuMilli: 2000, MemoryMib: 2000, EstimateMs: int64(float64(work.Milliseconds()) * math.Exp(0.2*site.rng.NormFloat64()))}
		if n > 0 {
			spec.After = []int32{0}
		}
		if site.rng.Float64() < 0.15 {
			spec.Spread = 2
		}
		j.size += float64(spec.Tasks) * 2 * work.Seconds()
		sub.Steps = append(sub.Steps, spec)
	}
	j.objective = time.Duration(1.5*float64(path)) + 300*time.Millisecond
	site.urgent[j.id] = j
	site.sim.submit(sub)
}

func (site *contendedSite) submitFiller() {
	id := site.newID('b')
	sub := &pb.Submission{Id: id, Queue: "batch", Service: "s", MaxAttempts: 3, Stretch: 2, TargetMs: 1000, Priority: 2}
	for n := range 2 {
		spec := &pb.StepSpec{Tasks: site.width(20), CpuMilli: 1800, MemoryMib: 1000, EstimateMs: int64(2300 * math.Exp(0.5*site.rng.NormFloat64())),
			Filler: true, Image: fmt.Sprintf("f%d", site.next%10), Checkpoints: true}
		if n > 0 {
			spec.After = []int32{0}
		}
		sub.Steps = append(sub.Steps, spec)
	}
	site.fillers[id] = site.sim.now.Add(10 * time.Second)
	site.sim.submit(sub)
}

func (site *contendedSite) submitService(life time.Duration) {
	id := site.newID('c')
	site.services[id] = &contendedService{submitted: site.sim.now, cancelAt: site.sim.now.Add(life), tasks: 14, started: make(map[int]time.Time)}
	site.sim.submit(&pb.Submission{Id: id, Queue: "services", Service: "s", MaxAttempts: 3, Stretch: 2, TargetMs: 1000, Steps: []*pb.StepSpec{{
		Tasks: 14, CpuMilli: contendedServiceCPU, MemoryMib: 3000, EstimateMs: 70_000, Lasting: true, Image: fmt.Sprintf("s%d", site.next%10), LatencyTargetMs: 22}}})
	site.serviceSteps = append(site.serviceSteps, site.sim.core.jobs[id].rounds[0].steps[0])
}

// noteEnds notes when urgent jobs and fillers are shown as completed.
func (site *contendedSite) noteEnds() {
	for id, due := range site.fillers {
		if site.sim.core.State(id) == pb.PublicState_PUBLIC_STATE_COMPLETED {
			site.fillersDone++
			if !site.sim.now.After(due) {
				site.fillersOnTime++
			}
			delete(site.fillers, id)
		}
	}
	for id, j := range site.urgent {
		if j.finished.IsZero() && site.sim.core.State(id) == pb.PublicState_PUBLIC_STATE_COMPLETED {
			j.finished = site.sim.now
		}
	}
}

// countUrgent adds the outcome of the urgent jobs after the warm-up.
func (site *contendedSite) countUrgent(r *contendedResult) {
	var jobs []*urgentJob
	for _, j := range site.urgent {
		if j.submitted.Sub(site.begin) >= contendedWarmUp {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *urgentJob) int { return cmp.Or(-cmp.Compare(a.size, b.size), cmp.Compare(a.id, b.id)) })
	r.jobs = len(jobs)
	all := float64(len(jobs))
	tenth, fifth := len(jobs)/10, len(jobs)/5
	for n, j := range jobs {
		earned := 0.0
		switch took := j.finished.Sub(j.submitted); {
		case j.finished.IsZero() || took > 3*j.objective:
			r.lost += 1 / all
		case took > j.objective:
			r.late += 1 / all
			earned = 0.15
		default:
			r.onTime += 1 / all
			earned = 1
		}
		switch {
		case n < tenth:
			r.large += earned / float64(tenth)
		case n < tenth+fifth:
			r.middle += earned / float64(fifth)
		default:
			r.small += earned / float64(len(jobs)-tenth-fifth)
		}
	}
}

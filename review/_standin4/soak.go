package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"gooseberryreel/internal/emulator"
	"gooseberryreel/internal/loopback"
)

// soak submits jobs of the kinds named in SHAPES and injects the disruptions named in KINDS,
// both drawn by SEED. It is no case of the review: it looks for broken rules.
func soak(p *platform, dir string, trouble bool) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	kinds := strings.Split(os.Getenv("KINDS"), ",")
	shapes := strings.Split(os.Getenv("SHAPES"), ",")
	load := 30 * time.Second
	if s, err := strconv.Atoi(os.Getenv("LOAD_S")); err == nil {
		load = time.Duration(s) * time.Second
	}
	perSecond := 3.0
	if f, err := strconv.ParseFloat(os.Getenv("RATE"), 64); err == nil {
		perSecond = f
	}
	if os.Getenv("SLOW") == "1" {
		p.clockSlow, p.stopTime = 0.02, 850*time.Millisecond
	}
	r := rand.New(rand.NewPCG(seed, 7))
	const workers = 16
	if os.Getenv("POOLS") == "1" {
		p.poolOf = func(id string) string { return []string{poolName, otherPool}[id[len(id)-1]%2] }
	}
	lives := make([]*worker, workers)
	for n := range workers {
		kind := "a"
		if n%3 == 0 {
			kind = "b"
		}
		lives[n] = p.startWorker(fmt.Sprintf("i-%08x", 0xa0+n), zones[n%3], fmt.Sprintf("r1-%d", n/4), kind, resources{32000, 128000, int64(n % 2 * 2)}, os.Getenv("GUARDS") == "1", "")
	}
	p.adviceMay = func(phase, id string) bool { return id[len(id)-1]%3 != phase[0]%3 || id > "i-000000ac" }
	list := p.deployment(dir, 3)
	defer closeAll(list)
	c := newClient(p, list)
	var jobs []*job
	var jobsMu sync.Mutex
	var group sync.WaitGroup
	stop := time.Now().Add(load)
	group.Go(func() {
		gen := rand.New(rand.NewPCG(seed, 9))
		for time.Now().Before(stop) {
			time.Sleep(time.Duration(gen.ExpFloat64() / perSecond * float64(time.Second)))
			j := randomJob(gen, shapes)
			jobsMu.Lock()
			jobs = append(jobs, j)
			jobsMu.Unlock()
			cancelAfter := time.Duration(0)
			if gen.IntN(12) == 0 || j.steps[0].LongRunning {
				cancelAfter = time.Duration(gen.IntN(3000)) * time.Millisecond
				if j.steps[0].LongRunning {
					cancelAfter = load
				}
			}
			group.Go(func() {
				if !c.submit(j) {
					return
				}
				if cancelAfter > 0 && !j.steps[0].LongRunning {
					time.Sleep(cancelAfter)
					c.cancel(j)
				}
			})
		}
	})
	if trouble && kinds[0] != "" {
		for time.Now().Before(stop) {
			p.disturb(r, kinds[r.IntN(len(kinds))], list, lives)
			time.Sleep(time.Duration(500+r.IntN(2500)) * time.Millisecond)
		}
	}
	group.Wait()
	p.logf("load over")
	// All disturbances are over. Everything has to finish.
	open := 0
	for until := time.Now().Add(25 * time.Second); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		open = 0
		for _, j := range jobs {
			p.mu.Lock()
			skip := j.acceptedAt.IsZero() || j.state == "completed" || j.state == "failed" || j.state == "aborted"
			p.mu.Unlock()
			if skip {
				continue
			}
			switch s := c.state(j); {
			case s == "completed" || s == "failed" || s == "aborted":
			case j.steps[0].LongRunning:
				p.mu.Lock()
				for n := range j.steps[0].Count {
					if len(p.running[taskName{j.id, 0, 0, n}.String()]) == 0 {
						open++
						break
					}
				}
				p.mu.Unlock()
			default:
				open++
			}
		}
		if open == 0 {
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, j := range jobs {
		if j.acceptedAt.IsZero() {
			continue
		}
		worst, gang := 0, 0
		for si, s := range j.steps {
			sum := 0
			for n := range s.Count {
				f := p.failed[taskName{j.id, 0, si, n}.String()]
				for k := range j.times {
					f = max(f, p.failed[taskName{j.id, k, si, n}.String()])
				}
				worst, sum = max(worst, f), sum+f
			}
			if s.Gang {
				gang = max(gang, sum)
			}
		}
		switch {
		case j.state == "failed" && worst < maxTries && gang < maxTries:
			p.violation("LOST", "%s is shown as failed, its tasks failed %d times at most", j.id, worst)
		case j.state == "aborted" && !j.cancelSent:
			p.violation("LOST", "%s is shown as aborted", j.id)
		case j.state == "completed":
			for si, s := range j.steps {
				for k := range max(j.times, 1) {
					for n := range s.Count {
						if name := (taskName{j.id, k, si, n}).String(); p.doneAt[name].IsZero() {
							p.violation("MIXED", "%s is completed without %s", j.id, name)
						}
					}
				}
			}
		case j.state == "failed" || j.state == "aborted":
		case j.steps[0].LongRunning:
			for n := range j.steps[0].Count {
				if len(p.running[taskName{j.id, 0, 0, n}.String()]) == 0 {
					p.violation("LOST", "%s.0.0.%d does not run", j.id, n)
				}
			}
		default:
			p.violation("LOST", "%s (%+v times %d advice %v) is %s", j.id, j.steps, j.times, j.advice, j.state)
		}
	}
	for name, runs := range p.running {
		t, _ := parseTask(name)
		j := p.jobs[t.job]
		for _, o := range runs {
			if !j.cancelledAt.IsZero() && time.Since(j.cancelledAt) > 8*time.Second {
				p.violation("UNASKED", "%s#%d still runs on %s", name, o.run.number, o.worker.id)
			} else if j.state == "completed" && time.Since(j.stateAt) > 8*time.Second {
				p.violation("UNASKED", "%s#%d still runs on %s though its job is completed", name, o.run.number, o.worker.id)
			}
		}
	}
	for _, i := range list {
		if i.exits > 0 {
			p.violation("EXIT", "%s ended by itself %d times", i.name, i.exits)
		}
	}
	p.logf("alone %d, jobs %d", p.alone, len(jobs))
	fmt.Printf("jobs %d, starts %d, alone %d\n", len(jobs), p.starts, p.alone)
}

func randomJob(r *rand.Rand, shapes []string) *job {
	j := &job{id: newID(r), prefix: plainQueue}
	base := step{Count: 1 + r.IntN(8), Cpu: int64(1000 + r.IntN(6000)), MemMb: int64(1000 + r.IntN(8000)), EstimateMs: int64(300 + r.IntN(1500))}
	j.steps = []step{base}
	if r.IntN(2) == 0 {
		next := base
		next.Count = 1 + r.IntN(5)
		next.After = []int{0}
		j.steps = append(j.steps, next)
	}
	each := func(f func(s *step)) {
		for i := range j.steps {
			f(&j.steps[i])
		}
	}
	for _, shape := range strings.Split(shapes[r.IntN(len(shapes))], "+") {
		switch shape {
		case "gang":
			each(func(s *step) { s.Gang = true; s.Checkpointing = r.IntN(2) == 0 })
		case "colocated":
			each(func(s *step) { s.Gang, s.Colocated = true, true })
		case "times":
			j.times, j.startAt, j.interval = 2+r.IntN(5), time.Now().UnixMilli()+int64(r.IntN(3000)), int64(200+r.IntN(2000))
		case "requires":
			each(func(s *step) { s.Requires = []string{"a", "b"}[r.IntN(2)] })
		case "spread":
			each(func(s *step) { s.AntiAffinity = 1 + r.IntN(2) })
		case "affinity":
			each(func(s *step) { s.Affinity = fmt.Sprintf("r1-%d", r.IntN(4)) })
		case "copies":
			each(func(s *step) { s.Speculative = true })
		case "saves":
			each(func(s *step) { s.Checkpointing = true })
		case "gpu":
			each(func(s *step) { s.Gpu = 1 })
		case "wide":
			each(func(s *step) { s.Count = 20 + r.IntN(40) })
		case "fills":
			each(func(s *step) { s.Fills, s.Image = true, "img" })
		case "lasts":
			j.steps = j.steps[:1]
			j.steps[0].LongRunning, j.steps[0].Image, j.steps[0].TargetMs, j.steps[0].MayMiss = true, "svc", 50, 1
		case "asked":
			j.prefix, j.advice = askQueue, true
		}
	}
	seed := r.Uint64()
	poison := r.IntN(40) == 0
	j.behaviour = func(t taskName, number int) (time.Duration, bool) {
		h := rand.New(rand.NewPCG(seed, uint64(t.step*1000+t.index+t.round*100000)))
		d := time.Duration(200+h.IntN(2000)) * time.Millisecond
		if t.step < len(j.steps) && j.steps[t.step].Gang {
			d = time.Duration(300+seed%1500) * time.Millisecond
		}
		if t.step < len(j.steps) && j.steps[t.step].LongRunning {
			return 0, false
		}
		return d, poison && t.index == 0 || number == 1 && h.IntN(30) == 0
	}
	return j
}

func (p *platform) disturb(r *rand.Rand, kind string, list []*process, lives []*worker) {
	i := list[r.IntN(len(list))]
	n := r.IntN(len(lives))
	w := lives[n]
	p.logf("disturbance %s: %s %s", kind, i.name, w.id)
	switch kind {
	case "crash", "reborn":
		w.crash()
		time.Sleep(time.Duration(200+r.IntN(2000)) * time.Millisecond)
		id, address := w.id, w.address
		if kind == "crash" {
			id, address = fmt.Sprintf("i-%08x", r.Uint32()), ""
		}
		lives[n] = p.startWorker(id, w.zone, w.rack, w.kind, w.capacity, w.guards, address)
		if kind == "crash" {
			old := w
			time.AfterFunc(4500*time.Millisecond, func() { p.store.Put("keyed.servers", old.id, nil) })
		}
	case "lost", "late", "slowanswer":
		f, share := faultLoseAnswer, 0.2
		if kind == "slowanswer" {
			f, share = faultSlowAnswer, 0.3
		}
		if kind == "late" {
			f, share = faultLate, 0.06
		}
		var mu sync.Mutex
		choose := func(string, command) (fault, time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			if r.Float64() < share {
				if f == faultSlowAnswer {
					return f, time.Duration(100+r.IntN(1500)) * time.Millisecond
				}
				return f, time.Duration(2000+r.IntN(10000)) * time.Millisecond
			}
			return faultNone, 0
		}
		p.setChoose(lives, choose)
		time.Sleep(5 * time.Second)
		p.setChoose(lives, nil)
	case "dark":
		p.setChoose([]*worker{w}, func(string, command) (fault, time.Duration) { return faultDrop, 0 })
		p.mu.Lock()
		w.silent = true
		p.mu.Unlock()
		time.Sleep(time.Duration(1000+r.IntN(8000)) * time.Millisecond)
		p.setChoose([]*worker{w}, nil)
		p.mu.Lock()
		w.silent = false
		p.mu.Unlock()
		w.register()
	case "kill":
		i.signal(syscall.SIGKILL)
	case "killall":
		for _, o := range list {
			o.signal(syscall.SIGKILL)
		}
	case "killtwo":
		for range 4 {
			list[r.IntN(len(list))].signal(syscall.SIGKILL)
			time.Sleep(time.Duration(300+r.IntN(1500)) * time.Millisecond)
		}
	case "othkind":
		w.crash()
		time.Sleep(time.Duration(50+r.IntN(600)) * time.Millisecond)
		kind := "a"
		if w.kind == "a" {
			kind = "b"
		}
		lives[n] = p.startWorker(w.id, w.zone, w.rack, kind, resources{16000 + int64(r.IntN(16000)), 64000, int64(r.IntN(3))}, w.guards, w.address)
	case "drain":
		p.mu.Lock()
		w.draining = true
		p.mu.Unlock()
		w.register()
		time.Sleep(time.Duration(3500+r.IntN(4000)) * time.Millisecond)
		w.crash()
		p.store.Put("keyed.servers", w.id, nil)
		lives[n] = p.startWorker(fmt.Sprintf("i-%08x", r.Uint32()), w.zone, w.rack, w.kind, w.capacity, w.guards, "")
	case "term":
		i.signal(syscall.SIGTERM)
	case "freeze":
		i.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(1000+r.IntN(3000)) * time.Millisecond)
		i.signal(syscall.SIGCONT)
	case "cut":
		_ = i.proxy.SetMode(loopback.Stall)
		time.Sleep(time.Duration(2000+r.IntN(4000)) * time.Millisecond)
		_ = i.proxy.SetMode(loopback.Forward)
	case "slowstore":
		p.store.SetLatency(240 * time.Millisecond)
		time.Sleep(5 * time.Second)
		p.store.SetLatency(0)
	case "storelost", "storelate", "partsdown":
		f := emulator.FaultLoseResponse
		if kind == "storelate" {
			f = emulator.FaultDelayed
		}
		for _, o := range list {
			if kind == "partsdown" {
				o.endpoint.InjectPartitions(func(_ string, part int) emulator.Fault {
					if part%3 == n%3 {
						return emulator.FaultUnavailable
					}
					return emulator.FaultNone
				})
				continue
			}
			var mu sync.Mutex
			o.endpoint.Inject(func(path string) emulator.Fault {
				mu.Lock()
				defer mu.Unlock()
				if path == "/log-append" && r.Float64() < 0.3 {
					return f
				}
				return emulator.FaultNone
			})
		}
		time.Sleep(5 * time.Second)
		for _, o := range list {
			o.endpoint.Inject(nil)
			o.endpoint.InjectPartitions(nil)
		}
	case "movequeue":
		p.plainPool = otherPool
		p.publishConfig()
		time.Sleep(time.Duration(200+r.IntN(3000)) * time.Millisecond)
		p.plainPool = poolName
		p.publishConfig()
	case "config":
		p.publishConfig()
	case "noqueue":
		p.publishConfig(p.routes()[:1]...)
		time.Sleep(time.Second)
		p.publishConfig()
	}
}

func (p *platform) setChoose(list []*worker, choose func(string, command) (fault, time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range list {
		w.choose = choose
	}
}

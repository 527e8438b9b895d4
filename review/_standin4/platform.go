package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"gooseberryreel/internal/emulator"
)

const (
	poolName   = "pool"
	otherPool  = "pool-b"
	queueHost  = "pick.example"
	plainQueue = "/plain/"
	askQueue   = "/asked/"
	maxTries   = 3
)

type resources struct{ cpu, mem, gpu int64 }

func (r resources) add(o resources) resources {
	return resources{r.cpu + o.cpu, r.mem + o.mem, r.gpu + o.gpu}
}

func (r resources) fitsIn(o resources) bool {
	return r.cpu <= o.cpu && r.mem <= o.mem && r.gpu <= o.gpu
}

type taskName struct {
	job         string
	round, step int
	index       int
}

func (t taskName) String() string { return fmt.Sprintf("%s.%d.%d.%d", t.job, t.round, t.step, t.index) }

func (t taskName) phase() string { return fmt.Sprintf("%s.%d.%d", t.job, t.round, t.step) }

func parseTask(s string) (taskName, bool) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return taskName{}, false
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return taskName{}, false
		}
		n[i] = v
	}
	return taskName{parts[0], n[0], n[1], n[2]}, true
}

// step is a step as a client submits it.
type step struct {
	Count         int
	Cpu           int64
	MemMb         int64
	Gpu           int64 `json:",omitempty"`
	EstimateMs    int64
	After         []int  `json:",omitempty"`
	Checkpointing bool   `json:",omitempty"`
	Gang          bool   `json:",omitempty"`
	Colocated     bool   `json:",omitempty"`
	Requires      string `json:",omitempty"`
	Affinity      string `json:",omitempty"`
	AntiAffinity  int    `json:",omitempty"`
	Speculative   bool   `json:",omitempty"`
	LongRunning   bool   `json:",omitempty"`
	Image         string `json:",omitempty"`
	TargetMs      int64  `json:",omitempty"`
	Fills         bool   `json:",omitempty"`
	MayMiss       int    `json:",omitempty"`
}

func (s step) size() resources { return resources{s.Cpu, s.MemMb, s.Gpu} }

// job is a submission with what its client has seen.
type job struct {
	id       string
	prefix   string
	advice   bool
	steps    []step
	times    int
	startAt  int64
	interval int64
	// behaviour returns how long a run takes and whether it fails then.
	behaviour func(t taskName, number int) (time.Duration, bool)

	acceptedAt  time.Time
	cancelledAt time.Time
	cancelSent  bool
	state       string
	stateAt     time.Time
}

type live struct {
	worker *worker
	run    *run
}

// platform holds the state that all stand-ins share, and the checks.
type platform struct {
	store  *emulator.Store
	record *os.File
	began  time.Time

	mu         sync.Mutex
	workers    []*worker
	jobs       map[string]*job
	running    map[string][]live // by task
	doneNoted  map[string]bool
	doneAt     map[string]time.Time
	failed     map[string]int
	violations []string
	tickets    map[string]ticket // by ticket text
	adviceMay  func(phase, worker string) bool
	ticketMs   int64
	decideMs   int64
	eachMs     int64
	starts     int
	version    int
	logMu      sync.Mutex
	lastRun    map[string]time.Time // by job, end of the newest run
	ends       []*doneEnd
	startsOf   map[string][]time.Time // starts by task, without copies
	clockSlow  float64
	statusS    float64
	poolOf     func(id string) string
	plainPool  string // of the plain queue
	// onEnd, if not nil, is called for each end.
	onEnd       func(w *worker, r *run, how string)
	orderedAway map[int]bool // tasks that an order has ended
	// bounded puts a server in front of the store that bounds its responses by their bytes.
	bounded     bool
	memoryKills int
	mostMiB     int
	stopTime    time.Duration
	alone       int
}

// doneEnd is the done end of a run that the scheduler may take note of.
type doneEnd struct {
	worker *worker
	number int64
	task   taskName
	at     time.Time
	lapsed bool // the worker's lease has lapsed since
}

type ticket struct {
	phase  string
	worker *worker
	until  time.Time
}

func newPlatform(record *os.File) *platform {
	return &platform{
		store: emulator.NewStore(), record: record, began: time.Now(), jobs: make(map[string]*job), running: make(map[string][]live), doneNoted: make(map[string]bool),
		doneAt: make(map[string]time.Time), failed: make(map[string]int), tickets: make(map[string]ticket), ticketMs: 3000, decideMs: 150, eachMs: 10,
		lastRun: make(map[string]time.Time), startsOf: make(map[string][]time.Time), stopTime: 40 * time.Millisecond, statusS: 120, poolOf: func(string) string { return poolName }, plainPool: poolName, orderedAway: make(map[int]bool),
	}
}

func (p *platform) logf(format string, args ...any) {
	p.logMu.Lock()
	defer p.logMu.Unlock()
	fmt.Fprintf(p.record, "%7.3f  %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, args...))
}

func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	os.Exit(2)
}

// violation records a broken rule. The caller may hold p.mu.
func (p *platform) violation(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	p.violations = append(p.violations, text)
	p.logf("BROKEN %s", text)
}

// advance lets the runs of all workers go on until the process ends.
func (p *platform) advance() {
	for {
		time.Sleep(10 * time.Millisecond)
		p.mu.Lock()
		for _, w := range p.workers {
			w.advance()
		}
		p.mu.Unlock()
	}
}

// publishConfig writes a new version of the configuration.
func (p *platform) publishConfig(routes ...map[string]any) {
	p.mu.Lock()
	p.version += 3
	version := p.version
	p.mu.Unlock()
	if len(routes) == 0 {
		routes = p.routes()
	}
	err := p.store.PutJSON("keyed.op", "config", map[string]any{
		"Version": version, "Routes": routes,
		"Services": []any{service(poolName), service(otherPool)},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		fatal("config: %v", err)
	}
	p.logf("config %d", version)
}

func service(name string) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/healthz", "MaxConns": 64, "Protocol": "h1", "Tls": false, "EnforcesCapacity": false, "Standby": false}
}

func (p *platform) routes() []map[string]any {
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"Name": name, "Host": queueHost, "PathPrefix": prefix, "Kind": "non_idempotent", "TimeoutMs": 3000, "TargetDurationMs": 1000, "Priority": 0,
			"Service": poolName, "MaxAttempts": maxTries, "StretchFactor": 2.0,
		}
	}
	asked := route("r-asked", askQueue)
	asked["Advice"] = map[string]any{"DecideMs": p.decideMs, "EachMs": p.eachMs, "ValidMs": p.ticketMs}
	plain := route("r-plain", plainQueue)
	plain["Service"] = p.plainPool
	return []map[string]any{plain, asked}
}

// The methods below are called with p.mu held.

func (p *platform) started(w *worker, r *run, c command, j *job, s step) {
	p.starts++
	t := r.task
	name := t.String()
	p.logf("start %s#%d on %s token %d", name, r.number, w.id, c.FencingToken)
	if c.Spec != j.id {
		p.violation("UNASKED", "%s#%d started with another Spec", name, r.number)
	}
	if !s.Speculative {
		for _, o := range p.running[name] {
			p.violation("TWICE", "%s#%d starts on %s while #%d runs on %s", name, r.number, w.id, o.run.number, o.worker.id)
		}
		if p.doneNoted[name] {
			p.violation("TWICE", "%s#%d starts on %s after its done end was taken note of", name, r.number, w.id)
		}
	}
	p.running[name] = append(p.running[name], live{w, r})
	p.startsOf[name] = append(p.startsOf[name], time.Now())
	if !w.guards && !w.used().fitsIn(w.capacity) {
		p.violation("LIMIT", "%s#%d brings %s over its capacity", name, r.number, w.id)
	}
	for _, earlier := range s.After {
		e := j.steps[earlier]
		for i := range e.Count {
			if p.doneAt[taskName{t.job, t.round, earlier, i}.String()].IsZero() {
				p.violation("ORDER", "%s#%d starts before step %d is done", name, r.number, earlier)
				break
			}
		}
	}
	if j.times > 0 {
		due := time.UnixMilli(j.startAt + int64(t.round)*j.interval)
		if early := time.Until(due); early > 250*time.Millisecond {
			p.violation("ORDER", "%s#%d starts %v before its time", name, r.number, early)
		}
	}
	if !w.drainAt.IsZero() && time.Since(w.drainAt) > 2*time.Second {
		p.violation("DRAIN", "%s#%d starts on %s %v after it reported that it drains", name, r.number, w.id, time.Since(w.drainAt))
	}
	if s.Requires != "" && s.Requires != w.kind && s.Requires != w.rack {
		p.violation("ROUTE", "%s#%d starts on %s without label %s", name, r.number, w.id, s.Requires)
	}
	if s.AntiAffinity > 0 {
		n := 0
		for _, o := range w.active {
			if o.task.phase() == t.phase() {
				n++
			}
		}
		if n > s.AntiAffinity {
			p.violation("ROUTE", "%s#%d is one of %d tasks of its step on %s", name, r.number, n, w.id)
		}
	}
	if !s.LongRunning && p.failed[name] >= maxTries {
		p.violation("BUDGET", "%s#%d starts after %d runs have failed", name, r.number, p.failed[name])
	}
	if !j.cancelledAt.IsZero() && time.Since(j.cancelledAt) > 3*time.Second {
		p.violation("UNASKED", "%s#%d starts %v after the cancellation was acknowledged", name, r.number, time.Since(j.cancelledAt))
	}
}

func (p *platform) dropRunning(w *worker, r *run) {
	name := r.task.String()
	kept := p.running[name][:0]
	for _, o := range p.running[name] {
		if o.run != r {
			kept = append(kept, o)
		}
	}
	p.running[name] = kept
	p.lastRun[r.task.job] = time.Now()
}

func (p *platform) ended(w *worker, r *run, how string) {
	p.dropRunning(w, r)
	name := r.task.String()
	p.logf("end %s#%d on %s %s", name, r.number, w.id, how)
	if p.onEnd != nil {
		p.onEnd(w, r, how)
	}
	s := p.jobs[r.task.job].steps[r.task.step]
	switch how {
	case "done":
		p.ends = append(p.ends, &doneEnd{worker: w, number: w.lastEnd, task: r.task, at: time.Now()})
		if s.Gang {
			for i := range s.Count {
				o := r.task
				o.index = i
				p.doneAt[o.String()] = time.Now()
			}
		} else {
			p.doneAt[name] = time.Now()
		}
	case "failed":
		p.failed[name]++
	case "alone":
		p.alone++
	}
	if s.Gang && how != "done" {
		p.gangBroken(r)
	}
}

// noted is called when the scheduler has taken note of an end.
func (p *platform) noted(w *worker, e end) {
	if e.how != "done" {
		return
	}
	for _, d := range p.ends {
		if d.worker != w || d.number != e.number || d.lapsed {
			continue
		}
		j := p.jobs[d.task.job]
		s := j.steps[d.task.step]
		for i := range s.Count {
			t := d.task
			t.index = i
			if !s.Gang && t != d.task || s.Speculative {
				continue
			}
			name := t.String()
			for _, at := range p.startsOf[name] {
				if at.After(d.at) {
					p.violation("TWICE", "%s was started %v after a run had ended done on %s, of which note is taken now", name, at.Sub(d.at), w.id)
				}
			}
			p.doneNoted[name] = true
		}
	}
}

// lost is called for a run that ends with its worker.
func (p *platform) lost(w *worker, r *run) {
	p.dropRunning(w, r)
	p.logf("lost %s#%d with %s", r.task, r.number, w.id)
	if p.jobs[r.task.job].steps[r.task.step].Gang {
		p.gangBroken(r)
	}
}

func (p *platform) members(r *run) []live {
	var list []live
	s := p.jobs[r.task.job].steps[r.task.step]
	for i := range s.Count {
		t := r.task
		t.index = i
		for _, o := range p.running[t.String()] {
			if o.run.number == r.number {
				list = append(list, o)
			}
		}
	}
	return list
}

func (p *platform) gangPresent(r *run, count int) bool { return len(p.members(r)) >= count }

func (p *platform) gangBegins(r *run) {
	saved, first := "", true
	for _, m := range p.members(r) {
		if first {
			saved, first = m.run.saved, false
		} else if m.run.saved != saved {
			p.violation("UNASKED", "members of %s#%d start with different checkpoints", r.task.phase(), r.number)
		}
		m.run.present = true
		m.run.advanced = time.Now()
	}
	p.logf("gang %s#%d complete", r.task.phase(), r.number)
}

func (p *platform) gangDone(r *run) {
	for _, m := range p.members(r) {
		m.worker.end(m.run, "done")
	}
}

func (p *platform) gangBroken(r *run) {
	if !r.present {
		return
	}
	for _, m := range p.members(r) {
		if m.run != r {
			m.run.present = false
			m.worker.end(m.run, "broken")
		}
	}
}

func (p *platform) ticketValid(t taskName, w *worker, text string) bool {
	k, found := p.tickets[text]
	return found && k.phase == t.phase() && k.worker == w && time.Now().Before(k.until)
}

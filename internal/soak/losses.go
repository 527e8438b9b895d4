package soak

import (
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"gooseberryreel/internal/loopback"
)

// lossKinds are losses of the busiest worker, or of the instance that owns the job state,
// until the next series of losses or for good.
var lossKinds = []Kind{WorkerLostResets, WorkerLostDark, WorkerLostRefuses, OwnerLost, OwnerLostDark}

// lossModes are how the addresses of lost workers behave.
var lossModes = map[Kind]loopback.Mode{WorkerLostResets: loopback.ResetRequests, WorkerLostDark: loopback.Stall, WorkerLostRefuses: loopback.Refuse}

const (
	// lossSeriesGap is the least time between the starts of two series of losses. Most of
	// a run without other kinds is calm, so that late restarts show.
	lossSeriesGap = 20 * time.Second
	// lossReturn is the time from the return of what a series took to the next series.
	lossReturn = time.Second
	// ownerWait is how long a loss waits for an owner.
	ownerWait = 3 * time.Second
	// minInstances are never lost.
	minInstances = 2
)

// planLosses returns the series of losses of a seed. A series takes some workers, within
// a few seconds, and up to two owners, at the same time as the workers or later.
func planLosses(o Options) (faults []Fault) {
	rng := rand.New(rand.NewPCG(o.Seed, 5))
	upTo := func(d time.Duration) time.Duration { return time.Duration(rng.Float64() * float64(d)) }
	for at := time.Second + upTo(2*time.Second); at < o.Duration-faultFreeTail; {
		next := at + lossSeriesGap + upTo(4*time.Second)
		add := func(after time.Duration, kind Kind, short bool) {
			f := Fault{At: at + after, Kind: kind}
			if short {
				f.For = 300*time.Millisecond + upTo(2*time.Second)
			} else if next < o.Duration-faultFreeTail {
				f.For = next - f.At - lossReturn
			}
			faults = append(faults, f)
		}
		for range min(1+rng.IntN(3), o.Workers/3) {
			add(upTo(4*time.Second)*time.Duration(rng.IntN(2)), lossKinds[rng.IntN(3)], false)
		}
		after := upTo(6*time.Second) * time.Duration(rng.IntN(3)) / 2
		for range rng.IntN(3) {
			add(after, lossKinds[3+rng.IntN(2)], rng.IntN(3) == 0)
			after += 2500*time.Millisecond + upTo(3500*time.Millisecond)
		}
		at = next
	}
	return faults
}

func (k Kind) isLoss() bool { return slices.Contains(lossKinds, k) }

// lose starts a loss and returns the function that ends it. What is lost comes back as a
// new worker or a new process.
func (d *deployment) lose(f Fault) (end func()) {
	if mode, ok := lossModes[f.Kind]; ok {
		return d.loseWorker(f, mode)
	}
	var lost *process
	chosen := make(chan struct{})
	d.crashes.Go(func() {
		defer close(chosen)
		for end := time.Now().Add(ownerWait); lost == nil && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			lost = d.owner()
		}
		if lost != nil {
			defer d.disturb("%s: %s", f.Kind, lost.name)()
			lost.lose(f.Kind == OwnerLostDark)
		}
	})
	return func() {
		if <-chosen; lost != nil {
			lost.comeBack()
		}
	}
}

func (d *deployment) loseWorker(f Fault, mode loopback.Mode) (end func()) {
	d.mu.Lock()
	lost := -1
	for n, w := range d.workers {
		if w.Worker != nil && (lost < 0 || w.ActiveAttempts() > d.workers[lost].ActiveAttempts()) {
			lost = n
		}
	}
	d.mu.Unlock()
	w := d.workers[lost]
	w.restarting.Lock()
	defer w.restarting.Unlock()
	d.mu.Lock()
	worker, proxy := w.Worker, w.proxy
	w.Worker = nil
	w.lives++
	d.mu.Unlock()
	defer d.disturb("%s: %s", f.Kind, worker.ID)()
	d.setProxyMode(proxy, mode)
	worker.Close()
	d.removeEntryLater(worker.ID, entryTTL)
	return func() {
		if err := d.startWorker(lost); err != nil {
			d.addFinding("soak: start worker: %v", err)
		}
	}
}

// isLost reports whether a worker is lost and has not come back.
func (d *deployment) isLost(n int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.workers[n].Worker == nil
}

// owner returns the instance that owns the job state by its own metrics, and nil if there
// is none or too few others are left.
func (d *deployment) owner() (owner *process) {
	client := &http.Client{Timeout: 200 * time.Millisecond}
	defer client.CloseIdleConnections()
	left := 0
	for _, p := range d.processes {
		if p.isAway() {
			continue
		}
		left++
		resp, err := client.Get("http://" + p.metricsAddress + "/metrics")
		if err != nil {
			continue
		}
		body, _ := io.ReadAll(resp.Body) // without the whole body the instance isn't known as the owner
		_ = resp.Body.Close()
		if strings.Contains(string(body), "ownership_held 1\n") {
			owner = p
		}
	}
	if left <= minInstances {
		return nil
	}
	return owner
}

// lose ends the process without a restart. A dark one answers nothing while its
// connections stay open.
func (p *process) lose(dark bool) {
	sig := syscall.SIGKILL
	if dark {
		sig = syscall.SIGSTOP
	}
	p.signal(sig, true)
	p.setAway(true)
}

// comeBack starts a process after lose.
func (p *process) comeBack() {
	p.setAway(false)
	p.signal(syscall.SIGKILL, true) // a dark one still exists
}

func (p *process) setAway(away bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.away = away
}

func (p *process) isAway() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.away
}

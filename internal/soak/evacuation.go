package soak

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"gooseberryreel/internal/emulator"
)

const (
	// domains is the number of failure domains.
	domains = 3
	// evacuationBound is the setting evacuate_ms of the processes.
	evacuationBound = 5 * time.Second
	// evacuationGap is the mean time between the starts of evacuations, which overlap.
	evacuationGap = 4 * time.Second
	// coldTime is how long the workers of every second domain that returns are slow.
	coldTime = 2 * time.Second
)

// evacuation is the evacuation of a failure domain.
type evacuation struct {
	domain   string
	from, to time.Time // acknowledged and taken back; to is zero while it lasts
}

// domainOf returns the failure domain of the worker or the instance with a number.
func domainOf(n int) string { return fmt.Sprintf("z%d", n%domains) }

// planEvacuations returns the evacuations of a seed. They are drawn apart from the other
// kinds, so that the seeds of runs from before them keep their faults. None outlasts the
// plan.
func planEvacuations(o Options) []Fault {
	rng := rand.New(rand.NewPCG(o.Seed, 3))
	var faults []Fault
	for at := time.Second; at < o.Duration-faultFreeTail; at += time.Duration(rng.ExpFloat64() * float64(evacuationGap)) {
		f := Fault{At: at, For: time.Duration(float64(10*time.Second) * (0.1 + rng.Float64())), Kind: DomainEvacuated, Target: rng.IntN(domains)}
		f.For = min(f.For, o.Duration-f.At)
		faults = append(faults, f)
	}
	return faults
}

// evacuateDomain requests the evacuation of a failure domain and returns the function
// that takes the request back. The workers of every second domain return cold.
func (d *deployment) evacuateDomain(f Fault) func() {
	domain := domainOf(f.Target)
	d.mu.Lock()
	for _, e := range d.evacuations {
		if e.domain == domain && e.to.IsZero() {
			d.mu.Unlock()
			return func() {}
		}
	}
	e := &evacuation{domain: domain}
	d.evacuations = append(d.evacuations, e)
	cold := len(d.evacuations)%2 == 0
	d.mu.Unlock()
	d.putRecord("keyed.op", "evacuate/"+domain, struct{}{})
	d.mu.Lock()
	e.from = time.Now()
	d.mu.Unlock()
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if cold {
			d.returnCold(domain)
		}
		e.to = time.Now()
		d.store.Put("keyed.op", "evacuate/"+domain, nil)
	}
}

// returnCold makes the workers of a failure domain slow for coldTime. The caller holds
// d.mu.
func (d *deployment) returnCold(domain string) {
	publish := func() {
		for _, w := range d.workers {
			if w.domain == domain && w.Worker != nil {
				state := "ready"
				if w.leaving {
					state = "draining"
				}
				d.publishWorker(w, state)
			}
		}
	}
	for _, w := range d.workers {
		if w.domain == domain && w.Worker != nil {
			w.SetCold(coldTime)
		}
	}
	publish()
	d.crashes.Go(func() {
		time.Sleep(coldTime)
		d.mu.Lock()
		defer d.mu.Unlock()
		publish()
	})
}

// checkEvacuation returns a finding if a start came later than the bound of an
// evacuation of its worker's failure domain.
func (d *deployment) checkEvacuation(start emulator.TaskStart) (findings []string) {
	number, _, _ := strings.Cut(strings.TrimPrefix(start.Worker, "i-"), "-")
	n, err := strconv.Atoi(number)
	if err != nil {
		return []string{fmt.Sprintf("soak: worker id %q: %v", start.Worker, err)}
	}
	for _, e := range d.evacuations {
		if e.domain == domainOf(n) && start.At.Sub(e.from) > evacuationBound && start.At.Before(e.to) {
			findings = append(findings, fmt.Sprintf("%s attempt %d started on %s %v after the evacuation of %s was acknowledged",
				start.Task, start.Attempt, start.Worker, start.At.Sub(e.from), e.domain))
		}
	}
	return findings
}

// longEvacuations returns the number of evacuations that lasted longer than their bound.
func (d *deployment) longEvacuations() int {
	n := 0
	for _, e := range d.evacuations {
		if e.to.Sub(e.from) > evacuationBound {
			n++
		}
	}
	return n
}

package scheduler

import "gooseberryreel/internal/interference"

// role is what the tasks of a step are to the others on their worker. It is determined
// once, so that what it implies can't disagree: only a step that fills has an index among
// the fillers of the interference model, and only one that serves has one among the
// services. A long-running step may do both.
type role struct {
	fills    bool // uses CPU that others leave
	filler   interference.Filler
	serves   bool // lasts and has a latency target
	service  interference.Service
	targetMs int64 // positive if it serves
}

// roleOf returns the role of a step. It adds its image to the interference model.
func (c *Core) roleOf(s *step) role {
	r := role{fills: s.spec.GetFiller()}
	c.forgetImages(s.round)
	if r.fills {
		r.filler = c.model.FillerIndex(s.spec.GetImage())
	}
	if target := s.spec.GetLatencyTargetMs(); s.longRunning() && target > 0 {
		r.serves, r.targetMs = true, target
		r.service = c.model.ServiceIndex(s.spec.GetImage())
	}
	return r
}

// forgetImagesInterval is the number of steps that are opened between two attempts to
// forget images.
const forgetImagesInterval = 32

// forgetImages forgets images that no step of an open round has, if the interference model
// has no index left. A round that is being opened is in no list yet.
func (c *Core) forgetImages(opening *round) {
	if c.rolesMade++; !c.model.Full() || c.rolesMade%forgetImagesInterval != 0 {
		return
	}
	services, fillers := make(map[interference.Service]bool), make(map[interference.Filler]bool)
	mark := func(r *round) {
		for _, s := range r.steps {
			services[s.role.service] = services[s.role.service] || s.role.serves
			fillers[s.role.filler] = fillers[s.role.filler] || s.role.fills
		}
	}
	mark(opening)
	for _, j := range c.jobs {
		for _, r := range j.rounds {
			mark(r)
		}
	}
	for _, w := range c.workerList {
		for _, p := range w.pastFillers {
			fillers[p.image] = true
		}
	}
	c.model.Forget(func(s interference.Service) bool { return services[s] }, func(f interference.Filler) bool { return fillers[f] })
}

func (s *step) filler() bool { return s.role.fills }

// serving reports whether an attempt belongs to a service: a long-running task with
// a latency target.
func (a *attempt) serving() bool { return a.step().role.serves }

// ownWeight returns how much a service that fills raises its own utilization in the
// model's terms at a share of the worker's CPU, zero if it doesn't fill. Its own load
// covers that already.
func (a *attempt) ownWeight(model *interference.LatencyModel, part float64) float64 {
	if !a.serving() || !a.step().filler() {
		return 0
	}
	return model.Weight(a.step().role.service, a.step().role.filler) * part
}

// fillersBeside reports whether fillers other than the attempt itself are on its worker.
func (a *attempt) fillersBeside() bool {
	w := a.worker
	if a.step().filler() {
		return w.fillerCPU > a.step().size.CPUMilli
	}
	return w.fillerCPU > 0
}

// sharesBeside returns the shares of the fillers beside an attempt.
func (a *attempt) sharesBeside(shares []interference.Share, own float64) []interference.Share {
	if !a.step().filler() {
		return shares
	}
	beside := make([]interference.Share, 0, len(shares))
	for _, s := range shares {
		if s.Filler == a.step().role.filler {
			s.Share -= own
		}
		if s.Share > 0 {
			beside = append(beside, s)
		}
	}
	return beside
}

// mayBeStopped reports whether stopping a filler keeps to the number of tasks of its step
// that may be away at the same time because of the scheduler.
func (a *attempt) mayBeStopped() bool {
	s := a.step()
	budget := int(s.spec.GetDisruptionBudget())
	if !s.longRunning() || budget == 0 || a.progress < 100 {
		return true
	}
	away := s.count() - 1
	for _, t := range s.tasks {
		for _, o := range t.attempts {
			if t != a.task && o.progress >= 100 && o.stopReason == "" {
				away--
				break
			}
		}
	}
	return away < budget
}

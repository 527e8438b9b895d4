package scheduler

// PassCounts counts the work of the placement passes, so that its growth with the
// workers and the waiting steps can be told from that of their number.
type PassCounts struct {
	Passes   int64
	Steps    int64 // waiting steps that a pass considered
	Scans    int64 // rankings of all workers of a pool
	Looks    int64 // at workers, for whatever reason
	Costed   int64 // workers whose cost for a step was computed
	Updated  int64 // workers whose load was summed up anew
	Placed   int64 // tasks
	NoRoom   int64 // steps that were skipped, since an equal or smaller request found no room
	Searches int64 // scans of all workers for a single task
}

// Sub returns the difference of two counts.
func (a PassCounts) Sub(b PassCounts) PassCounts {
	return PassCounts{a.Passes - b.Passes, a.Steps - b.Steps, a.Scans - b.Scans, a.Looks - b.Looks, a.Costed - b.Costed, a.Updated - b.Updated, a.Placed - b.Placed, a.NoRoom - b.NoRoom, a.Searches - b.Searches}
}

// PassCounts returns the counts since the core was created.
func (c *Core) PassCounts() PassCounts { return c.passCounts }

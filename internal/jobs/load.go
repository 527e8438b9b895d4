package jobs

import (
	"math"
	"time"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/placement"
	"gooseberryreel/internal/remote"
)

const (
	// loadValidity is how long a reported load counts in full. It covers three
	// digest periods, so that two lost digests in a row don't make a busy target
	// look idle.
	loadValidity = 3 * time.Second
	// loadHalfLife is the half-life of the expected load after loadValidity.
	loadHalfLife = time.Second
	// idleLoad is the load below which a target counts as idle.
	idleLoad = 0.01
)

// targetLoad is the load of a target according to its newest digest.
type targetLoad struct {
	load float64
	at   time.Time
}

// expectedLoad returns the load to expect at a target during the run time of the
// tasks to be placed. It is the present load, since load changes slowly. Digests
// contain only targets that had requests, so the load decays while a target is
// missing from them. A new owner considers no target idle before it has had time
// to receive digests.
func (c *Core) expectedLoad(t *remote.Instance, now time.Time) placement.ServiceLoad {
	l, known := c.targetLoad[t.Name]
	if !known {
		return placement.ServiceLoad{Service: t.Service, Idle: now.Sub(c.tookOverAt) > loadValidity}
	}
	age := now.Sub(l.at) - loadValidity
	if age <= 0 {
		return placement.ServiceLoad{Service: t.Service, Load: l.load}
	}
	load := l.load * math.Exp2(-float64(age)/float64(loadHalfLife))
	return placement.ServiceLoad{Service: t.Service, Load: load, Idle: load < idleLoad}
}

// loadOf returns the mean share of a target's slots in use during the period of
// a digest, 0 to 1, by Little's law.
func loadOf(d *pb.LatencyDigest, t *remote.Instance) float64 {
	if d.PeriodMs <= 0 || t.Slots <= 0 {
		return 0
	}
	busy := float64(d.Requests) * float64(d.MeanUs) / (float64(d.PeriodMs) * 1000)
	return min(busy/float64(t.Slots), 1)
}

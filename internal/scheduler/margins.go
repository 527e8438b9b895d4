package scheduler

import (
	"time"

	"gooseberryreel/internal/interference"
)

// marginCost is the factor, minus 1, by which riseCost rises for a filler with a full
// margin.
const marginCost = 1

// margin returns how much a step of fillers can afford to avoid the services that it
// slows down, 0 to 1. It is 0 for other steps.
func (c *Core) margin(s *step, now time.Time) float64 {
	if c.disabled.ignoreMargins || !s.filler() {
		return 0
	}
	schedule := c.scheduleOf(s, now)
	remaining := time.Duration(float64(schedule.remaining) * criticalPathMargin)
	return interference.Margin(schedule.due().Sub(now)-remaining, remaining)
}

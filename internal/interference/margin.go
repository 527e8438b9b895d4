package interference

import "time"

// Margin returns how much a filler can afford to avoid the services that it slows
// down: 1 if its job has as much slack as remaining work, 0 if it has none. The slack
// is the time left to the objective beyond the remaining work.
func Margin(slack, remaining time.Duration) float64 {
	if slack <= 0 {
		return 0
	}
	if remaining <= 0 {
		return 1
	}
	return min(float64(slack)/float64(remaining), 1)
}

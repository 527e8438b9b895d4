package emulator

import "time"

// coldSlowdown is the factor by which attempts that start on a cold worker take longer.
const coldSlowdown = 5

// SetCold makes the worker cold for a time: attempts that start in it are slow.
// StoreRecord says how much of the time is left.
func (w *Worker) SetCold(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coldUntil = time.Now().Add(d)
}

// coldLeft returns how much longer the worker is cold.
func (w *Worker) coldLeft() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(time.Until(w.coldUntil), 0)
}

// slowed returns the behaviour of an attempt that starts now. The caller holds the lock.
func (w *Worker) slowed(b Behaviour) Behaviour {
	if time.Now().Before(w.coldUntil) {
		b.RunTime *= coldSlowdown
	}
	return b
}

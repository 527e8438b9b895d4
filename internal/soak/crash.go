package soak

import (
	"fmt"
	"time"

	"gooseberryreel/internal/emulator"
	"gooseberryreel/internal/loopback"
)

const (
	// crashDowntime is how long a worker is down that a task has crashed.
	crashDowntime = time.Second
	// entryTTL is how long the store keeps the entry of a worker that is gone.
	entryTTL = 4500 * time.Millisecond
)

// id returns the id of the worker with number n. The caller holds d.mu.
func (w *emulatedWorker) id(n int) string {
	if w.lives == 0 {
		return fmt.Sprintf("i-%d", n)
	}
	return fmt.Sprintf("i-%d-%d", n, w.lives)
}

// watchCrashes lets tasks crash the worker with number n. The caller holds d.mu.
func (d *deployment) watchCrashes(n int) {
	worker := d.workers[n].Worker
	worker.OnCrash(func() { d.crashWorker(n, worker, crashDowntime, worker.Incarnation()%4 == 0) })
}

// crashWorker closes a worker without notice and starts one behind the same address
// after the downtime, with the same id or another one. It does nothing if the worker
// has been replaced meanwhile.
func (d *deployment) crashWorker(n int, worker *emulator.Worker, down time.Duration, keepID bool) {
	w := d.workers[n]
	d.crashes.Go(func() {
		w.restarting.Lock()
		defer w.restarting.Unlock()
		d.mu.Lock()
		current, proxy := w.Worker, w.proxy
		d.mu.Unlock()
		if current != worker {
			return
		}
		defer d.disturb("%s crashed", worker.ID)()
		d.setProxyMode(proxy, loopback.Refuse)
		worker.Close()
		time.Sleep(down)
		d.mu.Lock()
		defer d.mu.Unlock()
		if !keepID {
			w.lives++
			d.removeEntryLater(worker.ID, entryTTL-down)
		}
		w.Worker, w.leaving = emulator.NewWorker(w.id(n), d.cluster), false
		proxy.SetUpstream(w.Address())
		d.watchCrashes(n)
		if err := proxy.SetMode(loopback.Forward); err != nil {
			d.addFinding("soak: set proxy mode: %v", err)
		}
		d.publishWorker(w, "ready")
	})
}

// removeEntryLater removes the entry of a worker that is gone.
func (d *deployment) removeEntryLater(id string, after time.Duration) {
	d.crashes.Go(func() {
		time.Sleep(after)
		d.store.Put("keyed.servers", id, nil)
	})
}

// resizeWorker changes the capacity of a worker and publishes it.
func (d *deployment) resizeWorker(w *emulatedWorker, cpu int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w.cpu = cpu
	state := "ready"
	if w.leaving {
		state = "draining"
	}
	d.publishWorker(w, state)
}

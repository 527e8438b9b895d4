package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// memoryLimit is MemoryMb of a machine. A process that exceeds it is killed, and
	// started again after restartDelay.
	memoryLimit  = 284
	restartDelay = 500 * time.Millisecond
)

// residentMB returns the memory of a process in MB, 0 if it has ended.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// limitMemory does what the platform does to a process that exceeds its memory.
func (d *deployment) limitMemory(kills []int, stop <-chan struct{}, stopped chan<- struct{}) {
	defer close(stopped)
	most := make([]int, len(d.instances))
	for {
		select {
		case <-stop:
			for n, i := range d.instances {
				d.note("%s: most memory %d MB, killed %d times for it", i.name, most[n], kills[n])
			}
			return
		case <-time.After(20 * time.Millisecond):
		}
		for n, i := range d.instances {
			if !alive(i) {
				if time.Since(i.endedAt) >= restartDelay && d.run(i) != nil {
					return
				}
				continue
			}
			mb := residentMB(i.cmd.Process.Pid)
			most[n] = max(most[n], mb)
			if mb > memoryLimit {
				kills[n]++
				d.note("%s has %d MB and is killed", i.name, mb)
				_ = i.cmd.Process.Signal(syscall.SIGKILL)
				<-i.done
				i.endedAt = time.Now()
			}
		}
	}
}

// monthSchedules: clients hand in five schedules of one small run a minute for a month, that
// begin in an hour. LOST is broken if other submissions then have nothing running for 3 s,
// while the runners are idle.
func monthSchedules(d *deployment, trouble bool) int {
	for n := range 4 {
		if d.addRunner(fmt.Sprintf("i-00000000a%d", n+1), "perth-hills", fmt.Sprintf("r1-%d", n+1), func(string, int) (time.Duration, bool) { return 2 * time.Second, false }) != nil {
			return couldNotRun
		}
	}
	if !d.start(3) {
		return couldNotRun
	}
	kills, stop, stopped := make([]int, len(d.instances)), make(chan struct{}), make(chan struct{})
	go d.limitMemory(kills, stop, stopped)
	roster := map[string]any{"Spec": "roster", "Phases": []any{map[string]any{"Count": 20, "Cpu": 2000, "MemMb": 1000, "EstimateMs": 2000}}}
	accepted := []string{}
	for n := range 10 {
		if n < 5 && trouble {
			d.submitAnywhere(n, fmt.Sprintf("5c0e7a21d94b36f%d", n), map[string]any{
				"Spec": "reconcile", "Times": 30 * 24 * 60, "StartAtMs": time.Now().Add(time.Hour).UnixMilli(), "IntervalMs": 60000,
				"Phases": []any{map[string]any{"Count": 4, "Cpu": 500, "MemMb": 256, "EstimateMs": 900}},
			})
		}
		id := fmt.Sprintf("00000000000000a%x", n)
		if d.submitAnywhere(n, id, roster) {
			accepted = append(accepted, id)
		}
		time.Sleep(time.Second)
	}
	if len(accepted) == 0 {
		return couldNotRun
	}
	time.Sleep(finishTime)
	code := held
	for _, id := range accepted {
		since := time.Now().Add(-3 * time.Second)
		done, busy := d.log.progress(id, since)
		inUse := d.log.running(since)
		if done < 20 {
			d.note("%s: %d of 20 tasks done, running in the last 3 s: %d, of all submissions: %d", id, done, busy, inUse)
		}
		if done < 20 && busy == 0 && inUse <= 16 { // under half of 64 places
			d.note("LOST: %s has nothing running for 3 s, with under half of the capacity in use", id)
			code = broken
		}
	}
	for n, id := range accepted {
		d.note("GET %s at %s: %s", id, d.instances[n%3].name, d.state(d.instances[n%3], id))
	}
	close(stop)
	<-stopped
	return code
}

// submitAnywhere hands a submission in, at another instance after no answer or a refusal.
func (d *deployment) submitAnywhere(first int, id string, body any) bool {
	for n := range 5 {
		if d.submitOnce(d.instances[(first+n)%len(d.instances)], id, body) {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"gooseberryreel/internal/emulator"
)

func init() { scenarios["mix"] = mix }

// mix plays random work of all kinds beside random disruptions, chosen by SEED.
func mix(s *site, trouble bool) (broken []string, err error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	length, _ := strconv.Atoi(os.Getenv("LENGTH"))
	if length == 0 {
		length = 45
	}
	rnd := rand.New(rand.NewPCG(seed, 7))
	var rmu sync.Mutex
	intn := func(n int) int { rmu.Lock(); defer rmu.Unlock(); return rnd.IntN(n) }
	chance := func(p float64) bool { rmu.Lock(); defer rmu.Unlock(); return rnd.Float64() < p }
	routes := []route{queue("slot", "pickbook", 0, 3), queue("roster", "pickbook", 2, 2), queue("season", "pickbook", 0, 3)}
	if err := s.publish(routes, "pickbook", "other"); err != nil {
		return nil, err
	}
	for n := range 14 {
		kind := "a"
		if n%3 == 2 {
			kind = "b"
		}
		service := "pickbook"
		if n >= 11 {
			service = "other"
		}
		if _, err := s.addRunner(service, kind, fmt.Sprintf("r%d", n/4), 16000, 32000); err != nil {
			return nil, err
		}
	}
	c := &checks{s: s}
	s.onStart = c.started
	s.onEnd = c.ended
	s.onAck = c.acked
	s.behaviour = func(t taskID, run int) behaviour {
		p := s.jobs[t.job].body.Phases[t.step]
		switch {
		case p.LongRunning:
			if intn(10) == 0 {
				return behaviour{work: time.Duration(500+intn(4000)) * time.Millisecond, how: "failed"}
			}
			return behaviour{}
		case s.jobs[t.job].hopeless:
			return behaviour{work: 100 * time.Millisecond, how: "failed"}
		case intn(60) == 0 && run == 1:
			return behaviour{work: 100 * time.Millisecond, how: "failed"}
		}
		return behaviour{work: time.Duration(100+intn(900)) * time.Millisecond}
	}
	if err := s.startProcesses(4); err != nil {
		return nil, err
	}
	end := time.Now().Add(time.Duration(length) * time.Second)
	var group sync.WaitGroup
	every := func(d time.Duration, f func()) {
		group.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(d/2 + time.Duration(intn(int(d))))
				f()
			}
		})
	}
	var mu sync.Mutex
	var all []*submission
	every(180*time.Millisecond, func() {
		j := c.draw(intn, chance)
		mu.Lock()
		all = append(all, j)
		mu.Unlock()
		go func() {
			if s.submitAny(j, intn(4)) != nil {
				return
			}
			if chance(0.3) {
				time.Sleep(time.Duration(intn(3000)) * time.Millisecond)
				s.call(s.processes[intn(4)], http.MethodPost, j.queue, j.id, j.body)
			}
			if chance(0.1) || j.lasting() && chance(0.5) {
				time.Sleep(time.Duration(intn(9000)) * time.Millisecond)
				if status, _ := s.call(s.processes[intn(4)], http.MethodDelete, j.queue, j.id, nil); status == 200 {
					s.mu.Lock()
					j.cancelled = time.Now()
					s.mu.Unlock()
				} else {
					s.mu.Lock()
					j.maybeCancelled = true
					s.mu.Unlock()
				}
			}
			if chance(0.5) {
				time.Sleep(time.Duration(intn(5000)) * time.Millisecond)
				c.checkState(j, s.state(j))
			}
		}()
	})
	if trouble {
		kinds := []func(){
			func() { s.restartProcess(s.processes[intn(4)]) },
			func() { s.killOwner() },
			func() { // crash, same id
				r := s.runners[intn(len(s.runners))]
				if !r.busy.TryLock() {
					return
				}
				defer r.busy.Unlock()
				r.crash()
				time.Sleep(time.Duration(200+intn(3000)) * time.Millisecond)
				kind := r.kind
				if chance(0.3) {
					kind = []string{"a", "b"}[intn(2)]
				}
				_ = r.restart(kind)
			},
			func() { // silent
				r := s.runners[intn(len(s.runners))]
				if !r.busy.TryLock() {
					return
				}
				defer r.busy.Unlock()
				r.silent.Store(true)
				s.rec.add("runner: %s is cut off", r.id)
				time.Sleep(time.Duration(1000+intn(9000)) * time.Millisecond)
				r.silent.Store(false)
				s.rec.add("runner: %s is reached again", r.id)
			},
			func() { // orders late
				r := s.runners[intn(len(s.runners))]
				r.late.Store(true)
				s.rec.add("runner: %s carries orders out late", r.id)
				time.Sleep(time.Duration(500+intn(3000)) * time.Millisecond)
				r.late.Store(false)
			},
			func() { // answers lost
				r := s.runners[intn(len(s.runners))]
				r.lost.Store(true)
				time.Sleep(time.Duration(500+intn(3000)) * time.Millisecond)
				r.lost.Store(false)
			},
			func() { // partition down
				parts := map[string]bool{"keyed.jobs/0": chance(0.5), "keyed.servers/0": chance(0.3)}
				for n := range 16 {
					parts[fmt.Sprintf("keyed.intake/%d", n)] = chance(0.3)
				}
				fault := []emulator.Fault{emulator.FaultUnavailable, emulator.FaultLoseResponse, emulator.FaultDelayed}[intn(3)]
				s.rec.add("store: partitions disturbed, fault %d: %v", fault, parts)
				for _, e := range s.endpoints {
					e.InjectPartitions(func(topic string, part int) emulator.Fault {
						if parts[fmt.Sprintf("%s/%d", topic, part)] && (fault == emulator.FaultUnavailable || chance(0.5)) {
							return fault
						}
						return emulator.FaultNone
					})
				}
				time.Sleep(time.Duration(500+intn(4500)) * time.Millisecond)
				for _, e := range s.endpoints {
					e.InjectPartitions(nil)
				}
				s.rec.add("store: partitions undisturbed")
			},
			func() { // whole store down
				s.rec.add("store: down")
				for _, e := range s.endpoints {
					e.Inject(func(string) emulator.Fault { return emulator.FaultUnavailable })
				}
				time.Sleep(time.Duration(500+intn(4500)) * time.Millisecond)
				for _, e := range s.endpoints {
					e.Inject(nil)
				}
				s.rec.add("store: up")
			},
			func() { // freeze
				p := s.processes[intn(4)]
				s.rec.add("system: %s freezes", p.name)
				_ = p.cmd.Process.Signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(500+intn(6000)) * time.Millisecond)
				_ = p.cmd.Process.Signal(syscall.SIGCONT)
				s.rec.add("system: %s goes on", p.name)
			},
			func() { // drain and return
				r := s.runners[intn(len(s.runners))]
				if !r.busy.TryLock() {
					return
				}
				defer r.busy.Unlock()
				s.mu.Lock()
				r.state = "draining"
				r.checkIn()
				s.mu.Unlock()
				time.Sleep(3 * time.Second)
				r.crash()
				time.Sleep(time.Second)
				s.mu.Lock()
				r.state = "ready"
				s.mu.Unlock()
				_ = r.restart(r.kind)
			},
			func() { // config
				list := slices.Clone(routes)
				for i := range list {
					list[i].Service = []string{"pickbook", "pickbook", "other"}[intn(3)]
				}
				if chance(0.3) {
					list = slices.Delete(list, 1, 2)
				}
				_ = s.publish(list, "pickbook", "other")
				c.noteRoutes(list)
				time.Sleep(2 * time.Second)
				_ = s.publish(routes, "pickbook", "other")
			},
		}
		if os.Getenv("FOREIGN") != "" {
			kinds = []func(){func() {
				s.mu.Lock()
				r := s.runners[intn(len(s.runners))]
				e := r.entry()
				s.mu.Unlock()
				var value any = e
				kind := intn(7)
				switch kind {
				case 0:
					delete(e, "Capacity")
				case 1:
					e["State"] = "busy"
				case 2:
					e["Service"] = "ghost"
					delete(e, "born")
				case 3:
					e["Labels"] = 7
				case 4:
					value = "unreadable"
				case 5:
					s.rec.add("another writer: servers/%s is removed", r.id)
					s.store.Put("keyed.servers", r.id, nil)
					return
				case 6:
					delete(e, "born")
					delete(e, "Labels")
				}
				s.rec.add("another writer: servers/%s kind %d %v", r.id, kind, value)
				_ = s.store.PutJSON("keyed.servers", r.id, value)
			}}
		}
		every(900*time.Millisecond, func() { kinds[intn(len(kinds))]() })
		every(1100*time.Millisecond, func() { kinds[intn(len(kinds))]() })
		every(1500*time.Millisecond, func() { kinds[intn(len(kinds))]() })
	}
	group.Wait()
	s.rec.add("end of the traffic")
	deadline := time.Now().Add(30 * time.Second)
	for time.Now().Before(deadline) {
		if len(c.unfinished(all)) == 0 {
			break
		}
		time.Sleep(time.Second)
	}
	time.Sleep(2 * time.Second)
	for _, j := range all {
		if !j.accepted.IsZero() {
			c.checkState(j, s.state(j))
		}
	}
	for _, text := range c.unfinished(all) {
		c.add("LOST: %s", text)
	}
	return c.list(), nil
}

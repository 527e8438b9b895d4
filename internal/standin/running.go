package standin

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"gooseberryreel/internal/history"
	"gooseberryreel/internal/remote"
	"gooseberryreel/internal/remote/wire"
)

// Names of the servers that each site has in addition to its workers and targets.
const (
	NameLog   = "log"
	NameList  = "list"
	NameAdmin = "admin"
)

// Addresses is where the servers of a site listen. It is the content of the ready
// file.
type Addresses struct {
	LogURL  string `json:"log_url"`
	ListURL string `json:"list_url"`
	// AdminURL serves POST /faults/{name} and GET /history. No faults can be set on
	// it.
	AdminURL string `json:"admin_url"`
	// Workers and Targets map names to addresses, as IP address and port.
	Workers map[string]string `json:"workers"`
	Targets map[string]string `json:"targets"`
}

// RunningSite is a started site.
type RunningSite struct {
	state   *siteState
	servers map[string]*server
	log     *logService
	list    *instanceList
	workers map[string]*worker
	targets map[string]*target

	stop    chan struct{}
	sampler sync.WaitGroup
	once    sync.Once
}

// Start starts the servers of a site, which run until Close.
func Start(site Site) (*RunningSite, error) {
	settings, err := site.withDefaults()
	if err != nil {
		return nil, errors.Wrap(err, "stand-in settings")
	}
	s := &RunningSite{
		state:   newSiteState(settings),
		servers: make(map[string]*server),
		workers: make(map[string]*worker),
		targets: make(map[string]*target),
		stop:    make(chan struct{}),
	}
	if err := s.build(settings); err != nil {
		s.Close()
		return nil, err
	}
	for _, srv := range s.servers {
		srv.serve()
	}
	s.sampler.Add(1)
	go s.sampleUsage()
	return s, nil
}

// build creates all servers without starting them.
func (s *RunningSite) build(settings Site) error {
	logServer, err := s.addServer(NameLog, settings.LogPort, 0)
	if err != nil {
		return err
	}
	s.log = newLogService(logServer, settings.Log)
	listServer, err := s.addServer(NameList, settings.ListPort, 0)
	if err != nil {
		return err
	}
	s.list = newInstanceList(listServer, settings.List)
	admin, err := s.addServer(NameAdmin, 0, 0)
	if err != nil {
		return err
	}
	admin.handleControl(http.MethodPost, "/faults/{name}", func(r *http.Request) *response {
		return s.handleFaults(r, mux.Vars(r)["name"])
	})
	for _, domain := range settings.Domains {
		if err := s.buildDomain(domain); err != nil {
			return err
		}
	}
	return nil
}

func (s *RunningSite) buildDomain(domain Domain) error {
	var workers []*worker
	for _, group := range domain.Workers {
		for range group.Count {
			w, err := s.buildWorker(domain.Name, len(workers)+1, len(workers)/group.PerRack+1, group)
			if err != nil {
				return err
			}
			workers = append(workers, w)
		}
	}
	placed := 0
	for _, group := range domain.Targets {
		for i := range group.Count {
			var targetWorker *worker
			if len(workers) > 0 {
				targetWorker = workers[placed%len(workers)]
			}
			placed++
			if err := s.buildTarget(domain.Name, i+1, group, targetWorker); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *RunningSite) buildWorker(domain string, number, rack int, group WorkerGroup) (*worker, error) {
	name := workerName(domain, number)
	srv, err := s.addServer(name, 0, 0)
	if err != nil {
		return nil, err
	}
	w := newWorker(srv, wire.Instance{
		Name:    name,
		Kind:    string(remote.KindWorker),
		Domain:  domain,
		Address: srv.address,
		Rack:    fmt.Sprintf("%s-rack%d", domain, rack),
		State:   string(remote.StateLive),
		Resources: wire.Resources{
			CPUMilli:     group.CPUMilli,
			MemoryMiB:    group.MemoryMiB,
			Accelerators: group.Accelerators,
		},
	}, s.state)
	s.workers[name] = w
	s.list.set(w.instance)
	return w, nil
}

func (s *RunningSite) buildTarget(domain string, number int, group TargetGroup, targetWorker *worker) error {
	name := targetName(group.Service, domain, number)
	srv, err := s.addServer(name, 0, group.Connections)
	if err != nil {
		return err
	}
	instance := wire.Instance{
		Name:        name,
		Kind:        string(remote.KindTarget),
		Domain:      domain,
		Address:     srv.address,
		State:       string(remote.StateLive),
		Service:     group.Service,
		Slots:       group.Slots,
		Connections: group.Connections,
	}
	if targetWorker != nil {
		instance.Worker = targetWorker.instance.Name
		instance.Rack = targetWorker.instance.Rack
	}
	seed := s.state.settings.Seed + uint64(len(s.servers))
	s.targets[name] = newTarget(srv, instance, targetWorker, group, s.state, seed)
	s.list.set(instance)
	return nil
}

// addServer opens a listener and registers the control calls of every server.
func (s *RunningSite) addServer(name string, port, maxConnections int) (*server, error) {
	if s.servers[name] != nil {
		return nil, errors.Errorf("stand-in settings: duplicate name %q", name)
	}
	address := net.JoinHostPort(s.state.settings.Host, strconv.Itoa(port))
	srv, err := newServer(name, address, maxConnections, s.state.settings.Seed+uint64(len(s.servers)))
	if err != nil {
		return nil, err
	}
	s.servers[name] = srv
	srv.handleControl(http.MethodPost, "/faults", func(r *http.Request) *response {
		return s.handleFaults(r, name)
	})
	srv.handleControl(http.MethodGet, "/history", func(*http.Request) *response { return s.historyResponse() })
	return srv, nil
}

func (s *RunningSite) sampleUsage() {
	defer s.sampler.Done()
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, w := range s.workers {
				w.sample()
			}
		case <-s.stop:
			return
		}
	}
}

// Close stops all servers and closes their connections.
func (s *RunningSite) Close() {
	s.once.Do(func() {
		close(s.stop)
		s.sampler.Wait()
		for _, srv := range s.servers {
			srv.close()
		}
	})
}

// Addresses returns where the servers listen.
func (s *RunningSite) Addresses() Addresses {
	a := Addresses{
		LogURL:   "http://" + s.servers[NameLog].address,
		ListURL:  "http://" + s.servers[NameList].address,
		AdminURL: "http://" + s.servers[NameAdmin].address,
		Workers:  make(map[string]string),
		Targets:  make(map[string]string),
	}
	for name, w := range s.workers {
		a.Workers[name] = w.instance.Address
	}
	for name, t := range s.targets {
		a.Targets[name] = t.instance.Address
	}
	return a
}

// LogURL returns the base URL of the log service.
func (s *RunningSite) LogURL() string { return s.Addresses().LogURL }

// ListURL returns the base URL of the instance list.
func (s *RunningSite) ListURL() string { return s.Addresses().ListURL }

// SetFaults replaces the faults of the server with the given name: NameLog,
// NameList, or the name of a worker or target.
func (s *RunningSite) SetFaults(name string, f Faults) error {
	srv := s.servers[name]
	if srv == nil || name == NameAdmin {
		return errors.Errorf("no stand-in server with faults is named %q", name)
	}
	return srv.setFaults(f)
}

// ClearFaults clears the faults of a server.
func (s *RunningSite) ClearFaults(name string) error { return s.SetFaults(name, Faults{}) }

// SetLeaving sets whether a worker or target is leaving. A leaving one rejects new
// work at once; the list shows the change after its lag.
func (s *RunningSite) SetLeaving(name string, leaving bool) error {
	var instance wire.Instance
	switch {
	case s.workers[name] != nil:
		s.workers[name].setLeaving(leaving)
		instance = s.workers[name].instance
	case s.targets[name] != nil:
		s.targets[name].setLeaving(leaving)
		instance = s.targets[name].instance
	default:
		return errors.Errorf("no worker or target named %q", name)
	}
	if leaving {
		instance.State = string(remote.StateLeaving)
	}
	s.list.change(name, &instance)
	return nil
}

func (s *RunningSite) isLeaving(name string) bool {
	if w := s.workers[name]; w != nil {
		return w.isLeaving()
	}
	if t := s.targets[name]; t != nil {
		return t.isLeaving()
	}
	return false
}

// Register adds an entry instance to the list or replaces it, after the list's lag.
func (s *RunningSite) Register(name, domain, peerAddress string, state remote.State) {
	s.list.change(name, &wire.Instance{
		Name:    name,
		Kind:    string(remote.KindEntry),
		Domain:  domain,
		Address: peerAddress,
		State:   string(state),
	})
}

// Remove removes an instance from the list, after the list's lag. A worker or target
// keeps running.
func (s *RunningSite) Remove(name string) { s.list.change(name, nil) }

// RestartWorker ends all tasks of a worker and gives it a new boot id.
func (s *RunningSite) RestartWorker(name string) error {
	w := s.workers[name]
	if w == nil {
		return errors.Errorf("no worker named %q", name)
	}
	w.restart()
	return nil
}

// SetSlowdowns replaces the slowdowns that batch tasks cause.
func (s *RunningSite) SetSlowdowns(slowdowns []Slowdown) { s.state.setSlowdowns(slowdowns) }

// TrimLog removes the records of a stream before an offset, as retention does.
func (s *RunningSite) TrimLog(stream string, before int64) { s.log.trim(stream, before) }

// OpenConnections returns the number of open connections of a server.
func (s *RunningSite) OpenConnections(name string) int {
	srv := s.servers[name]
	if srv == nil {
		return 0
	}
	return srv.connSet.count()
}

// History returns the requests that targets received and the attempts of workers,
// and the number of operations that were dropped at its limit. Attempts that still
// run have no end.
func (s *RunningSite) History() ([]history.Operation, int64) {
	var running []history.Operation
	for _, name := range slices.Sorted(maps.Keys(s.workers)) {
		w := s.workers[name]
		w.mu.Lock()
		// Until the ended attempts are read: one that ends meanwhile would be
		// returned twice.
		defer w.mu.Unlock()
		w.advance(time.Now())
		for _, t := range w.tasks {
			if t.state == remote.TaskRunning {
				running = append(running, t.operation(name))
			}
		}
	}
	operations, dropped := s.state.history.all()
	return append(operations, running...), dropped
}

// handleFaults sets the faults of one server. Faults of connections also affect the
// one that carries the call, so down and freeze are set and cleared at the admin
// address.
func (s *RunningSite) handleFaults(r *http.Request, name string) *response {
	var request FaultRequest
	if errResponse := decode(r, &request); errResponse != nil {
		return errResponse
	}
	srv := s.servers[name]
	if srv == nil || name == NameAdmin {
		return errorResponse(http.StatusNotFound, "no stand-in server with faults is named %q", name)
	}
	if err := s.applyFaults(name, request); err != nil {
		return errorResponse(http.StatusBadRequest, "%v", err)
	}
	return jsonResponse(http.StatusOK, struct{}{})
}

func (s *RunningSite) applyFaults(name string, request FaultRequest) error {
	if request.Leaving != s.isLeaving(name) {
		if err := s.SetLeaving(name, request.Leaving); err != nil {
			return err
		}
	}
	if request.Restart {
		if err := s.RestartWorker(name); err != nil {
			return err
		}
	}
	return s.SetFaults(name, request.Faults)
}

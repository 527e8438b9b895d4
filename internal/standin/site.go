// Package standin emulates the platform for tests and demonstrations: a log
// service, an instance list, workers and targets, each on its own listener and
// with faults that can be set and cleared at run time.
package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"

	"github.com/pkg/errors"
)

// Defaults and limits of a site's settings.
const (
	defaultHost              = "127.0.0.1"
	defaultAppendsPerSecond  = 500
	defaultRetentionMS       = 3_600_000
	defaultMaxRecordBytes    = 1 << 20
	defaultUsageLagMS        = 1000
	defaultEndedTaskKeepMS   = 600_000
	defaultTaskRunMS         = 1000
	defaultSlots             = 8
	defaultConnections       = 64
	defaultServiceTimeMS     = 5
	defaultWorkersPerRack    = 8
	defaultWorkerCPUMilli    = 32_000
	defaultWorkerMemoryMiB   = 125 * 1024
	defaultHistoryOperations = 1_000_000
	maxSettingsBytes         = 4 << 20
	maxInstancesPerGroup     = 1000
)

// Site is the settings of one stand-in process.
type Site struct {
	Name    string   `json:"name"`
	Region  string   `json:"region,omitempty"`
	Domains []Domain `json:"domains"`
	// Host is the IP address of all listeners.
	Host string `json:"host,omitempty"`
	// LogPort and ListPort are 0 for any free port.
	LogPort  int  `json:"log_port,omitempty"`
	ListPort int  `json:"list_port,omitempty"`
	Log      Log  `json:"log"`
	List     List `json:"list"`
	// Workloads defines how the batch tasks behave. A task of another workload
	// runs for one second and uses its declared resources.
	Workloads []Workload `json:"workloads,omitempty"`
	Slowdowns []Slowdown `json:"slowdowns,omitempty"`
	// UsageLagMS is the age of the usage in status reports of workers.
	UsageLagMS      int64  `json:"usage_lag_ms,omitempty"`
	EndedTaskKeepMS int64  `json:"ended_task_keep_ms,omitempty"`
	Seed            uint64 `json:"seed,omitempty"`
	// HistoryOperations is the size limit of the history. Operations beyond it are
	// only counted.
	HistoryOperations int `json:"history_operations,omitempty"`
}

// Log configures the log service.
type Log struct {
	AppendsPerSecond int   `json:"appends_per_second,omitempty"`
	RetentionMS      int64 `json:"retention_ms,omitempty"`
	MaxRecordBytes   int   `json:"max_record_bytes,omitempty"`
}

// List configures the instance list.
type List struct {
	// LagMS is the delay after which a change appears in the list.
	LagMS int64 `json:"lag_ms,omitempty"`
}

// Domain is one failure domain. Its targets are assigned to its workers round-robin.
type Domain struct {
	Name    string        `json:"name"`
	Workers []WorkerGroup `json:"workers,omitempty"`
	Targets []TargetGroup `json:"targets,omitempty"`
}

// WorkerGroup is a number of identical workers, named <domain>-w<n>.
type WorkerGroup struct {
	Count        int   `json:"count"`
	PerRack      int   `json:"per_rack,omitempty"`
	CPUMilli     int64 `json:"cpu_milli,omitempty"`
	MemoryMiB    int64 `json:"memory_mib,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// TargetGroup is a number of identical targets, named <service>-<domain>-<n>.
type TargetGroup struct {
	Service       string `json:"service"`
	Count         int    `json:"count"`
	Slots         int    `json:"slots,omitempty"`
	Connections   int    `json:"connections,omitempty"`
	ServiceTimeMS int64  `json:"service_time_ms,omitempty"`
	// ServiceJitterMS is the upper bound of a random addition to the service time.
	ServiceJitterMS int64 `json:"service_jitter_ms,omitempty"`
}

// Workload defines how the tasks of a workload behave.
type Workload struct {
	Name  string `json:"name"`
	RunMS int64  `json:"run_ms"`
	// Usage of one unthrottled task; 0 means the declared resources.
	CPUMilli     int64 `json:"cpu_milli,omitempty"`
	MemoryMiB    int64 `json:"memory_mib,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
	// Fails makes every task end as failed after RunMS.
	Fails bool `json:"fails,omitempty"`
}

// Slowdown is the interference of a workload with a service: what one unthrottled
// task adds to the service time of the colocated targets, in percent.
type Slowdown struct {
	Workload string `json:"workload"`
	Service  string `json:"service"`
	// IdlePercent applies to an idle target and FullPercent to one with all slots
	// busy. The value is interpolated linearly in between.
	IdlePercent int64 `json:"idle_percent"`
	FullPercent int64 `json:"full_percent"`
}

// LoadSite reads a site's settings from a JSON file and checks them.
func LoadSite(file string) (Site, error) {
	f, err := os.Open(file)
	if err != nil {
		return Site{}, errors.Wrap(err, "open stand-in settings")
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, maxSettingsBytes+1))
	if err != nil {
		return Site{}, errors.Wrap(err, "read stand-in settings")
	}
	if len(data) > maxSettingsBytes {
		return Site{}, errors.Errorf("%s: larger than %d bytes", file, maxSettingsBytes)
	}
	var site Site
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&site); err != nil {
		return Site{}, errors.Wrap(err, file)
	}
	if decoder.More() {
		return Site{}, errors.Errorf("%s: data after the settings", file)
	}
	_, err = site.withDefaults()
	return site, errors.Wrap(err, file)
}

// withDefaults returns a copy with defaults filled in, or an error for invalid
// settings.
func (s Site) withDefaults() (Site, error) {
	setDefault(&s.Host, defaultHost)
	setDefault(&s.Log.AppendsPerSecond, defaultAppendsPerSecond)
	setDefault(&s.Log.RetentionMS, defaultRetentionMS)
	setDefault(&s.Log.MaxRecordBytes, defaultMaxRecordBytes)
	setDefault(&s.UsageLagMS, defaultUsageLagMS)
	setDefault(&s.EndedTaskKeepMS, defaultEndedTaskKeepMS)
	setDefault(&s.HistoryOperations, defaultHistoryOperations)
	if net.ParseIP(s.Host) == nil {
		return Site{}, errors.Errorf("host: %q is not an IP address", s.Host)
	}
	if s.Log.AppendsPerSecond < 0 || s.Log.RetentionMS < 0 || s.List.LagMS < 0 || s.UsageLagMS < 0 {
		return Site{}, errors.New("log, list and usage_lag_ms: negative limit")
	}
	domains := make([]Domain, 0, len(s.Domains))
	names := make(map[string]bool)
	for i, domain := range s.Domains {
		if domain.Name == "" || names[domain.Name] {
			return Site{}, errors.Errorf("domains[%d].name: empty or duplicate name %q", i, domain.Name)
		}
		names[domain.Name] = true
		filled, err := domain.withDefaults()
		if err != nil {
			return Site{}, errors.Wrapf(err, "domains[%d]", i)
		}
		domains = append(domains, filled)
	}
	s.Domains = domains
	for i, w := range s.Workloads {
		if w.Name == "" || w.RunMS <= 0 {
			return Site{}, errors.Errorf("workloads[%d]: name and a positive run_ms are required", i)
		}
	}
	for i, slowdown := range s.Slowdowns {
		if slowdown.IdlePercent < 0 || slowdown.FullPercent < 0 {
			return Site{}, errors.Errorf("slowdowns[%d]: negative percentage", i)
		}
	}
	return s, nil
}

func (d Domain) withDefaults() (Domain, error) {
	workers := append([]WorkerGroup(nil), d.Workers...)
	for i := range workers {
		g := &workers[i]
		setDefault(&g.PerRack, defaultWorkersPerRack)
		setDefault(&g.CPUMilli, defaultWorkerCPUMilli)
		setDefault(&g.MemoryMiB, defaultWorkerMemoryMiB)
		if g.Count <= 0 || g.Count > maxInstancesPerGroup || g.PerRack < 0 {
			return Domain{}, errors.Errorf("workers[%d]: count must be 1 to %d", i, maxInstancesPerGroup)
		}
	}
	targets := append([]TargetGroup(nil), d.Targets...)
	services := make(map[string]bool)
	for i := range targets {
		g := &targets[i]
		setDefault(&g.Slots, defaultSlots)
		setDefault(&g.Connections, defaultConnections)
		setDefault(&g.ServiceTimeMS, defaultServiceTimeMS)
		if g.Service == "" || services[g.Service] {
			return Domain{}, errors.Errorf("targets[%d].service: empty or duplicate name %q", i, g.Service)
		}
		services[g.Service] = true
		if g.Count <= 0 || g.Count > maxInstancesPerGroup || g.Slots < 0 || g.Connections < 0 || g.ServiceTimeMS < 0 || g.ServiceJitterMS < 0 {
			return Domain{}, errors.Errorf("targets[%d]: count must be 1 to %d and no limit negative", i, maxInstancesPerGroup)
		}
	}
	d.Workers, d.Targets = workers, targets
	return d, nil
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func workerName(domain string, n int) string { return fmt.Sprintf("%s-w%02d", domain, n) }

func targetName(service, domain string, n int) string {
	return fmt.Sprintf("%s-%s-%02d", service, domain, n)
}

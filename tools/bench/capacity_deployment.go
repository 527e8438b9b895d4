package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/loopback"
	"gooseberryreel/internal/remote"
	"gooseberryreel/internal/standin"
)

// clockTicksPerSecond is USER_HZ: /proc reports CPU times in clock ticks.
const clockTicksPerSecond = 100

// liveEntry is one running entry process.
type liveEntry struct {
	name, domain, http, peer string
	command                  *exec.Cmd
}

// liveDeployment is a stand-in platform in this process and a set of entry processes.
type liveDeployment struct {
	dir      string
	platform *standin.RunningSite
	log      remote.Log
	entries  []*liveEntry
}

// startLive starts a deployment. The caller must close a deployment that isn't nil
// even if there is an error.
func startLive(dir string, layout liveLayout) (*liveDeployment, error) {
	site := standin.Site{Name: "bench"}
	for d := range layout.domains {
		site.Domains = append(site.Domains, standin.Domain{
			Name:    fmt.Sprintf("domain-%d", d),
			Workers: []standin.WorkerGroup{{Count: layout.workers}},
			Targets: []standin.TargetGroup{{Service: "pickbook", Count: layout.targets}},
		})
	}
	running, err := standin.Start(site)
	if err != nil {
		return nil, errors.Wrap(err, "start platform")
	}
	s := &liveDeployment{dir: dir, platform: running, log: remote.NewHTTPLog(running.LogURL())}
	if _, err := s.publish("team-0", 0); err != nil {
		return s, err
	}
	addresses, err := loopback.ReserveAddresses(2 * layout.instances)
	if err != nil {
		return s, err
	}
	for i := range layout.instances {
		e := &liveEntry{
			name: fmt.Sprintf("entry-%02d", i), domain: site.Domains[i%layout.domains].Name,
			http: addresses[2*i], peer: addresses[2*i+1],
		}
		if err := s.startEntry(e); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *liveDeployment) startEntry(e *liveEntry) error {
	settings := struct {
		Instance  string `json:"instance"`
		Region    string `json:"region"`
		Domain    string `json:"failure_domain"`
		HTTP      string `json:"http_address"`
		Peer      string `json:"peer_address"`
		Log       string `json:"log_url"`
		List      string `json:"list_url"`
		LogLevel  string `json:"log_level"`
		Ownership struct {
			RequestPartitions int `json:"request_partitions"`
		} `json:"ownership"`
	}{e.name, "bench", e.domain, e.http, e.peer, s.platform.LogURL(), s.platform.ListURL(), "error", struct {
		RequestPartitions int `json:"request_partitions"`
	}{ownedPartitions - 1}}
	data, err := json.Marshal(settings)
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	file := filepath.Join(s.dir, e.name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	e.command = exec.Command(filepath.Join(s.dir, "gooseberry-entry"), "--settings", file)
	e.command.Stderr = os.Stderr
	if err := e.command.Start(); err != nil {
		return errors.Wrap(err, "start entry instance")
	}
	s.entries = append(s.entries, e)
	s.platform.Register(e.name, e.domain, e.peer, remote.StateLive)
	return nil
}

func (s *liveDeployment) close() {
	for _, e := range s.entries {
		_ = e.command.Process.Kill()
		_ = e.command.Wait()
	}
	s.platform.Close()
}

func (s *liveDeployment) waitReady() error {
	deadline := time.Now().Add(liveTimeout)
	for _, e := range s.entries {
		for {
			response, err := http.Get("http://" + e.http + "/readyz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return errors.Errorf("%s is not ready after %s", e.name, liveTimeout)
			}
			time.Sleep(livePollInterval)
		}
	}
	return nil
}

// usage is the resource use of a process according to /proc.
type usage struct{ cpuSeconds, residentMB, received, sent float64 }

func (s *liveDeployment) readUsages() ([]usage, error) {
	var all []usage
	for _, e := range s.entries {
		u, err := readUsage(e.command.Process.Pid)
		if err != nil {
			return nil, errors.Wrap(err, e.name)
		}
		all = append(all, u)
	}
	return all, nil
}

func readUsage(pid int) (u usage, err error) {
	dir := fmt.Sprintf("/proc/%d/", pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, errors.Wrap(err, "read CPU time")
	}
	// The fields follow the process name, which ends at the last parenthesis. The
	// twelfth and thirteenth field after it are the user and system CPU times.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	for _, f := range fields[11:13] {
		ticks, err := strconv.ParseFloat(f, 64)
		if err != nil {
			return u, errors.Wrap(err, "parse CPU time")
		}
		u.cpuSeconds += ticks / clockTicksPerSecond
	}
	for file, values := range map[string]map[string]*float64{
		"status": {"VmRSS:": &u.residentMB},
		"io":     {"rchar:": &u.received, "wchar:": &u.sent},
	} {
		data, err := os.ReadFile(dir + file)
		if err != nil {
			return u, errors.Wrap(err, "read "+file)
		}
		for line := range strings.Lines(string(data)) {
			if f := strings.Fields(line); len(f) > 1 && values[f[0]] != nil {
				if *values[f[0]], err = strconv.ParseFloat(f[1], 64); err != nil {
					return u, errors.Wrap(err, file)
				}
			}
		}
	}
	u.residentMB /= 1024
	return u, nil
}

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/load"
	"gooseberryreel/internal/loopback"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
	"gooseberryreel/internal/remote/wire"
	"gooseberryreel/internal/standin"
)

const (
	region           = "wa-south"
	entriesPerDomain = 3
	leaseMS          = 3000
	callTimeout      = 3 * time.Second
	pollInterval     = 50 * time.Millisecond
	eventCapacity    = 200_000
	maxResponseBytes = 64 << 20
)

var domains = []string{"perth-hills", "donnybrook", "margaret-river"}

// instance is one entry instance that the driver started.
type instance struct {
	name        string
	domain      string
	httpAddress string
	peerAddress string
	process     *process
	launched    time.Time
}

func (i *instance) entry() load.Entry { return load.Entry{Domain: i.domain, Address: i.httpAddress} }

// startStandin starts the stand-in platform and waits until it listens.
func (d *demo) startStandin(ctx context.Context) error {
	ready := filepath.Join(d.dir, "ready.json")
	_, err := d.procs.start("standin", "gooseberry-standin",
		"--settings", filepath.Join(d.opts.Examples, "standin.json"), "--ready-file", ready)
	if err != nil {
		return err
	}
	return d.poll(ctx, "the stand-in's ready file", func() bool {
		data, err := os.ReadFile(ready)
		return err == nil && json.Unmarshal(data, &d.platform) == nil && d.platform.LogURL != ""
	})
}

// addInstances starts new entry instances, counts[domain] in each failure domain.
func (d *demo) addInstances(counts map[string]int) ([]*instance, error) {
	var added []*instance
	for _, domain := range domains {
		for range counts[domain] {
			d.lastNumber[domain]++
			added = append(added, &instance{name: fmt.Sprintf("%s-entry-%d", domain, d.lastNumber[domain]), domain: domain})
		}
	}
	addresses, err := loopback.ReserveAddresses(2 * len(added))
	if err != nil {
		return nil, err
	}
	for n, i := range added {
		i.httpAddress, i.peerAddress = addresses[2*n], addresses[2*n+1]
	}
	for _, i := range added {
		if err := d.startInstance(i); err != nil {
			return nil, err
		}
	}
	return added, nil
}

func (d *demo) startInstance(i *instance) error {
	// encoding/json instead of protojson, which writes 64-bit numbers as strings;
	// settings files have numbers.
	data, err := json.MarshalIndent(d.settingsOf(i), "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	file := filepath.Join(d.dir, "settings", i.name+".json")
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return errors.Wrap(err, "write settings")
	}
	if err := d.register(i, remote.StateLive); err != nil {
		return err
	}
	i.launched = time.Now()
	i.process, err = d.procs.start(i.name, "gooseberry-entry", "--settings", file)
	return err
}

// settingsOf returns the settings of an instance. Settings that are not set here
// have their defaults.
func (d *demo) settingsOf(i *instance) *pb.EntrySettings {
	return &pb.EntrySettings{
		Instance: i.name, Region: region, FailureDomain: i.domain,
		HttpAddress: i.httpAddress, PeerAddress: i.peerAddress,
		LogUrl: d.platform.LogURL, ListUrl: d.platform.ListURL,
		Ownership:     &pb.OwnershipSettings{LeaseMs: leaseMS},
		Jobs:          &pb.JobSettings{WorkerPollIntervalMs: 200, WorkerCallTimeoutMs: 1000, TaskLeaseMs: 10_000},
		Policy:        &pb.PolicySettings{TailLatencyWeight: 10, ThroughputWeight: 3, EvictionWeight: 2, MaxEvictionsPerMinute: 20, ReportLagMs: 500},
		EventCapacity: eventCapacity,
		LogLevel:      "info",
	}
}

// register adds an instance to the platform's list or updates its state there.
func (d *demo) register(i *instance, state remote.State) error {
	body, err := json.Marshal(wire.Instance{
		Name: i.name, Kind: string(remote.KindEntry), Domain: i.domain, Address: i.peerAddress, State: string(state),
	})
	if err != nil {
		return errors.Wrap(err, "encode instance")
	}
	_, err = d.call(http.MethodPost, d.platform.ListURL+"/v1/instances", body)
	return errors.Wrapf(err, "register %s", i.name)
}

// unregister removes an ended instance from the platform's list.
func (d *demo) unregister(i *instance) error {
	_, err := d.call(http.MethodDelete, d.platform.ListURL+"/v1/instances/"+i.name, nil)
	return errors.Wrapf(err, "unregister %s", i.name)
}

// setFaults replaces the faults of one stand-in server.
func (d *demo) setFaults(name string, faults standin.FaultRequest) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return errors.Wrap(err, "encode faults")
	}
	_, err = d.call(http.MethodPost, d.platform.AdminURL+"/faults/"+name, body)
	return errors.Wrapf(err, "faults of %s", name)
}

// call makes an HTTP call that is not recorded in the history. It returns the body
// of a response with status 200 and an error for any other status.
func (d *demo) call(method, url string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	resp, err := d.httpClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "call")
	}
	defer resp.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s %s: %s: %s", method, url, resp.Status, responseBody)
	}
	return responseBody, nil
}

// poll waits until a condition holds or the context ends.
func (d *demo) poll(ctx context.Context, what string, holds func() bool) error {
	for !holds() {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for %s", what)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

package api

import (
	"encoding/json"
	"net/http"
	"time"

	"gooseberryreel/internal/control"
	"gooseberryreel/internal/events"
)

// Status is the state of the system as one instance knows it.
type Status struct {
	Instance      string            `json:"instance"`
	Incarnation   uint64            `json:"incarnation"`
	Domain        string            `json:"domain"`
	Leaving       bool              `json:"leaving"`
	LogReadable   bool              `json:"log_readable"`
	ConfigVersion int64             `json:"config_version"`
	Members       []MemberStatus    `json:"members"`
	Partitions    []PartitionStatus `json:"partitions"`
	Targets       int               `json:"targets"`
	Workers       int               `json:"workers"`
}

// MemberStatus describes one entry instance.
type MemberStatus struct {
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	PeerAddress string `json:"peer_address"`
	Leaving     bool   `json:"leaving"`
}

// PartitionStatus describes one partition of the instance's failure domain.
type PartitionStatus struct {
	Partition   int       `json:"partition"`
	Kind        string    `json:"kind"` // requests or jobs
	Owner       string    `json:"owner"`
	Epoch       int64     `json:"epoch"`
	EffectiveAt time.Time `json:"effective_at"`
	Own         bool      `json:"own"`
	MayAct      bool      `json:"may_act"`
	Clean       bool      `json:"clean"`
}

func (s *server) getStatus(w http.ResponseWriter, _ *http.Request) {
	view := s.opts.Views()
	if view == nil {
		s.writeError(w, "", newFailure("status", http.StatusServiceUnavailable, "the instance has no view of the system yet"))
		return
	}
	s.setEventClock(w, 0)
	writeJSON(w, http.StatusOK, newStatus(view, time.Now()))
}

func newStatus(view *control.View, now time.Time) Status {
	status := Status{
		Instance: view.Instance, Incarnation: view.Incarnation, Domain: view.Domain, Leaving: view.Leaving,
		LogReadable: view.LogReadable, ConfigVersion: -1, Members: []MemberStatus{}, Partitions: []PartitionStatus{},
		Targets: len(view.Targets), Workers: len(view.Workers),
	}
	if view.Config != nil {
		status.ConfigVersion = view.Config.Version
	}
	for _, m := range view.Members {
		status.Members = append(status.Members, MemberStatus(m))
	}
	for i := range view.Partitions {
		p := &view.Partitions[i]
		kind := "requests"
		if i == view.JobPartition() {
			kind = "jobs"
		}
		status.Partitions = append(status.Partitions, PartitionStatus{
			Partition: i, Kind: kind, Owner: p.Owner, Epoch: p.Epoch, EffectiveAt: p.EffectiveAt,
			Own: p.Own, MayAct: p.MayAct(now), Clean: p.Clean,
		})
	}
	return status
}

// getEvents writes the events that match every given query parameter, as JSON
// lines.
func (s *server) getEvents(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	for name := range query {
		switch name {
		case "id", "instance", "worker", "team":
		default:
			s.writeError(w, "", newFailure("events", http.StatusBadRequest, "unknown parameter %q", name))
			return
		}
	}
	matches := func(name, value string) bool { return !query.Has(name) || query.Get(name) == value }
	s.setEventClock(w, 0)
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	for _, e := range s.opts.Events.Events() {
		if !eventMatches(e, matches) {
			continue
		}
		if encoder.Encode(e) != nil {
			return
		}
	}
}

func eventMatches(e events.Event, matches func(name, value string) bool) bool {
	return matches("id", e.ID) && matches("instance", e.Instance) && matches("worker", e.Worker) && matches("team", e.Team)
}

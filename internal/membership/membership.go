// Package membership keeps the set of known instances, from the platform's list,
// exchanges with peers and heartbeats. It is deterministic: it does no I/O and
// reads no clock. It is not safe for concurrent use.
package membership

import (
	"sort"
	"time"

	"gooseberryreel/internal/control"
	"gooseberryreel/internal/remote"
)

// expireAfter is how long an entry instance is kept after its last announcement
// while it is not listed. It exceeds the usual lag of the list.
const expireAfter = time.Minute

// Announcement is the state that an entry instance reports of itself in an exchange
// or a heartbeat. Empty fields are unknown.
type Announcement struct {
	Name        string
	Incarnation uint64
	Domain      string
	PeerAddress string
	Leaving     bool
}

// member is the state of one entry instance.
type member struct {
	name, domain, address string
	incarnation           uint64
	leaving               bool
	announcedAt           time.Time
	listed                bool
	listedLeaving         bool
}

// State holds the known instances.
type State struct {
	domain     string
	members    map[string]*member
	listing    remote.Listing
	hasListing bool

	// Views of the state. A change clears view, and Members rebuilds it.
	view             []control.Member
	targets, workers []remote.Instance
}

// New returns the empty state of an instance in the given failure domain.
func New(domain string) *State {
	return &State{domain: domain, members: make(map[string]*member)}
}

// ApplyListing applies a listing of the platform. A listing older than the last
// one is ignored.
func (s *State) ApplyListing(listing remote.Listing) {
	if s.hasListing && listing.AsOf.Before(s.listing.AsOf) {
		return
	}
	s.listing, s.hasListing = listing, true
	for _, m := range s.members {
		m.listed, m.listedLeaving = false, false
	}
	s.targets, s.workers, s.view = nil, nil, nil
	for _, in := range listing.Instances {
		switch {
		case in.Kind == remote.KindEntry:
			s.applyListedEntry(in)
		case in.Domain != s.domain:
		case in.Kind == remote.KindTarget:
			s.targets = append(s.targets, in)
		case in.Kind == remote.KindWorker:
			s.workers = append(s.workers, in)
		}
	}
}

func (s *State) applyListedEntry(in remote.Instance) {
	m := s.member(in.Name)
	m.listed, m.listedLeaving = true, in.State == remote.StateLeaving
	if m.domain == "" {
		m.domain = in.Domain
	}
	// An announcement by the instance itself is newer than the list.
	if m.address == "" || m.announcedAt.IsZero() {
		m.address = in.Address
	}
}

// ApplyAnnouncement applies an announcement that is received at the time now.
// The leaving state lasts until a newer incarnation. An announcement of an older
// incarnation is ignored.
func (s *State) ApplyAnnouncement(now time.Time, a Announcement) {
	if a.Name == "" {
		return
	}
	m := s.member(a.Name)
	if a.Incarnation < m.incarnation {
		return
	}
	before := *m
	if a.Incarnation > m.incarnation {
		m.incarnation, m.leaving = a.Incarnation, false
	}
	m.announcedAt = now
	m.leaving = m.leaving || a.Leaving
	if a.Domain != "" {
		m.domain = a.Domain
	}
	if a.PeerAddress != "" {
		m.address = a.PeerAddress
	}
	if before.leaving != m.leaving || before.domain != m.domain || before.address != m.address {
		s.view = nil
	}
}

// member returns the state of an entry instance and adds it if it is unknown.
func (s *State) member(name string) *member {
	m := s.members[name]
	if m == nil {
		m = &member{name: name}
		s.members[name] = m
		s.view = nil
	}
	return m
}

// RemoveExpired removes the entry instances that are not listed and have not
// announced themselves for expireAfter.
func (s *State) RemoveExpired(now time.Time) {
	for name, m := range s.members {
		if !m.listed && now.Sub(m.announcedAt) > expireAfter {
			delete(s.members, name)
			s.view = nil
		}
	}
}

// Members returns the entry instances whose domain and address are known, sorted
// by name. The returned slice is not modified later.
func (s *State) Members() []control.Member {
	if s.view != nil {
		return s.view
	}
	s.view = make([]control.Member, 0, len(s.members))
	for _, m := range s.members {
		if m.address == "" || m.domain == "" {
			continue
		}
		s.view = append(s.view, control.Member{
			Name: m.name, Domain: m.domain, PeerAddress: m.address, Leaving: m.leaving || m.listedLeaving,
		})
	}
	sort.Slice(s.view, func(i, j int) bool { return s.view[i].Name < s.view[j].Name })
	return s.view
}

// Targets returns the listed targets of this instance's domain.
func (s *State) Targets() []remote.Instance { return s.targets }

// Workers returns the listed workers of this instance's domain.
func (s *State) Workers() []remote.Instance { return s.workers }

// HasListing reports whether a listing has been applied.
func (s *State) HasListing() bool { return s.hasListing }

// ListedNames returns the names of all instances of the newest listing.
func (s *State) ListedNames() map[string]bool {
	names := make(map[string]bool, len(s.listing.Instances))
	for _, in := range s.listing.Instances {
		names[in.Name] = true
	}
	return names
}

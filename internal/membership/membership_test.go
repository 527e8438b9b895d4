package membership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/control"
	"gooseberryreel/internal/remote"
)

var start = time.Unix(1000, 0)

func listing(age time.Duration, instances ...remote.Instance) remote.Listing {
	return remote.Listing{AsOf: start.Add(age), Instances: instances}
}

func entryInstance(name string, state remote.State) remote.Instance {
	return remote.Instance{Name: name, Kind: remote.KindEntry, Domain: "d", Address: name + ":1", State: state}
}

// Guards against a leaving instance that is called because the list lags, and
// against a restarted instance that inherits the leaving state.
func TestLeavingState(t *testing.T) {
	c, s := qt.New(t), New("d")
	s.ApplyListing(listing(0, entryInstance("a", remote.StateLive)))
	c.Assert(s.Members(), qt.DeepEquals, []control.Member{{Name: "a", Domain: "d", PeerAddress: "a:1"}})
	s.ApplyAnnouncement(start, Announcement{Name: "a", Incarnation: 1, Leaving: true})
	c.Assert(s.Members()[0].Leaving, qt.IsTrue)
	s.ApplyListing(listing(time.Second, entryInstance("a", remote.StateLive)))
	s.ApplyAnnouncement(start, Announcement{Name: "a", Incarnation: 1})
	c.Assert(s.Members()[0].Leaving, qt.IsTrue)
	s.ApplyAnnouncement(start, Announcement{Name: "a", Incarnation: 2, PeerAddress: "a:2"})
	c.Assert(s.Members(), qt.DeepEquals, []control.Member{{Name: "a", Domain: "d", PeerAddress: "a:2"}})
	s.ApplyAnnouncement(start, Announcement{Name: "a", Incarnation: 1, PeerAddress: "a:1", Leaving: true})
	c.Assert(s.Members()[0].PeerAddress, qt.Equals, "a:2")
	s.ApplyListing(listing(2*time.Second, entryInstance("a", remote.StateLeaving)))
	c.Assert(s.Members()[0].Leaving, qt.IsTrue)
}

// Guards against an older listing that replaces a newer one, against targets of
// other domains, and against members that are never removed.
func TestListingsAndExpiry(t *testing.T) {
	c, s := qt.New(t), New("d")
	target := remote.Instance{Name: "t1", Kind: remote.KindTarget, Domain: "d"}
	otherDomain := remote.Instance{Name: "t2", Kind: remote.KindTarget, Domain: "e"}
	worker := remote.Instance{Name: "w1", Kind: remote.KindWorker, Domain: "d"}
	s.ApplyListing(listing(time.Second, entryInstance("a", remote.StateLive), target, otherDomain, worker))
	s.ApplyListing(listing(0))
	c.Assert(s.Targets(), qt.DeepEquals, []remote.Instance{target})
	c.Assert(s.Workers(), qt.DeepEquals, []remote.Instance{worker})
	c.Assert(s.ListedNames()["t2"], qt.IsTrue)
	s.ApplyAnnouncement(start, Announcement{Name: "b", Incarnation: 1, Domain: "e", PeerAddress: "b:1"})
	c.Assert(s.Members(), qt.HasLen, 2)
	s.ApplyListing(listing(2 * time.Second))
	s.RemoveExpired(start.Add(expireAfter))
	c.Assert(s.Members(), qt.HasLen, 1)
	s.RemoveExpired(start.Add(expireAfter + time.Second))
	c.Assert(s.Members(), qt.HasLen, 0)
}

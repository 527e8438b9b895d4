package processtest

import (
	"fmt"
	"sync"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/config"
	"gooseberryreel/internal/load"
	"gooseberryreel/internal/loopback"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/standin"
)

func newConfigHarness(t *testing.T, seed uint64) *harness {
	t.Helper()
	return newHarness(t, standin.Site{Name: "config", Seed: seed, Domains: []standin.Domain{
		{Name: "north", Workers: []standin.WorkerGroup{{Count: 1}}},
		{Name: "south", Workers: []standin.WorkerGroup{{Count: 1}}},
	}})
}

// racePublishes lets two operators publish a team concurrently, from the same base
// version: both have read the stream before either appends. beforeRelease is called
// in between. It checks that one publish is accepted and the other gets a conflict,
// and returns the accepted version.
func (h *harness) racePublishes(o *operatorLogProxy, team string, beforeRelease func()) (accepted int64) {
	h.Helper()
	// Retried appends pass, since the barrier is released by then.
	o.update(func() { o.beforeAppend = barrier(2, beforeRelease) })
	results := make([]publishResult, 2)
	var operators sync.WaitGroup
	for n := range results {
		operators.Go(func() { results[n] = h.runPublish(o.URL, team, int64(1000+n)) })
	}
	operators.Wait()
	o.update(func() { o.beforeAppend = nil })
	winner, loser := results[0], results[1]
	if winner.code != ctlExitAccepted {
		winner, loser = loser, winner
	}
	h.Check(winner.code, qt.Equals, ctlExitAccepted, qt.Commentf("%s", winner.output))
	h.Check(loser.code, qt.Equals, ctlExitConflict, qt.Commentf("%s", loser.output))
	return winner.version
}

// Guards G9 against two operators who publish from the same base version: one
// publish is accepted, the other gets a conflict, and all instances apply the same
// version.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	h := newConfigHarness(t, 201)
	h.publish(teamOf("crew", 1))
	entries := []*process{h.start("a", "north"), h.start("b", "north"), h.start("c", "south")}
	h.awaitOwners(entries[:2]...)
	stop := h.recordVersions()
	o := h.newOperatorLogProxy()
	for round := range 5 {
		version := h.racePublishes(o, fmt.Sprint("team-", round%2), func() {})
		h.awaitVersion(version, entries...)
	}
	stop()
	h.Check(h.check()["G9"] > 0, qt.IsTrue)
}

// Guards G9 against a pair of faults: two operators publish concurrently, and an
// instance is killed before either record is in the log.
func TestOperatorsRaceAndInstanceKilled(t *testing.T) {
	t.Parallel()
	h := newConfigHarness(t, 202)
	h.publish(teamOf("crew", 1))
	entries := []*process{h.start("a", "north"), h.start("b", "north"), h.start("c", "south")}
	h.awaitOwners(entries[:2]...)
	stop := h.recordVersions()
	o := h.newOperatorLogProxy()
	for round := range 3 {
		version := h.racePublishes(o, "team", func() { h.kill(entries[round]) })
		entries[round] = h.start(fmt.Sprint("replacement-", round), entries[round].domain)
		h.awaitVersion(version, entries...)
	}
	stop()
	h.Check(h.check()["G9"] > 0, qt.IsTrue)
}

func teamOf(name string, cpuMilli int64) *pb.Declaration {
	return &pb.Declaration{Name: name, Body: &pb.Declaration_Team{Team: &pb.Team{
		Quota: &pb.Resources{CpuMilli: cpuMilli, MemoryMib: 1000}, MaxQueuedJobs: 1, MaxQueuedRequests: 1,
	}}}
}

// Guards G9 against a publish whose append response is lost: resumed by its publish
// id, it is applied once and does not revert a later change.
func TestPublishResponseLost(t *testing.T) {
	t.Parallel()
	h := newConfigHarness(t, 203)
	h.publish(teamOf("crew", 1))
	entries := []*process{h.start("a", "north"), h.start("c", "south")}
	h.awaitOwners(entries[0])
	stop := h.recordVersions()
	o := h.newOperatorLogProxy()
	for round, overtaken := range []bool{false, true} {
		team := fmt.Sprint("team-", round)
		o.update(func() { o.loseResponse = func() bool { return true } })
		first := h.runPublish(o.URL, team, 1000, "--timeout", "2s")
		h.Assert(first.code, qt.Equals, ctlExitUnknown, qt.Commentf("%s", first.output))
		o.update(func() { o.loseResponse, o.down = nil, false })
		inForce := int64(-1)
		if overtaken {
			other := h.runPublish(o.URL, team, 2000)
			h.Assert(other.code, qt.Equals, ctlExitAccepted, qt.Commentf("%s", other.output))
			inForce = other.version
		}
		resumed := h.runPublish(o.URL, team, 1000, "--publish-id", first.id)
		h.Check(resumed.code, qt.Equals, ctlExitAccepted, qt.Commentf("%s", resumed.output))
		h.Check(h.countConfigRecords(first.id+"."+team), qt.Equals, 1)
		h.awaitVersion(max(inForce, resumed.version), entries...)
	}
	stop()
	h.Check(h.check()["G9"] > 0, qt.IsTrue)
}

// Guards G9 against a new instance that starts while the log is down and only a peer
// with an old configuration responds: it applies that configuration and no older one,
// and applies the newer one as soon as a peer with it responds.
func TestNewInstanceWithStalePeers(t *testing.T) {
	t.Parallel()
	h := newConfigHarness(t, 204)
	h.publish(teamOf("crew", 1))
	fresh, stale := h.start("a", "north"), h.start("b", "north")
	h.awaitOwners(fresh, stale)
	stop := h.recordVersions()
	o := h.newOperatorLogProxy()
	old := h.version(stale)
	h.setLogMode(loopback.Refuse, stale)
	h.setPeerMode(loopback.Stall, fresh, stale)
	change := h.runPublish(o.URL, "crew", 2000)
	h.Assert(change.code, qt.Equals, ctlExitAccepted, qt.Commentf("%s", change.output))
	h.awaitVersion(change.version, fresh)
	h.Assert(h.version(stale), qt.Equals, old)

	h.Assert(h.platform.SetFaults(standin.NameLog, standin.Faults{Down: true}), qt.IsNil)
	fresh.signal(syscall.SIGSTOP)
	late := h.start("late", "north")
	h.await("readiness of the late instance", func() bool { return h.client.Ready(t.Context(), late.entry()) })
	h.Check(h.version(late), qt.Equals, old)
	fresh.signal(syscall.SIGCONT)
	h.awaitVersion(change.version, late)
	h.awaitVersion(change.version, stale) // from the late instance, while the log is still down

	h.Assert(h.platform.ClearFaults(standin.NameLog), qt.IsNil)
	h.setLogMode(loopback.Forward, stale)
	h.setPeerMode(loopback.Forward, fresh, stale)
	next := h.runPublish(o.URL, "crew", 3000)
	h.Assert(next.code, qt.Equals, ctlExitAccepted, qt.Commentf("%s", next.output))
	h.awaitVersion(next.version, fresh, stale, late)
	stop()
	h.Check(h.check()["G9"] > 0, qt.IsTrue)
}

// trimReadRecords trims all records that every entry process has read, as the
// platform's retention does. A process that has not read a trimmed record would have
// to stop.
func (j *jobHarness) trimReadRecords() {
	j.Helper()
	const control = "control." + jobDomain
	configEnd, controlEnd := j.readStream(config.Stream).Next, j.readStream(control).Next
	j.await("heartbeats that confirm the read records", func() bool {
		read := make(map[string]int64)
		for _, raw := range j.readStream(control).Records {
			var rec pb.StreamRecord
			j.Assert(proto.Unmarshal(raw.Data, &rec), qt.IsNil)
			read[rec.GetAuthor()] = max(read[rec.GetAuthor()], rec.GetHeartbeat().GetReadTo())
		}
		for _, p := range j.entries {
			if read[p.name] < controlEnd {
				return false
			}
		}
		return true
	})
	j.platform.TrimLog(config.Stream, configEnd)
	j.platform.TrimLog(control, controlEnd)
}

// Guards G9 and the recorded jobs against retention that trims all records while the
// instances are replaced one after the other.
func TestRetentionWhileInstancesAreReplaced(t *testing.T) {
	t.Parallel()
	j := newJobHarness(t, 205, 2, 4000, []standin.Workload{{Name: "short", RunMS: 100}, {Name: "long", RunMS: 12_000}})
	j.declareJob("short", 500, false)
	j.declareJob("long", 500, false)
	j.awaitOwners(j.entries...)
	stop := j.recordVersions()
	o := j.newOperatorLogProxy()
	done := j.submit(j.entries[0], "short")
	j.awaitDone([]string{done})
	running := j.submit(j.entries[0], "long")
	j.awaitState(running, "running")
	before := j.version(j.entries[0])
	for n := range j.entries {
		j.trimReadRecords()
		next := j.start(fmt.Sprint("replacement-", n), jobDomain)
		j.await("readiness of the replacement", func() bool { return j.client.Ready(t.Context(), next.entry()) })
		j.Check(j.version(next), qt.Equals, before)
		j.entries[n].signal(syscall.SIGTERM)
		<-j.entries[n].exited
		j.Check(j.entries[n].cmd.ProcessState.ExitCode(), qt.Equals, 0)
		j.entries[n] = next
	}
	j.awaitOwners(j.entries...)
	finished := j.awaitJob(done, "record", load.JobStatus.Ended)
	j.Check(finished.State, qt.Equals, "done")
	j.awaitDone([]string{running})
	change := j.runPublish(o.URL, "crew", 64_000)
	j.Assert(change.code, qt.Equals, ctlExitAccepted, qt.Commentf("%s", change.output))
	j.awaitVersion(change.version, j.entries...)
	j.awaitDone([]string{j.submit(j.entries[0], "short")})
	stop()
	j.checkJobs(3)
}

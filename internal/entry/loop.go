package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/control"
	"gooseberryreel/internal/events"
	"gooseberryreel/internal/pb"
)

// postQueue passes functions to the control goroutine. It is unbounded, since
// the control goroutine itself may post and must not block on a full queue.
type postQueue struct {
	mu     sync.Mutex
	items  []func(now time.Time)
	signal chan struct{}
}

func (q *postQueue) push(f func(now time.Time)) {
	q.mu.Lock()
	q.items = append(q.items, f)
	q.mu.Unlock()
	select {
	case q.signal <- struct{}{}:
	default:
	}
}

func (q *postQueue) takeAll() []func(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = nil
	return items
}

// Post implements control.Loop.
func (i *Instance) Post(f func(now time.Time)) { i.posts.push(f) }

// runOnLoop runs f on the control goroutine and waits for it. If ctx is done
// first, f may still run later.
func (i *Instance) runOnLoop(ctx context.Context, f func(now time.Time)) error {
	done := make(chan struct{})
	i.Post(func(now time.Time) {
		defer close(done)
		f(now)
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Append implements control.Loop.
func (i *Instance) Append(rec *pb.StreamRecord) string {
	rec.Id = fmt.Sprintf("%s/%x/j%d", i.id.Name, i.id.Incarnation, i.sequence.Add(1))
	i.setOrigin(rec)
	i.controlAppender.addDurable(rec)
	return rec.GetId()
}

// setOrigin sets the author, the incarnation and the clock reading of a record.
func (i *Instance) setOrigin(rec *pb.StreamRecord) {
	rec.Author, rec.Incarnation = i.id.Name, i.id.Incarnation
	rec.Hlc = i.events.Clock().Now()
}

// View implements control.Loop.
func (i *Instance) View() *control.View { return i.view.Load() }

// Ready returns nil if the instance accepts requests, and otherwise an error
// that gives the reason.
func (i *Instance) Ready() error {
	if reason := i.ready.Load(); *reason != "" {
		return errors.New(*reason)
	}
	return nil
}

func (i *Instance) setReady(reason string) { i.ready.Store(&reason) }

func (i *Instance) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			i.revokePermissions()
			return
		case <-i.posts.signal:
			for _, f := range i.posts.takeAll() {
				f(time.Now())
			}
		case <-ticker.C:
			i.tick(time.Now())
		}
	}
}

// revokePermissions publishes a view in which the instance may not act for any
// partition, since no later view will end its permissions.
func (i *Instance) revokePermissions() {
	old := i.View()
	if old == nil {
		return
	}
	last := *old
	last.Leaving = true
	last.Partitions = append([]control.Partition(nil), old.Partitions...)
	for n := range last.Partitions {
		last.Partitions[n].ActUntil = time.Time{}
	}
	i.view.Store(&last)
	i.setReady("the instance has stopped")
}

func (i *Instance) tick(now time.Time) {
	s := &i.state
	if s.started {
		for _, rec := range s.core.Tick(now) {
			i.sendOnce(rec)
		}
		i.startReleases(now)
		i.writeSnapshots(now)
	}
	if !now.Before(s.nextExchange) {
		s.nextExchange = now.Add(milliseconds(i.settings.GetOwnership().GetHeartbeatIntervalMs()))
		s.members.RemoveExpired(now)
		i.startExchanges(now)
	}
	i.publishView(now)
}

func (i *Instance) sendOnce(rec *pb.StreamRecord) {
	rec.Hlc = i.events.Clock().Now()
	i.controlAppender.addOnce(rec)
}

// publishView publishes a new view and passes it to the modules.
func (i *Instance) publishView(now time.Time) {
	view := i.buildView(now)
	i.view.Store(view)
	i.setReady(i.notReadyReason(now))
	i.reportChanges(view, now)
	for _, m := range i.state.modules {
		m.Tick(now, view)
	}
}

func (i *Instance) buildView(now time.Time) *control.View {
	s := &i.state
	view := &control.View{
		Instance:    i.id.Name,
		Incarnation: i.id.Incarnation,
		Domain:      i.settings.GetFailureDomain(),
		Leaving:     i.leaving.Load(),
		LogReadable: s.core.StreamReadable(now),
		Config:      s.config.Snapshot(),
		Members:     s.members.Members(),
		Targets:     s.members.Targets(),
		Workers:     s.members.Workers(),
		Partitions:  make([]control.Partition, s.core.Partitions()),
	}
	for n := range view.Partitions {
		p := s.core.Partition(n, now)
		view.Partitions[n] = control.Partition{
			Owner: p.Owner.Name, OwnerAddress: p.OwnerAddress, Epoch: p.Epoch, EffectiveAt: p.EffectiveAt,
			Own: p.Own, ActUntil: p.ActUntil, Clean: p.Clean, PreviousEpoch: p.PreviousEpoch,
		}
	}
	return view
}

// notReadyReason returns why the instance doesn't accept requests, or "" if it
// does. Once reads of the log have failed for a lease, an instance can be ready
// without having read the streams to their end.
func (i *Instance) notReadyReason(now time.Time) string {
	s := &i.state
	logDown := !s.readsFailingSince.IsZero() && now.Sub(s.readsFailingSince) >= i.lease()
	switch {
	case i.leaving.Load():
		return "the instance is leaving"
	case s.config.Snapshot() == nil:
		return "no configuration has been received yet"
	case s.config.Version() < s.peerVersion:
		return "a peer has a newer configuration"
	case !s.configCaughtUp && !logDown:
		return "the configuration stream has not been read to its end yet"
	case !s.controlCaughtUp && !logDown:
		return "the control stream has not been read to its end yet"
	}
	return ""
}

// reportedState is the state that was last reported by events. ownedEpochs maps
// each owned partition to its epoch.
type reportedState struct {
	logReadable, ready bool
	version            int64
	ownedEpochs        map[int]int64
}

// reportChanges records an event for each change since the last report and
// updates the gauges.
func (i *Instance) reportChanges(view *control.View, now time.Time) {
	old := i.state.reported
	next := reportedState{logReadable: view.LogReadable, ready: *i.ready.Load() == "", version: -1, ownedEpochs: make(map[int]int64)}
	if view.Config != nil {
		next.version = view.Config.Version
	}
	acting := 0
	for n := range view.Partitions {
		if p := &view.Partitions[n]; p.Own {
			next.ownedEpochs[n] = p.Epoch
			if p.MayAct(now) {
				acting++
			}
		}
	}
	i.metrics.owned.Set(float64(len(next.ownedEpochs)))
	i.metrics.acting.Set(float64(acting))
	i.metrics.configVersion.Set(float64(next.version))
	i.state.reported = next
	if next.logReadable != old.logReadable {
		i.recordEvent(map[bool]string{true: "log_readable", false: "log_unreadable"}[next.logReadable], "")
	}
	if next.ready != old.ready {
		i.recordEvent(map[bool]string{true: "instance_ready", false: "instance_not_ready"}[next.ready], *i.ready.Load())
	}
	if next.version != old.version && view.Config != nil {
		i.recordEvent("config_in_force", fmt.Sprintf("version %d", next.version))
	}
	for n, epoch := range next.ownedEpochs {
		if before, ok := old.ownedEpochs[n]; !ok || before != epoch {
			i.recordEvent("partition_owned", fmt.Sprintf("partition %d epoch %d", n, epoch))
		}
	}
	for n, epoch := range old.ownedEpochs {
		if _, ok := next.ownedEpochs[n]; !ok {
			i.recordEvent("partition_lost", fmt.Sprintf("partition %d epoch %d", n, epoch))
		}
	}
}

// recordEvent adds an event to the timeline and logs it.
func (i *Instance) recordEvent(kind, detail string) {
	i.events.Add(events.Event{Kind: kind, Detail: detail})
	i.logger.WithField("event", kind).Info(detail)
}

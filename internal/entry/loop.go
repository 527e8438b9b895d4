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

// postQueue passes functions to the control goroutine. It has no bound, since
// the control goroutine itself may post.
type postQueue struct {
	mu    sync.Mutex
	items []func(now time.Time)
	wake  chan struct{}
}

func (q *postQueue) push(f func(now time.Time)) {
	q.mu.Lock()
	q.items = append(q.items, f)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *postQueue) take() []func(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = nil
	return items
}

// Post implements control.Loop.
func (i *Instance) Post(f func(now time.Time)) { i.posts.push(f) }

// call runs f on the control goroutine and waits for it.
func (i *Instance) call(ctx context.Context, f func(now time.Time)) error {
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
	i.stamp(rec)
	i.controlAppender.addDurable(rec)
	return rec.GetId()
}

func (i *Instance) stamp(rec *pb.StreamRecord) {
	rec.Author, rec.Incarnation = i.id.Name, i.id.Incarnation
	rec.Hlc = i.events.Clock().Now()
}

// View implements control.Loop.
func (i *Instance) View() *control.View { return i.view.Load() }

// Ready returns nil once the instance takes requests.
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
			i.revoke()
			return
		case <-i.posts.wake:
			for _, f := range i.posts.take() {
				f(time.Now())
			}
		case <-ticker.C:
			i.tick(time.Now())
		}
	}
}

// revoke publishes a view without any permission, since nobody updates it from
// now on.
func (i *Instance) revoke() {
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
		i.releaseSurplus(now)
		i.writeSnapshots(now)
	}
	if !now.Before(s.nextExchange) {
		s.nextExchange = now.Add(milliseconds(i.settings.GetOwnership().GetHeartbeatIntervalMs()))
		s.members.RemoveExpired(now)
		i.exchangeAll(now)
	}
	i.refresh(now)
}

func (i *Instance) sendOnce(rec *pb.StreamRecord) {
	rec.Hlc = i.events.Clock().Now()
	i.controlAppender.addOnce(rec)
}

// refresh publishes a new view and lets the modules see it.
func (i *Instance) refresh(now time.Time) {
	view := i.buildView(now)
	i.view.Store(view)
	i.setReady(i.notReady(now))
	i.noteChanges(view, now)
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

// notReady returns why the instance takes no requests, or "".
func (i *Instance) notReady(now time.Time) string {
	s := &i.state
	logDown := !s.failingSince.IsZero() && now.Sub(s.failingSince) >= i.lease()
	switch {
	case i.leaving.Load():
		return "the instance is leaving"
	case s.config.Snapshot() == nil:
		return "there is no configuration yet"
	case s.config.Version() < s.peerVersion:
		return "the configuration is older than that of a peer"
	case !s.configCaughtUp && !logDown:
		return "the configuration stream is not read yet"
	case !s.controlCaughtUp && !logDown:
		return "the control stream is not read yet"
	}
	return ""
}

// summary is what the events of one instance report changes of.
type summary struct {
	readable, ready bool
	version         int64
	own             map[int]int64
}

// noteChanges adds an event for each change of state and updates the gauges.
func (i *Instance) noteChanges(view *control.View, now time.Time) {
	old := i.state.previous
	next := summary{readable: view.LogReadable, ready: *i.ready.Load() == "", version: -1, own: make(map[int]int64)}
	if view.Config != nil {
		next.version = view.Config.Version
	}
	acting := 0
	for n := range view.Partitions {
		if p := &view.Partitions[n]; p.Own {
			next.own[n] = p.Epoch
			if p.MayAct(now) {
				acting++
			}
		}
	}
	i.metrics.owned.Set(float64(len(next.own)))
	i.metrics.acting.Set(float64(acting))
	i.metrics.configVersion.Set(float64(next.version))
	i.state.previous = next
	if next.readable != old.readable {
		i.event(map[bool]string{true: "log_readable", false: "log_unreadable"}[next.readable], "")
	}
	if next.ready != old.ready {
		i.event(map[bool]string{true: "instance_ready", false: "instance_not_ready"}[next.ready], *i.ready.Load())
	}
	if next.version != old.version && view.Config != nil {
		i.event("config_in_force", fmt.Sprintf("version %d", next.version))
	}
	for n, epoch := range next.own {
		if before, ok := old.own[n]; !ok || before != epoch {
			i.event("partition_owned", fmt.Sprintf("partition %d epoch %d", n, epoch))
		}
	}
	for n, epoch := range old.own {
		if _, ok := next.own[n]; !ok {
			i.event("partition_lost", fmt.Sprintf("partition %d epoch %d", n, epoch))
		}
	}
}

// event records a change of state and writes a log line for it.
func (i *Instance) event(kind, detail string) {
	i.events.Add(events.Event{Kind: kind, Detail: detail})
	i.logger.WithField("event", kind).Info(detail)
}

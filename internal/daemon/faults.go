package daemon

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/store"
)

// A fault of the program ends the process. The platform starts it again and another
// instance takes the ownership over, while a process that goes on without its loop is
// ready and accepts jobs of which none runs.

const (
	// loopCheckInterval is the time between two checks of the owner's loop. After
	// unreadyLoopChecks without any progress the instance is not ready, and after
	// stuckLoopChecks it ends. Checks are counted, not time, so that a suspended machine
	// is not taken for a stuck loop.
	loopCheckInterval = 500 * time.Millisecond
	unreadyLoopChecks = 4
	stuckLoopChecks   = 20
	// suspectTimeout limits the time in which a failing owner records the job that it
	// was working on.
	suspectTimeout = time.Second
	// maxOwnerCrashes is the number of owners that may fail while they work on a job. The
	// next one sets the job aside.
	maxOwnerCrashes = 2
	// suspectKey is the prefix of the keys of jobs that owners have failed under.
	suspectKey = "suspect"
)

// fail ends the process because of a fault.
func (i *Instance) fail(where, reason string, stack []byte) {
	i.faulty.Store(true)
	i.log.WithField("event", "fault").WithField("where", where).WithField("why", reason).WithField("stack", string(stack)).Error("process")
	i.exit()
}

// recoverLoop is deferred by the owner's loop. It runs before all that the term would wait
// for.
func (o *ownerTerm) recoverLoop() {
	p := recover()
	if p == nil {
		return
	}
	stack := debug.Stack()
	o.instance.faulty.Store(true)
	o.recordSuspect(o.core.WorkingOn())
	o.instance.fail("owner loop", fmt.Sprint(p), stack)
	o.end()
}

// recordSuspect records that an owner has failed while it worked on a job. The record is
// a hint only, so that it is not fenced and may be lost.
func (o *ownerTerm) recordSuspect(job string) {
	if job == "" {
		return
	}
	i := o.instance
	crashes := o.suspects[job] + 1
	ctx, cancel := context.WithTimeout(context.WithoutCancel(o.ctx), suspectTimeout)
	defer cancel()
	data, err := proto.Marshal(&pb.StoredSuspect{Job: job, Crashes: crashes})
	if err == nil {
		_, err = i.store.Append(ctx, jobTopic, []store.Record{{Key: suspectKey + blockSeparator + job, Value: data}}, store.AppendOptions{})
	}
	entry := i.log.WithField("event", "owner failed under job").WithField("job", job).WithField("crashes", crashes)
	if err != nil {
		entry = entry.WithError(errors.Wrap(err, "record"))
	}
	entry.Error("process")
}

// watchLoop ends the process if the loop of the term makes no progress.
func (o *ownerTerm) watchLoop() {
	seen, still := o.progress.Load(), 0
	for sleep(o.ctx, loopCheckInterval); o.ctx.Err() == nil; sleep(o.ctx, loopCheckInterval) {
		if now := o.progress.Load(); now != seen {
			seen, still = now, 0
		} else {
			still++
		}
		o.stuck.Store(still >= unreadyLoopChecks)
		if still >= stuckLoopChecks {
			o.instance.fail("owner loop", "no progress", nil)
			return
		}
	}
}

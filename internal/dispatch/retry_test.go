package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"gooseberryreel/internal/remote"
)

// Guards against retries that use the slots of first attempts in an overload.
func TestNoRetryWhileRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := []*fakeTarget{newFakeTarget("t1"), newFakeTarget("t2")}
		for _, f := range targets {
			f.handle = func(ctx context.Context, req remote.TargetRequest) (remote.TargetAnswer, error) {
				if string(req.Body) == "fails" {
					time.Sleep(100 * time.Millisecond)
					return remote.TargetAnswer{}, &remote.InvokeError{Sent: true, Cause: errors.New("connection lost")}
				}
				return answerAfter(150*time.Millisecond)(ctx, req)
			}
		}
		in := newInstance("self", nil, targets...)
		ownAllPartitions(in, 1, targets...)
		var wg sync.WaitGroup
		var ids []string
		var failures atomic.Int64
		for _, body := range []string{"fails", "runs", "waits"} {
			req := newRequest("", body, time.Second)
			req.Idempotent = true
			wg.Go(func() {
				reply := in.Do(context.Background(), req)
				if reply.GetFailure() != nil {
					failures.Add(1)
				}
			})
			synctest.Wait()
			ids = append(ids, req.GetRequestId())
		}
		wg.Wait()
		for _, id := range ids {
			qt.Check(t, targets[0].runs(id)+targets[1].runs(id), qt.Equals, 1)
		}
		qt.Check(t, failures.Load(), qt.Equals, int64(1))
	})
}

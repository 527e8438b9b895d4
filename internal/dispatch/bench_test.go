package dispatch

import (
	"context"
	"testing"
	"time"
)

// BenchmarkOwnerLocal measures the overhead of the request path for a non-idempotent
// request when the instance owns the partitions of both the id and the target.
func BenchmarkOwnerLocal(b *testing.B) {
	targets := []*fakeTarget{newFakeTarget("t1"), newFakeTarget("t2"), newFakeTarget("t3"), newFakeTarget("t4")}
	in := newInstance("self", nil, targets...)
	ownAllPartitions(in, 64, targets...)
	in.opts.Settings.MaxStoredAnswers = 1 << 16
	body := string(make([]byte, 512))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if reply := in.Do(context.Background(), newRequest("", body, time.Second)); reply.GetFailure() != nil {
				b.Error(reply.GetFailure())
			}
		}
	})
}

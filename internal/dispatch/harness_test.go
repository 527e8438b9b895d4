package dispatch

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/control"
	"gooseberryreel/internal/events"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/peer"
	"gooseberryreel/internal/remote"
	"gooseberryreel/internal/requestid"
)

const (
	testPartitions = 8
	testSkew       = 2 * time.Second
	testMaxTimeout = 10 * time.Second
)

// fakeTarget answers requests with a function of the test and counts them.
type fakeTarget struct {
	name   string
	handle func(ctx context.Context, req remote.TargetRequest) (remote.TargetAnswer, error)

	mu       sync.Mutex
	inFlight int
	maximum  int
	runsByID map[string]int
}

func newFakeTarget(name string) *fakeTarget {
	return &fakeTarget{name: name, runsByID: make(map[string]int), handle: answerAfter(0)}
}

// answerAfter returns a handler that answers after a delay.
func answerAfter(delay time.Duration) func(context.Context, remote.TargetRequest) (remote.TargetAnswer, error) {
	return func(ctx context.Context, req remote.TargetRequest) (remote.TargetAnswer, error) {
		if delay > 0 {
			select {
			case <-time.After(delay):
			case <-ctx.Done():
				return remote.TargetAnswer{}, &remote.InvokeError{Sent: true, Cause: ctx.Err()}
			}
		}
		return remote.TargetAnswer{Status: 200, Body: answerTo(req.ID, req.Body)}, nil
	}
}

// answerTo returns the body of the answer to a request, which contains the id.
func answerTo(id string, body []byte) []byte { return []byte(id + " " + string(body)) }

func (f *fakeTarget) Invoke(ctx context.Context, req remote.TargetRequest) (remote.TargetAnswer, error) {
	f.mu.Lock()
	f.inFlight++
	f.maximum = max(f.maximum, f.inFlight)
	f.runsByID[req.ID]++
	f.mu.Unlock()
	if req.Timeout > 0 { // like the HTTP client of real targets
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, req.Timeout)
		defer cancel()
	}
	defer func() {
		f.mu.Lock()
		f.inFlight--
		f.mu.Unlock()
	}()
	return f.handle(ctx, req)
}

func (f *fakeTarget) Close() {}

// runs returns how often the target received an id.
func (f *fakeTarget) runs(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runsByID[id]
}

// total returns the number of requests that the target received.
func (f *fakeTarget) total() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, k := range f.runsByID {
		n += k
	}
	return n
}

// instance is a Dispatcher with a view that the test sets.
type instance struct {
	*Dispatcher
	name string
	view atomic.Pointer[control.View]
}

func testSettings() *pb.RequestSettings {
	return &pb.RequestSettings{
		MaxBodyBytes: 1 << 20, MaxAnswerBytes: 1 << 20, DefaultTimeoutMs: 1000, MaxTimeoutMs: testMaxTimeout.Milliseconds(),
		ClockSkewMs: testSkew.Milliseconds(), RetentionMs: 60_000, MaxStoredAnswers: 1000, MaxStoredBytes: 1 << 20,
		QueueLength: 100, RetryBudgetPercent: 10, MaxAttempts: 3, ProgressTimeoutMs: 500,
	}
}

func newInstance(name string, pool *peer.Pool, targets ...*fakeTarget) *instance {
	byName := make(map[string]*fakeTarget)
	for _, f := range targets {
		byName[f.name] = f
	}
	in := &instance{name: name}
	in.Dispatcher = New(Options{
		Settings:  testSettings(),
		Views:     in.view.Load,
		Pool:      pool,
		NewTarget: func(i remote.Instance) remote.Target { return byName[i.Name] },
		Events:    events.NewRecorder(name, 100, events.NewClock(time.Now)),
		Seed:      1,
	})
	return in
}

// ownAllPartitions sets a view in which the instance has owned all partitions for an
// hour.
func ownAllPartitions(in *instance, slots int, targets ...*fakeTarget) *control.View {
	v := viewOf(in.name, slots, targets)
	for i := range v.Partitions {
		v.Partitions[i] = ownPartition(time.Now().Add(-time.Hour), 1, true)
	}
	in.view.Store(v)
	return v
}

func ownPartition(effective time.Time, epoch int64, clean bool) control.Partition {
	return control.Partition{Owner: "self", Epoch: epoch, EffectiveAt: effective, Own: true, ActUntil: time.Now().Add(time.Hour), Clean: clean}
}

// viewOf returns a view with targets and without owners of partitions.
func viewOf(name string, slots int, targets []*fakeTarget) *control.View {
	v := &control.View{
		Instance: name, Incarnation: 1, Domain: "perth-hills", LogReadable: true,
		Config: &control.Config{
			Services: map[string]*pb.Service{"pickbook": {Team: "bookings"}},
			Teams:    map[string]*pb.Team{"bookings": {}},
		},
		Partitions: make([]control.Partition, testPartitions+1),
	}
	for _, f := range targets {
		v.Targets = append(v.Targets, remote.Instance{
			Name: f.name, Kind: remote.KindTarget, Domain: v.Domain, Address: "192.0.2.1:1",
			State: remote.StateLive, Service: "pickbook", Slots: slots, Connections: 64,
		})
	}
	return v
}

func copyView(v *control.View) *control.View {
	n := *v
	n.Partitions = append([]control.Partition(nil), v.Partitions...)
	n.Targets = append([]remote.Instance(nil), v.Targets...)
	return &n
}

func newRequest(id, body string, timeout time.Duration) *pb.ForwardRequest {
	return &pb.ForwardRequest{RequestId: id, Service: "pickbook", Body: []byte(body), TimeoutMs: timeout.Milliseconds()}
}

func newID(seed uint64) string {
	m := idGenerator{seed: seed}
	return requestid.New("perth-hills", time.Now(), m.source(&control.View{}))
}

// cluster starts n instances of one domain that call each other over drpc and own
// the partitions round-robin.
func cluster(t *testing.T, n, slots int, targets ...*fakeTarget) []*instance {
	c := qt.New(t)
	pool := peer.NewPool(peer.Options{MaxConnections: 16, DialTimeout: 5 * time.Second, MaxMessageBytes: 1 << 20})
	c.Cleanup(func() { pool.Close() })
	var list []*instance
	var addresses []string
	for i := range n {
		in := newInstance(fmt.Sprintf("entry-%d", i), pool, targets...)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = peer.Serve(ctx, listener, &peerServer{d: in.Dispatcher}, 1<<20)
		}()
		c.Cleanup(func() { cancel(); <-done })
		list = append(list, in)
		addresses = append(addresses, listener.Addr().String())
	}
	for i, in := range list {
		v := viewOf(in.name, slots, targets)
		for p := range v.Partitions {
			owner := p % n
			v.Partitions[p] = control.Partition{
				Owner: list[owner].name, OwnerAddress: addresses[owner], Epoch: 1, Clean: true, Own: owner == i,
				EffectiveAt: time.Now().Add(-time.Hour), ActUntil: time.Now().Add(time.Hour),
			}
		}
		for k, other := range list {
			v.Members = append(v.Members, control.Member{Name: other.name, Domain: v.Domain, PeerAddress: addresses[k]})
		}
		in.view.Store(v)
	}
	return list
}

type peerServer struct {
	pb.DRPCPeerUnimplementedServer
	d *Dispatcher
}

func (s *peerServer) Forward(ctx context.Context, r *pb.ForwardRequest) (*pb.ForwardReply, error) {
	return s.d.Forward(ctx, r)
}

func (s *peerServer) LookUp(ctx context.Context, r *pb.LookUpRequest) (*pb.ForwardReply, error) {
	return s.d.LookUp(ctx, r)
}

func (s *peerServer) HandOver(ctx context.Context, r *pb.HandOverRequest) (*pb.HandOverReply, error) {
	return s.d.HandOver(ctx, r)
}

package dispatch

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
	"gooseberryreel/internal/requestid"
)

// tcpProxy forwards TCP connections to an address until the test closes them.
type tcpProxy struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
}

func newTCPProxy(c *qt.C, to string) *tcpProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	p := &tcpProxy{listener: listener}
	c.Cleanup(func() { listener.Close(); p.closeConnections() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", to)
			if err != nil {
				client.Close()
				continue
			}
			p.mu.Lock()
			p.conns = append(p.conns, client, server)
			p.mu.Unlock()
			go func() { _, _ = io.Copy(client, server) }()
			go func() { _, _ = io.Copy(server, client) }()
		}
	}()
	return p
}

// closeConnections closes the open connections. New ones are still accepted.
func (p *tcpProxy) closeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		conn.Close()
	}
	p.conns = nil
}

// Guards G4 against the loss of an answer when the connection between the home owner
// and the owner of the target breaks while the target works.
func TestG4AnswerRetainedByTargetOwner(t *testing.T) {
	c := qt.New(t)
	target := newFakeTarget("t1")
	arrived := make(chan struct{})
	finish := make(chan struct{})
	target.handle = func(_ context.Context, req remote.TargetRequest) (remote.TargetAnswer, error) {
		close(arrived)
		<-finish
		return remote.TargetAnswer{Status: 200, Body: answerTo(req.ID, req.Body)}, nil
	}
	list := cluster(t, 2, 8, target)
	owner := requestid.Partition("t1", testPartitions) % 2
	home := list[1-owner]
	v := copyView(home.view.Load())
	var proxy *tcpProxy
	for p := range v.Partitions {
		if !v.Partitions[p].Own {
			if proxy == nil {
				proxy = newTCPProxy(c, v.Partitions[p].OwnerAddress)
			}
			v.Partitions[p].OwnerAddress = proxy.listener.Addr().String()
		}
	}
	home.view.Store(v)
	replies := make(chan *pb.ForwardReply)
	go func() { replies <- home.Do(context.Background(), newRequest("", "x", testMaxTimeout)) }()
	<-arrived
	proxy.closeConnections()
	close(finish)
	reply := <-replies
	c.Assert(reply.GetFailure(), qt.IsNil, qt.Commentf("%v", reply.GetFailure()))
	c.Assert(target.total(), qt.Equals, 1)
	for id := range target.runsByID {
		c.Assert(string(reply.GetBody()), qt.Equals, string(answerTo(id, []byte("x"))))
	}
}

// Guards G4 against the loss of an answer to an idempotent request that arrives after
// the deadline, and against work that continues after its caller disconnected before the
// deadline.
func TestG4LateIdempotentAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		target := newFakeTarget("t1")
		target.handle = answerAfter(3 * time.Second)
		in := newInstance("self", nil, target)
		in.limits.progressTimeout = 2 * time.Second
		ownAllPartitions(in, 8, target)
		for _, id := range []string{"", requestid.New("donnybrook", time.Now(), in.ids.source(in.view.Load()))} {
			req := newRequest(id, "x", time.Second)
			req.Idempotent = true
			reply := in.Do(context.Background(), req)
			c.Assert(reply.GetStatus(), qt.Equals, int32(504))
			c.Assert(outcomeOf(reply), qt.Equals, pb.Outcome_OUTCOME_UNKNOWN)
			time.Sleep(3 * time.Second)
			found := in.Find(context.Background(), req.GetRequestId())
			c.Assert(string(found.GetBody()), qt.Equals, string(answerTo(req.GetRequestId(), req.GetBody())))
		}
		ctx, disconnect := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer disconnect()
		req := newRequest("", "x", time.Second)
		req.Idempotent = true
		in.Do(ctx, req)
		synctest.Wait()
		c.Assert(in.inFlight.Load(), qt.Equals, int64(0))
	})
}

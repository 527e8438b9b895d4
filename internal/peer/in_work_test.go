package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/ingress"
	"gooseberryreel/internal/pb"
)

type heldExchange struct {
	pb.DRPCPeerUnimplementedServer
	begun   sync.WaitGroup
	release chan struct{}
}

func (s *heldExchange) Exchange(context.Context, *pb.ExchangeRequest) (*pb.ExchangeReply, error) {
	s.begun.Done()
	<-s.release
	return &pb.ExchangeReply{}, nil
}

// Guards against calls of other instances in work whose connections are evicted, although
// a new one could be refused.
func TestNewConnectionsDoNotEvictCallsInWork(t *testing.T) {
	const limit = 4
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	limited := ingress.NewListener(l.(*net.TCPListener), ingress.ListenerOptions{MaxConnections: limit, Messages: ingress.NewBudget(8<<20, nil)})
	server := &heldExchange{release: make(chan struct{})}
	server.begun.Add(limit)
	serveCtx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(serveCtx, limited, server, 1<<20) }()
	c.Cleanup(func() { stop(); <-done })
	pool := NewPool(Options{MaxConnections: limit, DialTimeout: time.Second, MaxMessageBytes: 1 << 20})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	results := make(chan error, limit)
	for range limit {
		go func() {
			results <- pool.Call(ctx, l.Addr().String(), func(ctx context.Context, client pb.DRPCPeerClient) error {
				_, err := client.Exchange(ctx, &pb.ExchangeRequest{})
				return err
			})
		}()
	}
	server.begun.Wait()
	other, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	defer other.Close()
	time.Sleep(200 * time.Millisecond)
	close(server.release)
	for range limit {
		c.Check(<-results, qt.IsNil)
	}
}

package peer

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

type exchangeServer struct {
	pb.DRPCPeerUnimplementedServer
}

func (*exchangeServer) Exchange(context.Context, *pb.ExchangeRequest) (*pb.ExchangeReply, error) {
	return &pb.ExchangeReply{Instance: "b"}, nil
}

// Guards against a pool that can't reach a server, and against a refused
// connection that is not distinguished from other failures.
func TestCallAndRefusal(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	serveCtx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(serveCtx, listener, &exchangeServer{}, 1<<20) }()

	pool := NewPool(Options{MaxConnections: 2, DialTimeout: time.Second, MaxMessageBytes: 1 << 20})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	address := listener.Addr().String()
	var reply *pb.ExchangeReply
	exchange := func(ctx context.Context, client pb.DRPCPeerClient) (err error) {
		reply, err = client.Exchange(ctx, &pb.ExchangeRequest{})
		return err
	}
	c.Assert(pool.Call(ctx, address, exchange), qt.IsNil)
	c.Assert(reply.GetInstance(), qt.Equals, "b")

	stop()
	c.Assert(<-done, qt.IsNil)
	c.Assert(pool.Close(), qt.IsNil)
	secondPool := NewPool(Options{MaxConnections: 2, DialTimeout: time.Second, MaxMessageBytes: 1 << 20})
	err = secondPool.Call(ctx, address, exchange)
	c.Assert(ConnectionRefused(err), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(NotSent(err), qt.IsTrue)
}

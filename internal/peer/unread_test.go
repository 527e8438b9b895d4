package peer

import (
	"context"
	"encoding/binary"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/ingress"
	"gooseberryreel/internal/pb"
)

// messageWithoutCall is a whole message of a stream that does not exist. The reader of its
// connection waits for the stream and does not read again.
func messageWithoutCall(size int) []byte {
	const lastMessage = 2<<1 | 1
	frame := binary.AppendUvarint([]byte{lastMessage, 1, 1}, uint64(size))
	return append(frame, make([]byte, size)...)
}

func serveLimited(c *qt.C, memory int64, maxConnections int) (string, *ingress.Budget, *ingress.Listener) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	budget := ingress.NewBudget(memory, nil)
	limited := ingress.NewListener(l.(*net.TCPListener), ingress.ListenerOptions{MaxConnections: maxConnections, Messages: budget})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, limited, &exchangeServer{}, 1<<20) }()
	c.Cleanup(func() { stop(); <-done })
	return l.Addr().String(), budget, limited
}

// Guards against evicted connections whose reader is not reading: they keep their memory,
// and the messages of other instances wait for it.
func TestMessagesWithoutCallDoNotKeepOutOthers(t *testing.T) {
	c := qt.New(t)
	address, budget, _ := serveLimited(c, 8<<20, 100)
	for range 4 {
		conn, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		_, err = conn.Write(messageWithoutCall(500 << 10))
		c.Assert(err, qt.IsNil)
	}
	time.Sleep(500 * time.Millisecond)
	t.Logf("%d bytes in use", budget.Used())
	pool := NewPool(Options{MaxConnections: 4, DialTimeout: time.Second, MaxMessageBytes: 1 << 20})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	err := pool.Call(ctx, address, func(ctx context.Context, client pb.DRPCPeerClient) error {
		_, err := client.Exchange(ctx, &pb.ExchangeRequest{Instance: strings.Repeat("x", 800<<10)})
		return err
	})
	c.Check(err, qt.IsNil, qt.Commentf("%d bytes in use", budget.Used()))
}

// Guards against connections that are closed, and no longer counted, but keep their
// goroutines and their message.
func TestClosedConnectionsReleaseTheirMessages(t *testing.T) {
	c := qt.New(t)
	address, _, listener := serveLimited(c, 8<<20, 10)
	before := runtime.NumGoroutine()
	for range 200 {
		conn, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		_, _ = conn.Write(messageWithoutCall(4 << 10)) // the server may have closed the connection
		time.Sleep(2 * time.Millisecond)
		_ = conn.Close()
	}
	time.Sleep(time.Second)
	c.Check(listener.Connections() <= 10, qt.IsTrue)
	after := runtime.NumGoroutine()
	c.Check(after-before < 100, qt.IsTrue, qt.Commentf("%d goroutines before, %d after", before, after))
}

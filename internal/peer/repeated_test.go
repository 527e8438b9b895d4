package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcwire"

	"gooseberryreel/internal/pb"
)

// serveExchanges answers each Exchange with the version of its request. write sends the
// bytes of a reply.
func serveExchanges(t *testing.T, write func(net.Conn, []byte)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		for in := drpcwire.NewReader(conn); ; {
			packet, err := in.ReadPacket()
			if err != nil {
				return
			}
			request := &pb.ExchangeRequest{}
			if packet.Kind != drpcwire.KindMessage || proto.Unmarshal(packet.Data, request) != nil {
				continue
			}
			reply, _ := proto.Marshal(&pb.ExchangeReply{Instance: "b", ConfigVersion: request.GetConfigVersion()})
			stream := packet.ID.Stream
			data := drpcwire.AppendFrame(nil, drpcwire.Frame{Data: reply, ID: drpcwire.ID{Stream: stream, Message: 1}, Kind: drpcwire.KindMessage, Done: true})
			write(conn, drpcwire.AppendFrame(data, drpcwire.Frame{ID: drpcwire.ID{Stream: stream, Message: 2}, Kind: drpcwire.KindCloseSend, Done: true}))
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// exchanges makes calls in turn and returns how many succeeded, and how many of these got
// the reply to another call.
func exchanges(address string, calls int, timeout time.Duration) (answered, wrong int) {
	pool := NewPool(Options{MaxConnections: 1, DialTimeout: time.Second, MaxMessageBytes: 1 << 20})
	defer func() { _ = pool.Close() }()
	for n := range calls {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		var reply *pb.ExchangeReply
		err := pool.Call(ctx, address, func(ctx context.Context, client pb.DRPCPeerClient) (err error) {
			reply, err = client.Exchange(ctx, &pb.ExchangeRequest{ConfigVersion: int64(n)})
			return err
		})
		cancel()
		if err == nil {
			answered++
			if reply.GetConfigVersion() != int64(n) {
				wrong++
			}
		}
		time.Sleep(time.Duration(n%4) * time.Millisecond)
	}
	return answered, wrong
}

// Guards against a reply that a peer sends twice, the second of which is taken for that to
// the next call on the connection.
func TestRepeatedReplyIsNotTakenForTheNext(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond} {
		var repeated atomic.Int32
		answered, wrong := exchanges(serveExchanges(t, func(conn net.Conn, data []byte) {
			_, _ = conn.Write(data)
			time.AfterFunc(delay, func() {
				if _, err := conn.Write(data); err == nil {
					repeated.Add(1)
				}
			})
		}), 200, 10*time.Second)
		qt.Check(t, wrong, qt.Equals, 0, qt.Commentf("second reply after %v", delay))
		qt.Check(t, answered > 0, qt.IsTrue)
		t.Logf("second reply after %v: %d sent, %d of 200 calls answered", delay, repeated.Load(), answered)
	}
}

// Guards against a part of a reply that is taken for a whole one when a peer ends.
func TestCutReplyIsAnError(t *testing.T) {
	for _, left := range []func([]byte) int{
		func([]byte) int { return 0 }, func([]byte) int { return 1 },
		func(data []byte) int { return len(data) / 2 }, func(data []byte) int { return len(data) - 8 },
	} {
		answered, _ := exchanges(serveExchanges(t, func(conn net.Conn, data []byte) {
			_, _ = conn.Write(data[:left(data)])
			_ = conn.Close()
		}), 3, 10*time.Second)
		qt.Check(t, answered, qt.Equals, 0)
	}
}

// Guards against a reply that comes after its call ended and is taken for that to the next
// call.
func TestLateReplyIsNotTakenForTheNext(t *testing.T) {
	var sent atomic.Int32
	answered, wrong := exchanges(serveExchanges(t, func(conn net.Conn, data []byte) {
		delay := time.Duration(sent.Add(1)%3) * 50 * time.Millisecond
		time.AfterFunc(delay, func() { _, _ = conn.Write(data) })
	}), 60, 60*time.Millisecond)
	qt.Check(t, wrong, qt.Equals, 0)
	qt.Check(t, answered > 0 && answered < 60, qt.IsTrue, qt.Commentf("%d answered", answered))
}

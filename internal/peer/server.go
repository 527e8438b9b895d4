package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"gooseberryreel/internal/pb"
)

// Serve serves calls from peers on a listener until the context ends.
func Serve(ctx context.Context, listener net.Listener, handler pb.DRPCPeerServer, maxMessageBytes int) error {
	mux := drpcmux.New()
	if err := pb.DRPCRegisterPeer(mux, handler); err != nil {
		return errors.Wrap(err, "register peer service")
	}
	return serve(ctx, listener, mux, maxMessageBytes)
}

// ServeJobs serves calls to the owner of the job state on a listener until the
// context ends.
func ServeJobs(ctx context.Context, listener net.Listener, handler pb.DRPCJobsServer, maxMessageBytes int) error {
	mux := drpcmux.New()
	if err := pb.DRPCRegisterJobs(mux, handler); err != nil {
		return errors.Wrap(err, "register jobs service")
	}
	return serve(ctx, listener, mux, maxMessageBytes)
}

func serve(ctx context.Context, listener net.Listener, mux *drpcmux.Mux, maxMessageBytes int) error {
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions(maxMessageBytes)})
	ctx, stop := context.WithCancel(ctx)
	var connections sync.WaitGroup
	defer connections.Wait()
	defer stop()
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	for {
		conn, err := listener.Accept()
		var temporary interface{ Temporary() bool }
		switch {
		case err == nil:
			connections.Go(func() { serveConn(ctx, server, conn) })
		case ctx.Err() != nil:
			return nil
		case errors.As(err, &temporary) && temporary.Temporary():
			sleep(ctx, acceptRetryDelay)
		default:
			return errors.Wrap(err, "serve peers")
		}
	}
}

// serveConn serves a connection. A reader of drpc that waits for a stream does not see that
// its connection is closed, so its context ends too.
func serveConn(ctx context.Context, server *drpcserver.Server, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if c, ok := conn.(interface{ Context() context.Context }); ok {
		defer context.AfterFunc(c.Context(), cancel)()
	}
	_ = server.ServeOne(ctx, conn) // the peer sees that its connection is closed
}

// acceptRetryDelay is the delay after a temporary error, such as too many open files.
const acceptRetryDelay = 500 * time.Millisecond

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

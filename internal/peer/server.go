package peer

import (
	"context"
	"net"

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
	return errors.Wrap(server.Serve(ctx, listener), "serve peers")
}

// Package peer makes and serves calls between instances over drpc.
package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"gooseberryreel/internal/pb"
)

const (
	idleExpiration = 30 * time.Second
	keepAlive      = 5 * time.Second
	// frameOverheadBytes is added to the body size to allow for the rest of a
	// message.
	frameOverheadBytes = 64 << 10
)

// DialError reports that no connection was established, so the call had no
// effect.
type DialError struct {
	Address string
	// ConnectionRefused is set if the address refused the connection, which means
	// that no process listens there.
	ConnectionRefused bool
	Cause             error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("dial peer %s: %v", e.Address, e.Cause) }

// Unwrap returns Cause.
func (e *DialError) Unwrap() error { return e.Cause }

// NotSent reports whether err proves that the call never left this process.
func NotSent(err error) bool {
	var dial *DialError
	return errors.As(err, &dial) || errors.Is(err, ErrBusy)
}

// ConnectionRefused reports whether err proves that no process listens at the
// address.
func ConnectionRefused(err error) bool {
	var dial *DialError
	return errors.As(err, &dial) && dial.ConnectionRefused
}

// ErrBusy is returned if all connections to a peer were in use until the
// deadline for acquiring one.
var ErrBusy = errors.New("all connections to the peer are in use")

// Options are the limits of a Pool.
type Options struct {
	// MaxConnections is the limit per peer.
	MaxConnections int
	DialTimeout    time.Duration
	// MaxMessageBytes is the largest body of a message.
	MaxMessageBytes int
}

// Pool keeps connections to peers open for reuse. A drpc connection carries one
// call at a time, so each call uses a connection of its own.
type Pool struct {
	opts  Options
	conns *drpcpool.Pool[string, *drpcconn.Conn]

	mu    sync.Mutex
	slots map[string]*semaphore.Weighted
}

// NewPool returns an empty pool.
func NewPool(opts Options) *Pool {
	return &Pool{
		opts:  opts,
		conns: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{Expiration: idleExpiration, KeyCapacity: opts.MaxConnections}),
		slots: make(map[string]*semaphore.Weighted),
	}
}

// Close closes the idle connections.
func (p *Pool) Close() error { return p.conns.Close() }

// Call runs f with a client for the peer at an address. It fails with ErrBusy if
// no connection becomes free in time, and with a DialError if none can be
// established. The context must have a deadline, since a call on an unresponsive
// connection ends only with its context. Its connection is closed then.
func (p *Pool) Call(ctx context.Context, address string, f func(ctx context.Context, client pb.DRPCPeerClient) error) error {
	return p.CallWithConnectionDeadline(ctx, time.Time{}, address, f)
}

// CallWithConnectionDeadline is Call with a deadline for acquiring a free
// connection. The zero time stands for the context's deadline.
func (p *Pool) CallWithConnectionDeadline(ctx context.Context, connDeadline time.Time, address string, f func(ctx context.Context, client pb.DRPCPeerClient) error) error {
	return p.withConnection(ctx, connDeadline, address, func(conn drpc.Conn) error { return f(ctx, pb.NewDRPCPeerClient(conn)) })
}

// CallJobs is Call for the service that the owner of the job state offers.
func (p *Pool) CallJobs(ctx context.Context, address string, f func(ctx context.Context, client pb.DRPCJobsClient) error) error {
	return p.withConnection(ctx, time.Time{}, address, func(conn drpc.Conn) error { return f(ctx, pb.NewDRPCJobsClient(conn)) })
}

func (p *Pool) withConnection(ctx context.Context, connDeadline time.Time, address string, f func(drpc.Conn) error) error {
	slots := p.callSlots(address)
	if !slots.TryAcquire(1) && acquireSlot(ctx, connDeadline, slots) != nil {
		return errors.Wrapf(ErrBusy, "peer %s", address)
	}
	defer slots.Release(1)
	conn := p.conns.Get(ctx, address, p.dial)
	return f(conn)
}

func acquireSlot(ctx context.Context, connDeadline time.Time, slots *semaphore.Weighted) error {
	if !connDeadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, connDeadline)
		defer cancel()
	}
	return slots.Acquire(ctx, 1)
}

func (p *Pool) callSlots(address string) *semaphore.Weighted {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.slots[address]
	if !ok {
		s = semaphore.NewWeighted(int64(p.opts.MaxConnections))
		p.slots[address] = s
	}
	return s
}

func (p *Pool) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	dialer := net.Dialer{Timeout: p.opts.DialTimeout, KeepAlive: keepAlive}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &DialError{Address: address, ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED), Cause: err}
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions(p.opts.MaxMessageBytes)}), nil
}

func managerOptions(maxMessageBytes int) drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes + frameOverheadBytes},
	}
}

// Package peer carries calls between entry instances over drpc.
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
	// frameOverheadBytes is the room in a message besides its body.
	frameOverheadBytes = 64 << 10
)

// DialError says that no connection was made, so the call had no effect.
type DialError struct {
	Address string
	// Refused says that the address refused the connection: no process listens
	// there.
	Refused bool
	Cause   error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("dial peer %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// NotSent reports whether err proves that the call never left this process.
func NotSent(err error) bool {
	var dial *DialError
	return errors.As(err, &dial) || errors.Is(err, ErrBusy)
}

// ConnectionRefused reports whether err proves that no process listens at the address.
func ConnectionRefused(err error) bool {
	var dial *DialError
	return errors.As(err, &dial) && dial.Refused
}

// ErrBusy says that all connections to a peer were in use until the context
// ended.
var ErrBusy = errors.New("all connections to the peer are in use")

// Options bounds a Pool.
type Options struct {
	// MaxConnections is the bound per peer.
	MaxConnections int
	DialTimeout    time.Duration
	// MaxMessageBytes is the largest body that a message carries.
	MaxMessageBytes int
}

// Pool keeps connections to peers. A drpc connection carries one call at a
// time, so each call has a connection to itself.
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

// Close closes idle connections.
func (p *Pool) Close() error { return p.conns.Close() }

// Call runs f with a client for the peer at an address. The context must have a
// deadline, so that a silent connection can't hold the call for good; a
// connection whose call ended by its context is closed.
func (p *Pool) Call(ctx context.Context, address string, f func(ctx context.Context, client pb.DRPCPeerClient) error) error {
	return p.CallWithConnectionDeadline(ctx, time.Time{}, address, f)
}

// CallWithConnectionDeadline is Call with a time by which a connection must be free, zero for the
// context's deadline.
func (p *Pool) CallWithConnectionDeadline(ctx context.Context, by time.Time, address string, f func(ctx context.Context, client pb.DRPCPeerClient) error) error {
	return p.connect(ctx, by, address, func(conn drpc.Conn) error { return f(ctx, pb.NewDRPCPeerClient(conn)) })
}

// CallJobs is Call for the service of the owner of the job state.
func (p *Pool) CallJobs(ctx context.Context, address string, f func(ctx context.Context, client pb.DRPCJobsClient) error) error {
	return p.connect(ctx, time.Time{}, address, func(conn drpc.Conn) error { return f(ctx, pb.NewDRPCJobsClient(conn)) })
}

func (p *Pool) connect(ctx context.Context, by time.Time, address string, f func(drpc.Conn) error) error {
	slots := p.slotsOf(address)
	if !slots.TryAcquire(1) && acquireBy(ctx, by, slots) != nil {
		return errors.Wrapf(ErrBusy, "peer %s", address)
	}
	defer slots.Release(1)
	conn := p.conns.Get(ctx, address, p.dial)
	return f(conn)
}

func acquireBy(ctx context.Context, by time.Time, slots *semaphore.Weighted) error {
	if !by.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, by)
		defer cancel()
	}
	return slots.Acquire(ctx, 1)
}

func (p *Pool) slotsOf(address string) *semaphore.Weighted {
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
		return nil, &DialError{Address: address, Refused: errors.Is(err, syscall.ECONNREFUSED), Cause: err}
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions(p.opts.MaxMessageBytes)}), nil
}

func managerOptions(maxMessageBytes int) drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes + frameOverheadBytes},
	}
}

package ingress

import (
	"container/list"
	"context"
	"net"
	"sync"
)

// ListenerOptions configures a Listener.
type ListenerOptions struct {
	MaxConnections int
	// Messages limits the memory of the messages on the connections, which speak drpc. Nil
	// is for HTTP.
	Messages *Budget
	// Evicted is called with the reason for each connection that is closed because of
	// the limit. It must not block; nil ignores them.
	Evicted func(reason string)
}

// Listener accepts TCP connections up to a limit. Beyond it, a new connection replaces
// the one that has made no progress for longest, unless all connections have requests in
// work.
type Listener struct {
	*net.TCPListener
	options ListenerOptions

	mu   sync.Mutex
	open int
	// waiting holds the connections without a request in work, ordered by their last
	// progress.
	waiting *list.List
}

// NewListener returns a listener that limits the connections of another one.
func NewListener(l *net.TCPListener, o ListenerOptions) *Listener {
	if o.Evicted == nil {
		o.Evicted = func(string) {}
	}
	return &Listener{TCPListener: l, options: o, waiting: list.New()}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		c := &conn{TCPConn: accepted, listener: l}
		c.ctx, c.cancel = context.WithCancel(context.Background())
		c.headers.expect()
		if l.options.Messages != nil {
			c.messages = newMessageMemory(c, l.options.Messages)
		}
		if l.admit(c) {
			return c, nil
		}
		l.options.Evicted("all in use")
		_ = c.closeNow()
	}
}

// Connections returns the number of open connections.
func (l *Listener) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// admit adds a connection. It evicts another one at the limit, and reports false if there
// is none to evict.
func (l *Listener) admit(c *conn) bool {
	for {
		l.mu.Lock()
		if l.open < l.options.MaxConnections {
			l.open++
			c.element = l.waiting.PushBack(c)
			l.mu.Unlock()
			return true
		}
		front := l.waiting.Front()
		if front == nil {
			l.mu.Unlock()
			return false
		}
		victim := front.Value.(*conn)
		l.removeLocked(victim)
		l.mu.Unlock()
		l.options.Evicted("no progress")
		_ = victim.closeNow()
	}
}

// removeLocked removes a connection that is closed.
func (l *Listener) removeLocked(c *conn) {
	if c.removed {
		return
	}
	c.removed = true
	l.open--
	if c.element != nil {
		l.waiting.Remove(c.element)
		c.element = nil
	}
}

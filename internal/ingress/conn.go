package ingress

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// lingerTime limits how long a graceful close waits for the client.
	lingerTime = 500 * time.Millisecond
	// lingerBytes limits what a graceful close reads.
	lingerBytes = 1 << 20
)

// conn is a connection of a Listener.
type conn struct {
	*net.TCPConn
	listener *Listener
	graceful atomic.Bool
	messages *messageMemory // nil for HTTP
	headers  headerLines    // for HTTP
	ctx      context.Context
	cancel   context.CancelFunc

	// Guarded by listener.mu.
	element *list.Element // in listener.waiting, nil while a request is in work
	removed bool
}

type connKey struct{}

// ConnContext is the ConnContext of an http.Server that serves a Listener with Handler.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request, nil if it did not come through a Listener.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// Handler returns a handler that protects connections from eviction while next serves a
// request without a body. A request with a body is protected once it has been read.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.headers.end()
		defer c.headers.expect()
		if r.Body == nil || r.Body == http.NoBody {
			c.protect()
		} else {
			c.progress()
		}
		defer c.progress()
		next.ServeHTTP(w, r)
	})
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.headers.exceeded() {
		c.closeGracefully()
		return 0, errTooManyLines
	}
	n, err := c.TCPConn.Read(p)
	if c.messages == nil {
		c.headers.arrived(p[:n])
	} else if refused := c.messages.arrived(p[:n]); refused != nil {
		return 0, refused
	}
	return n, err
}

// Write implements net.Conn. A client that does not read its response keeps no other one
// out.
func (c *conn) Write(p []byte) (int, error) {
	if c.messages == nil {
		c.progress()
	}
	return c.TCPConn.Write(p)
}

// protect excludes the connection from eviction until its next progress.
func (c *conn) protect() {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.element != nil {
		c.listener.waiting.Remove(c.element)
		c.element = nil
	}
}

// progress records that the connection has made progress, and allows its eviction.
func (c *conn) progress() {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	switch {
	case c.removed:
	case c.element != nil:
		c.listener.waiting.MoveToBack(c.element)
	default:
		c.element = c.listener.waiting.PushBack(c)
	}
}

// closeGracefully makes Close wait until the client has read the response.
func (c *conn) closeGracefully() {
	if c != nil {
		c.graceful.Store(true)
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.graceful.Swap(false) {
		c.linger()
	}
	c.listener.mu.Lock()
	c.listener.removeLocked(c)
	c.listener.mu.Unlock()
	return c.closeNow()
}

// Context returns a context that ends when the connection is closed or evicted. Its
// reader may be waiting for something else than the next read.
func (c *conn) Context() context.Context { return c.ctx }

// closeNow closes a connection that has been removed from the listener.
func (c *conn) closeNow() error {
	c.cancel()
	err := c.TCPConn.Close()
	if c.messages != nil {
		c.messages.account.release()
	}
	return err
}

// linger ends the response and reads what the client still sends. A close with unread
// data would reset the connection, and the client could lose the response.
func (c *conn) linger() {
	if c.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	buffer := make([]byte, 4<<10)
	for left := lingerBytes; left > 0; {
		n, err := c.TCPConn.Read(buffer)
		if err != nil {
			return
		}
		left -= n
	}
}

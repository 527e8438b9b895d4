// Package loopback forwards TCP connections between processes of a test on one
// machine and injects network faults: it delays, stalls, closes, resets and refuses them.
package loopback

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Mode is how a proxy treats connections and data.
type Mode int

// Modes of a proxy.
const (
	Forward Mode = iota
	// Stall accepts connections but holds back all data, like a network that
	// drops packets. The data is delivered once the proxy forwards again.
	Stall
	// StallToServer and StallToClient hold back the data of one direction only.
	StallToServer
	StallToClient
	// Refuse closes all connections and the listener.
	Refuse
	// Reset accepts connections and resets them at once, like open ones.
	Reset
	// ResetRequests resets open connections, and later ones once data arrives.
	ResetRequests
)

// Proxy is a TCP proxy on a loopback address in front of one server.
type Proxy struct {
	// Address is where the proxy accepts connections.
	Address  string
	upstream string // address of the server
	// rewrite changes forwarded data; nil leaves it unchanged.
	rewrite func(data []byte, toServer bool) []byte

	mu       sync.Mutex
	changed  *sync.Cond
	mode     Mode
	delay    time.Duration
	closed   bool
	listener net.Listener
	conns    map[net.Conn]bool
}

// New starts a proxy in Forward mode for the server at an address. If rewrite isn't
// nil, it is called with each piece of data and whether it goes to the server.
func New(upstream string, rewrite func([]byte, bool) []byte) (*Proxy, error) {
	listener, err := Listen()
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: listener.Addr().String(), upstream: upstream, rewrite: rewrite, listener: listener, conns: make(map[net.Conn]bool)}
	p.changed = sync.NewCond(&p.mu)
	go p.accept(listener)
	return p, nil
}

// SetMode changes the mode.
func (p *Proxy) SetMode(mode Mode) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	p.mode = mode
	p.changed.Broadcast()
	if p.closesConns() {
		p.closeConnsLocked()
	}
	if mode == Refuse {
		if p.listener != nil {
			_ = p.listener.Close()
			p.listener = nil
		}
		return nil
	}
	if p.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", p.Address)
	if err != nil {
		return errors.Wrap(err, "listen again")
	}
	p.listener = listener
	go p.accept(listener)
	return nil
}

// CloseConnections closes all open connections. New ones are accepted.
func (p *Proxy) CloseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeConnsLocked()
}

// SetUpstream changes the address to which later connections are forwarded.
func (p *Proxy) SetUpstream(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstream = address
}

// SetDelay sets the delay of each piece of data.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// IsStalled reports whether the mode is Stall.
func (p *Proxy) IsStalled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode == Stall
}

// Close closes the listener and all connections. SetMode can't reopen the proxy.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	p.closeConnsLocked()
	p.changed.Broadcast()
}

func (p *Proxy) closeConnsLocked() {
	for conn := range p.conns {
		p.closeConn(conn)
	}
}

// closesConns reports whether the mode forwards nothing and closes connections. The
// caller holds mu.
func (p *Proxy) closesConns() bool {
	return p.mode == Refuse || p.mode == Reset || p.mode == ResetRequests
}

// closeConn closes a connection, with a reset if the mode asks for it. The caller holds mu.
func (p *Proxy) closeConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok && (p.mode == Reset || p.mode == ResetRequests) {
		_ = tcp.SetLinger(0) // fails if the connection is closed already
	}
	_ = conn.Close()
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

// stalled reports whether the data of a direction is held back. The caller holds
// mu.
func (p *Proxy) stalled(toServer bool) bool {
	return p.mode == Stall || toServer && p.mode == StallToServer || !toServer && p.mode == StallToClient
}

// waitToForward waits while the data of a direction is held back and then for the
// delay. It reports whether data may be forwarded.
func (p *Proxy) waitToForward(toServer bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.stalled(toServer) && !p.closed {
		p.changed.Wait()
	}
	if p.delay > 0 {
		d := p.delay
		p.mu.Unlock()
		time.Sleep(d)
		p.mu.Lock()
	}
	return !p.closed && !p.closesConns()
}

// track adds a connection to those that the proxy can close. It closes the
// connection and returns false if the proxy refuses or resets connections.
func (p *Proxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.closesConns() && p.mode != ResetRequests {
		p.closeConn(conn)
		return false
	}
	p.conns[conn] = true
	return true
}

func (p *Proxy) untrack(conn net.Conn) {
	_ = conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

func (p *Proxy) forward(client net.Conn) {
	if !p.track(client) {
		return
	}
	defer p.untrack(client)
	if !p.waitToForward(true) {
		p.resetAfterRequest(client)
		return
	}
	p.mu.Lock()
	upstream := p.upstream
	p.mu.Unlock()
	server, err := net.Dial("tcp", upstream)
	if err != nil || !p.track(server) {
		return
	}
	defer p.untrack(server)
	ended := make(chan struct{}, 2)
	go func() { p.copy(server, client, true); ended <- struct{}{} }()
	go func() { p.copy(client, server, false); ended <- struct{}{} }()
	<-ended
}

// resetAfterRequest waits for data and resets the connection if the mode is ResetRequests.
func (p *Proxy) resetAfterRequest(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.mode != ResetRequests {
		return
	}
	p.mu.Unlock()
	_, _ = conn.Read(make([]byte, 1)) // an error means that the client has closed it
	p.mu.Lock()
	p.closeConn(conn)
}

// copy forwards the data of one direction until a connection ends.
func (p *Proxy) copy(to, from net.Conn, toServer bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if !p.waitToForward(toServer) {
			return
		}
		if n > 0 {
			data := buffer[:n]
			if p.rewrite != nil {
				data = p.rewrite(data, toServer)
			}
			if _, err := to.Write(data); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

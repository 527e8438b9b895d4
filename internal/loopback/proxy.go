// Package loopback forwards TCP connections between processes of a test on one
// machine and disturbs them from outside: it delays, silences, resets and
// refuses them.
package loopback

import (
	"net"
	"sync"
	"time"
)

// Mode says what a link does with connections and bytes.
type Mode int

// Modes of a link.
const (
	Forward Mode = iota
	// Stall holds all bytes and lets connections open, as a network that
	// drops packets. What was held is delivered once the link passes again.
	Stall
	// StallToServer and SilentToClient hold the bytes of one direction only.
	StallToServer
	StallToClient
	// Refuse closes all connections and refuses new ones.
	Refuse
)

// Proxy is a loopback TCP forwarder from one process to one server.
type Proxy struct {
	// Address is where the link accepts connections.
	Address string
	to      string
	// rewrite changes the bytes on their way; nil leaves them.
	rewrite func(data []byte, toServer bool) []byte

	mu       sync.Mutex
	changed  *sync.Cond
	mode     Mode
	delay    time.Duration
	closed   bool
	listener net.Listener
	conns    map[net.Conn]bool
}

// New opens a link to a server.
func New(to string, rewrite func([]byte, bool) []byte) (*Proxy, error) {
	listener, err := Listen(ProxyHost)
	if err != nil {
		return nil, err
	}
	l := &Proxy{Address: listener.Addr().String(), to: to, rewrite: rewrite, listener: listener, conns: make(map[net.Conn]bool)}
	l.changed = sync.NewCond(&l.mu)
	go l.accept(listener)
	return l, nil
}

// Links and processes listen on different loopback addresses. Connections have
// their local ends at the first, so none can take a port of the second between
// its choice and the start of the process that is to listen there.
const (
	ProxyHost   = "127.0.0.1"
	ProcessHost = "127.0.0.2"
)

// Listen listens on a free port of five digits, so that the rewriting
// of addresses in messages keeps their length.
func Listen(host string) (net.Listener, error) {
	for {
		listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil || listener.Addr().(*net.TCPAddr).Port >= 10_000 {
			return listener, err
		}
		defer listener.Close() // held until another port is found
	}
}

// SetMode changes the mode. A relisten on the same port may need a few tries, since
// the port can be in use as the local end of another connection.
func (l *Proxy) SetMode(mode Mode) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.mode = mode
	l.changed.Broadcast()
	if mode == Refuse {
		_ = l.listener.Close()
		l.dropLocked()
		l.listener = nil
		return nil
	}
	var err error
	for tries := 0; l.listener == nil && tries < 100; tries++ {
		l.listener, err = net.Listen("tcp", l.Address)
		if err == nil {
			go l.accept(l.listener)
			return nil
		}
		l.listener = nil
		time.Sleep(10 * time.Millisecond)
	}
	return err
}

// CloseConnections breaks all open connections; new ones are accepted.
func (l *Proxy) CloseConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropLocked()
}

// SetDelay delays each piece of data.
func (l *Proxy) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// IsStalled reports whether the link holds all bytes.
func (l *Proxy) IsStalled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode == Stall
}

// Close ends the link for good: new connections are refused.
func (l *Proxy) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
	l.dropLocked()
	l.changed.Broadcast()
}

func (l *Proxy) dropLocked() {
	for conn := range l.conns {
		_ = conn.Close()
	}
}

func (l *Proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn)
	}
}

// held reports whether the link holds the bytes of a direction.
func (l *Proxy) held(toServer bool) bool {
	return l.mode == Stall || toServer && l.mode == StallToServer || !toServer && l.mode == StallToClient
}

// pass waits while the link holds the bytes of a direction and reports whether it
// is still open.
func (l *Proxy) pass(toServer bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.held(toServer) && !l.closed {
		l.changed.Wait()
	}
	if l.delay > 0 {
		d := l.delay
		l.mu.Unlock()
		time.Sleep(d)
		l.mu.Lock()
	}
	return !l.closed && l.mode != Refuse
}

func (l *Proxy) track(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.mode == Refuse {
		_ = conn.Close()
		return false
	}
	l.conns[conn] = true
	return true
}

func (l *Proxy) untrack(conn net.Conn) {
	_ = conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

func (l *Proxy) forward(client net.Conn) {
	if !l.track(client) {
		return
	}
	defer l.untrack(client)
	if !l.pass(true) {
		return
	}
	server, err := net.Dial("tcp", l.to)
	if err != nil || !l.track(server) {
		return
	}
	defer l.untrack(server)
	ended := make(chan struct{}, 2)
	go func() { l.copy(server, client, true); ended <- struct{}{} }()
	go func() { l.copy(client, server, false); ended <- struct{}{} }()
	<-ended
}

func (l *Proxy) copy(to, from net.Conn, toServer bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if !l.pass(toServer) {
			return
		}
		if n > 0 {
			data := buffer[:n]
			if l.rewrite != nil {
				data = l.rewrite(data, toServer)
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

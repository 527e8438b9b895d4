package standin

import (
	"net"
	"sync"
	"time"
)

// Waiting for a free connection below the limit.
const (
	limitGrace         = 100 * time.Millisecond
	limitRetryInterval = time.Millisecond
)

// connSet is the open connections of a server, with their limit and faults.
type connSet struct {
	mu          sync.Mutex
	conns       map[*faultConn]bool
	unfrozen    chan struct{} // closed when a freeze ends; nil while not frozen
	limit       int           // connections, 0 for no limit
	onOverLimit func()        // called for each connection over the limit
}

func (s *connSet) freeze(frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case frozen && s.unfrozen == nil:
		s.unfrozen = make(chan struct{})
	case !frozen && s.unfrozen != nil:
		close(s.unfrozen)
		s.unfrozen = nil
	}
}

// silence makes all open connections discard their traffic from now on.
func (s *connSet) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.silent = true
	}
}

func (s *connSet) closeAll() {
	s.mu.Lock()
	conns := make([]*faultConn, 0, len(s.conns))
	for conn := range s.conns {
		conns = append(conns, conn)
	}
	s.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

func (s *connSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// add adds a connection, or returns nil if the limit is reached.
func (s *connSet) add(conn net.Conn) *faultConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit > 0 && len(s.conns) >= s.limit {
		return nil
	}
	tracked := &faultConn{Conn: conn, connSet: s, done: make(chan struct{})}
	s.conns[tracked] = true
	return tracked
}

// faultListener adds the accepted connections to a connSet.
type faultListener struct {
	net.Listener
	connSet *connSet
}

// Accept implements net.Listener.
func (l *faultListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tracked := l.connSet.addWithin(limitGrace, conn); tracked != nil {
			return tracked, nil
		}
		_ = conn.Close()
		l.connSet.onOverLimit()
	}
}

// addWithin adds a connection and waits up to grace for the limit to allow it. A
// client may dial as soon as it has closed another connection, and the server may
// notice the close after the dial.
func (s *connSet) addWithin(grace time.Duration, conn net.Conn) *faultConn {
	for deadline := time.Now().Add(grace); ; {
		if tracked := s.add(conn); tracked != nil || time.Now().After(deadline) {
			return tracked
		}
		time.Sleep(limitRetryInterval)
	}
}

// faultConn is a connection that holds back its traffic while its connSet is frozen
// and discards it once it is silent.
type faultConn struct {
	net.Conn
	connSet         *connSet
	silent          bool // guarded by connSet.mu
	duplicateWrites bool // guarded by connSet.mu; each write is repeated
	once            sync.Once
	done            chan struct{}
}

// waitUnfrozen waits until no freeze is set or the connection is closed, and reports
// whether the connection is silent.
func (c *faultConn) waitUnfrozen() bool {
	for {
		c.connSet.mu.Lock()
		unfrozen, silent := c.connSet.unfrozen, c.silent
		c.connSet.mu.Unlock()
		if unfrozen == nil {
			return silent
		}
		select {
		case <-unfrozen:
		case <-c.done:
			return silent
		}
	}
}

// Read implements net.Conn. Input of a silent connection is discarded.
func (c *faultConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if silent := c.waitUnfrozen(); !silent || err != nil {
			return n, err
		}
	}
}

// Write implements net.Conn. Output of a silent connection is discarded.
func (c *faultConn) Write(p []byte) (int, error) {
	if c.waitUnfrozen() {
		return len(p), nil
	}
	c.connSet.mu.Lock()
	duplicateWrites := c.duplicateWrites
	c.connSet.mu.Unlock()
	n, err := c.Conn.Write(p)
	if duplicateWrites && err == nil {
		_, err = c.Conn.Write(p)
	}
	return n, err
}

func (c *faultConn) setDuplicateWrites(duplicateWrites bool) {
	c.connSet.mu.Lock()
	defer c.connSet.mu.Unlock()
	c.duplicateWrites = duplicateWrites
}

// Close implements net.Conn.
func (c *faultConn) Close() error {
	c.once.Do(func() {
		close(c.done)
		c.connSet.mu.Lock()
		delete(c.connSet.conns, c)
		c.connSet.mu.Unlock()
	})
	return c.Conn.Close()
}

package fakeengine

import (
	"net"
	"sync"
)

// faultListener tracks its connections so that faults can silence or reset them.
type faultListener struct {
	net.Listener

	mu       sync.Mutex
	conns    map[*faultConn]struct{}
	accepted int64
}

func newFaultListener(l net.Listener) *faultListener {
	return &faultListener{Listener: l, conns: make(map[*faultConn]struct{})}
}

// Accept implements net.Listener.
func (l *faultListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	fc := &faultConn{Conn: c, listener: l, closed: make(chan struct{})}
	l.mu.Lock()
	l.conns[fc] = struct{}{}
	l.accepted++
	l.mu.Unlock()
	return fc, nil
}

func (l *faultListener) acceptedCount() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted
}

func (l *faultListener) forEach(f func(*faultConn)) {
	l.mu.Lock()
	conns := make([]*faultConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		f(c)
	}
}

// silence stops all data on the connections that are open now.
func (l *faultListener) silence() { l.forEach((*faultConn).silence) }

// reset closes all connections with a TCP reset.
func (l *faultListener) reset() { l.forEach((*faultConn).reset) }

// faultConn is a connection that can become silent. A silent connection delivers
// no data in either direction, and the peer sees no close, as when a firewall or
// NAT device on the path has lost the state of the connection.
type faultConn struct {
	net.Conn
	listener *faultListener
	closed   chan struct{}

	mu        sync.Mutex
	silent    bool
	closeOnce sync.Once
}

func (c *faultConn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *faultConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// Read implements net.Conn. On a silent connection it blocks until Close.
func (c *faultConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. On a silent connection the bytes are discarded.
func (c *faultConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. It leaves the TCP connection of a silent faultConn
// open, because the peer must not see it close; reset closes it.
func (c *faultConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	if c.isSilent() {
		return nil
	}
	c.untrack()
	return c.Conn.Close()
}

func (c *faultConn) reset() {
	c.closeOnce.Do(func() { close(c.closed) })
	c.untrack()
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Conn.Close()
}

func (c *faultConn) untrack() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	delete(c.listener.conns, c)
}

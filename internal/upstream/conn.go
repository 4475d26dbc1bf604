package upstream

import (
	"crypto/tls"
	"net"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package that are not failures of requests.
var Error = errs.Class("upstream")

// errLate ends a request whose first byte would leave after Call.SendBefore.
var errLate = Error.New("the grant ran out before the request was sent")

var errSealed = Error.New("the connection was closed by the client")

// countingConn counts the writes that were begun and can be sealed against
// further ones. Sealing makes the count final, while closing alone leaves open
// whether a write of the transport's own goroutine is just about to begin.
type countingConn struct {
	net.Conn

	mu     sync.Mutex
	writes int64
	sealed bool
	// sendBefore is set for the first write of a request. The check stands in
	// Write itself, since a process may be paused anywhere before it.
	sendBefore time.Time
	late       bool
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	if !c.sendBefore.IsZero() && !time.Now().Before(c.sendBefore) {
		c.sealed, c.late = true, true
		c.mu.Unlock()
		return 0, errLate
	}
	c.sendBefore = time.Time{}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// begin prepares the connection for a request and returns the writes so far.
func (c *countingConn) begin(sendBefore time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendBefore = sendBefore
	return c.writes
}

func (c *countingConn) isLate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.late
}

func (c *countingConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// writeProof tells whether a byte of one request was written to a connection.
type writeProof struct {
	mu     sync.Mutex
	got    bool
	conn   *countingConn
	before int64
	// sendBefore is the end of the grant; zero sets no bound.
	sendBefore time.Time
}

// gotConn notes the connection of the request before anything is written to it.
func (p *writeProof) gotConn(info httptrace.GotConnInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.got {
		// A second connection means that the transport repeated the request, and
		// what went to the first one is not known.
		p.conn = nil
		return
	}
	p.got = true
	raw := info.Conn
	if t, ok := raw.(*tls.Conn); ok {
		raw = t.NetConn()
	}
	if c, ok := raw.(*countingConn); ok {
		p.conn, p.before = c, c.begin(p.sendBefore)
	}
}

// late reports whether the request was held back because its grant had ended.
func (p *writeProof) late() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn != nil && p.conn.isLate()
}

// nothingWritten is true only with proof. It seals the connection, so it may
// only be asked after the round trip has failed.
func (p *writeProof) nothingWritten() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.got {
		return true
	}
	return p.conn != nil && p.conn.seal() == p.before
}

package clientlimit

import (
	"bytes"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// phase is what a connection is doing.
type phase int

const (
	// inHead: no complete head of a first or next request has arrived. inBody: a handler runs
	// and its request's body has not ended. serving: a handler runs and nothing is awaited from
	// the client. draining: the handler has ended, the rest of its request's body is discarded.
	// idle: between requests.
	inHead phase = iota
	inBody
	serving
	draining
	idle
)

// conn is a connection under the limits of a Guard.
type conn struct {
	// Conn is decrypted, transport is the connection below it.
	net.Conn
	transport net.Conn
	guard     *Guard

	// handshaking is set until the first decrypted bytes arrive.
	handshaking atomic.Bool

	mu    sync.Mutex
	phase phase
	// active is the number of handlers that run. writing holds the requests whose responses wait
	// for the client, and since when.
	active  int
	writing map[*request]time.Time
	// multiplexed is set for HTTP/2.
	multiplexed bool
	http2       http2State
	// lastRead is when any byte arrived. lastProgress is when progressBytes had arrived or the
	// phase changed, pending what arrived since.
	lastRead, lastProgress time.Time
	pending                int
	// headBytes and headLines count the head so far, headCharge is charged for it, and held is
	// all that is charged for the connection.
	headBytes, headLines int
	headCharge, held     int64
	writeDeadline        time.Time
	closed               bool
}

func newConn(nc net.Conn, g *Guard, config *tls.Config) *conn {
	c := &conn{Conn: nc, transport: nc, guard: g, writing: make(map[*request]time.Time)}
	c.http2.unfinished = make(map[*body]struct{})
	if config != nil {
		c.Conn = tls.Server(&handshakeConn{Conn: nc, c: c}, config)
		c.handshaking.Store(true)
	}
	c.enter(inHead)
	return c
}

func (c *conn) owner() *conn { return c }

func (c *conn) address() string { return c.RemoteAddr().String() }

// enter changes the phase.
func (c *conn) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enterLocked(p)
}

func (c *conn) enterLocked(p phase) {
	c.phase, c.pending, c.lastProgress = p, 0, time.Now()
	c.lastRead = c.lastProgress
}

// touch records progress.
func (c *conn) touch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastProgress = time.Now()
	c.lastRead = c.lastProgress
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.endHandshake()
		if !c.received(b[:n]) {
			c.abort()
			return 0, ErrExhausted
		}
	}
	if err != nil && c.handshaking.Load() {
		c.handshakeFailed(err)
	}
	return n, err
}

// received records bytes, and reports whether the account has room for them.
func (c *conn) received(b []byte) bool {
	c.mu.Lock()
	c.lastRead = time.Now()
	if c.pending += len(b); c.pending >= progressBytes {
		c.pending, c.lastProgress = 0, c.lastRead
	}
	if c.phase == idle {
		c.enterLocked(inHead)
	}
	if c.multiplexed {
		c.mu.Unlock()
		c.receivedFrames(b)
		return true
	}
	if c.phase != inHead {
		c.mu.Unlock()
		return true
	}
	if rest, found := c.http2.parser.detect(b); found {
		c.multiplexed = true
		c.mu.Unlock()
		return c.beginHTTP2(rest)
	}
	// Everything that arrives before the handler begins counts as the head: which empty lines
	// end it is the parser's decision. At most its read buffer of a body is counted as well.
	c.headBytes += len(b)
	c.headLines += bytes.Count(b, newline)
	need := headCost(c.headBytes, c.headLines) - c.headCharge
	c.mu.Unlock()
	return c.chargeHead(need)
}

var newline = []byte{'\n'}

// headCost returns the charge for a head of a number of bytes and lines while it is parsed.
func headCost(bytes, lines int) int64 {
	return int64(max(0, bytes-freeHeadBytes))*headByteCost + int64(max(0, lines-freeHeadLines))*fieldCost
}

// chargeHead charges n more bytes for the head, and reports whether the account has room.
func (c *conn) chargeHead(n int64) bool {
	if n <= 0 {
		return true
	}
	if !c.guard.take(n, true, c) {
		return false
	}
	c.mu.Lock()
	c.headCharge += n
	c.mu.Unlock()
	c.hold(n)
	return true
}

// hold records a charge, which is returned at once if the connection is closed already.
func (c *conn) hold(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		c.guard.account.Budget.Give(n)
		return
	}
	c.held += n
}

// release returns a charge of the connection.
func (c *conn) release(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n = min(n, c.held); n > 0 {
		c.held -= n
		c.guard.account.Budget.Give(n)
	}
}

// releaseHeadPart returns a part of the charge for a head.
func (c *conn) releaseHeadPart(n int64) {
	c.mu.Lock()
	c.headCharge -= n
	c.mu.Unlock()
	c.release(n)
}

// releaseHead returns the charge for a head and begins the next one.
func (c *conn) releaseHead() {
	c.mu.Lock()
	n := c.headCharge
	c.headCharge, c.headBytes, c.headLines = 0, 0, 0
	c.mu.Unlock()
	c.release(n)
}

// Write implements net.Conn. It writes in steps, each of which the client must take in time.
func (c *conn) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		c.mu.Lock()
		deadline := time.Now().Add(stallTimeout)
		own := c.writeDeadline.IsZero() || deadline.Before(c.writeDeadline)
		if !own {
			deadline = c.writeDeadline
		}
		c.mu.Unlock()
		if err := c.Conn.SetWriteDeadline(deadline); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:min(len(b), written+writeStep)])
		written += n
		if err != nil {
			if own && !time.Now().Before(deadline) {
				c.guard.acted(stalled, c.address())
			}
			return written, err
		}
	}
	return written, nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeDeadline = t
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// SetLinger sets the linger time of a TCP connection; with 0, Close resets it.
func (c *conn) SetLinger(seconds int) error {
	if l, ok := c.transport.(interface{ SetLinger(int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}

// CloseWrite closes the sending side. net/http does so before it closes a connection on which
// the client may still be sending, so that the response is not lost.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.leave()
	return c.Conn.Close()
}

// abort closes a connection that is given up. With TLS it sends no message, which could block.
func (c *conn) abort() {
	c.leave()
	_ = c.transport.Close() // The connection is given up.
}

// leave returns all charges and takes the connection out of the set of its listener.
func (c *conn) leave() {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	held := c.held
	// The handler still refers to the memory until it has ended, which the closed connection
	// makes it do.
	c.held = 0
	c.mu.Unlock()
	if first {
		c.guard.account.Budget.Give(held)
		c.guard.conns.remove(c)
	}
}

// connSet is the open connections of a listener.
type connSet struct {
	mu  sync.Mutex
	all map[*conn]struct{}
}

func (s *connSet) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all[c] = struct{}{}
}

func (s *connSet) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, c)
}

func (s *connSet) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all)
}

// victim returns the connection to close in favour of another one, nil if there is none. Those
// with a request that makes no progress come first, then those between requests, the longest
// time first. With holding, only connections that are charged for memory are considered.
func (s *connSet) victim(now time.Time, self *conn, holding bool) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found *conn
	var foundIdle bool
	var foundAt time.Time
	for c := range s.all {
		at, isIdle, ok := c.stalledSince(holding)
		if c == self || !ok || now.Sub(at) < minStall {
			continue
		}
		if found == nil || foundIdle && !isIdle || foundIdle == isIdle && at.Before(foundAt) {
			found, foundIdle, foundAt = c, isIdle, at
		}
	}
	return found
}

// stalledSince returns since when the connection has made no progress, whether it is between
// requests, and whether it may be closed. A connection may be closed while a response waits for
// its client, one of HTTP/2 also while handlers run if one of its bodies is unfinished.
func (c *conn) stalledSince(holding bool) (since time.Time, isIdle, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.multiplexed {
		since = c.lastProgress
		for b := range c.http2.unfinished {
			since = earlier(since, b.lastProgress)
		}
		for _, at := range c.writing {
			since = earlier(since, at)
		}
		return since, c.active == 0, c.active == 0 || len(c.http2.unfinished)+len(c.writing) > 0
	}
	for _, at := range c.writing {
		return at, false, true
	}
	holds := c.held > 0 || c.phase == inBody && !c.guard.o.CountBodies
	if holding && !holds || c.phase == serving {
		return time.Time{}, false, false
	}
	return c.lastProgress, c.phase == idle, true
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// stuck returns the connections on which the rest of a body has not come for stallTimeout.
func (s *connSet) stuck(now time.Time) []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*conn
	for c := range s.all {
		c.mu.Lock()
		if (c.phase == inBody || c.phase == draining) && !c.multiplexed && now.Sub(c.lastRead) > stallTimeout {
			out = append(out, c)
		}
		c.mu.Unlock()
	}
	return out
}

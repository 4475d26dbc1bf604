package upstream

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"auburnstep.example/auburnstep/internal/clock"
	"auburnstep.example/auburnstep/internal/verdict"
)

// Error is the class of the errors of this package other than RequestError.
var Error = errs.Class("upstream")

// errGrantExpired fails a request whose first byte would be sent after SendBefore.
var errGrantExpired = Error.New("the grant expired before the request was sent")

// errEarlierBytes fails a request whose response consists of bytes that arrived before it.
var errEarlierBytes = Error.New("the response arrived before the request was sent")

var errWritesBlocked = Error.New("the client has blocked writes to the connection")

// countingConn counts the writes that were begun and can block further writes. Blocking
// makes the count final. Closing the connection would not, because a goroutine of the
// transport may be about to begin a write.
type countingConn struct {
	net.Conn

	mu            sync.Mutex
	writes        int64
	writesBlocked bool
	// sendBefore is the time limit for the first write of a request; zero sets no
	// limit. Write itself checks it, since the process may be paused at any point
	// before the write.
	sendBefore   time.Time
	grantExpired bool
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	if !c.sendBefore.IsZero() && !clock.Now().Before(c.sendBefore) {
		c.writesBlocked, c.grantExpired = true, true
		c.mu.Unlock()
		return 0, errGrantExpired
	}
	c.sendBefore = time.Time{}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// startRequest prepares the connection for a request and returns the number of writes
// begun so far.
func (c *countingConn) startRequest(sendBefore time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendBefore = sendBefore
	return c.writes
}

func (c *countingConn) isGrantExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.grantExpired
}

// blockWrites makes all further writes fail and returns the number of writes begun.
func (c *countingConn) blockWrites() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesBlocked = true
	return c.writes
}

// writeTracker tracks whether any byte of one request was written to a connection.
type writeTracker struct {
	mu           sync.Mutex
	connected    bool
	reused       bool // the connection carried another request before
	endpoint     *endpointConn
	conn         *countingConn
	writesBefore int64
	// sendBefore is the end of the grant; zero sets no limit.
	sendBefore time.Time
	// responseBegun is set once a byte of the response has arrived. An interim response
	// clears it, since the endpoint may send one before it runs the request.
	responseBegun atomic.Bool
}

// trace returns the hooks that record the progress of the request.
func (w *writeTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:              w.gotConn,
		GotFirstResponseByte: func() { w.responseBegun.Store(true) },
		Got1xxResponse:       func(int, textproto.MIMEHeader) error { w.responseBegun.Store(false); return nil },
	}
}

// gotConn records the connection of the request. The transport calls it before it writes
// to the connection.
func (w *writeTracker) gotConn(info httptrace.GotConnInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.connected {
		// A second connection means that the transport repeated the request. It is
		// then unknown what was written to the first connection.
		w.conn = nil
		return
	}
	w.connected, w.reused = true, info.Reused
	if c, ok := info.Conn.(*endpointConn); ok {
		c.startRequest()
		w.endpoint, w.conn, w.writesBefore = c, c.counting, c.counting.startRequest(w.sendBefore)
	}
}

// headSeen reports whether the head of the response was read after the request had got its
// connection. Other bytes arrived before the request and belong to none.
func (w *writeTracker) headSeen() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endpoint == nil || w.endpoint.headSeen()
}

// headInvalid reports whether the endpoint sent an invalid head.
func (w *writeTracker) headInvalid() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endpoint != nil && w.endpoint.headInvalid()
}

// checkResponseID returns an error unless a response can be the one to the request with the
// id. A refusal without an id on a reused connection may be that of an earlier request, and
// proves nothing about this one. Other responses need no id, since not all services echo it.
func (w *writeTracker) checkResponseID(resp *http.Response, request string) error {
	id := resp.Header.Get(HeaderRequestID)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case id != "" && id != request:
		return Error.New("the response header has ID %q", id)
	case id == "" && w.reused && verdict.Parse(resp.Header.Get(verdict.Header)) == verdict.NotRun:
		return Error.New("a refusal without ID on a reused connection")
	}
	return nil
}

// grantExpired reports whether the request was not sent because its grant had expired.
func (w *writeTracker) grantExpired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.conn != nil && w.conn.isGrantExpired()
}

// nothingWritten reports whether it is certain that no byte of the request was written.
// It blocks further writes to the connection, so it must be called only after the round
// trip has failed.
func (w *writeTracker) nothingWritten() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.connected {
		return true
	}
	return w.conn != nil && w.conn.blockWrites() == w.writesBefore
}

package clientlimit

import (
	"bytes"
	"net/http"
	"time"
)

const (
	// http2ConnBytes is the charge for a connection that speaks HTTP/2: frame buffers, the
	// compression table and the stacks of its goroutines, beside those of every connection.
	http2ConnBytes = 32 << 10
	// streamBytes is the charge for a stream beside its header fields: the stack and the buffers
	// of its handler.
	streamBytes = 6 << 10
	// unstartedStreamBytes is the charge for a stream from the first bytes of its head until its
	// handler begins. The servers bound the decoded fields to 16 KB.
	unstartedStreamBytes = 32 << 10
	// maxUnstarted is the number of streams without a handler above which a connection is not
	// read. net/http queues up to 1,000 decoded heads behind handlers of streams that were reset.
	maxUnstarted = 2
	// unstartedWait bounds the wait for handlers. Some heads never get one, such as trailers.
	unstartedWait, unstartedInterval = 250 * time.Millisecond, time.Millisecond
	// streamWait is how long a connection is not read while a stream waits for memory. Peers
	// replace connections that do not answer for a second.
	streamWait = 100 * time.Millisecond
	// maxRefusedStreams is the number of streams in a row refused for lack of memory above which
	// their connection is closed.
	maxRefusedStreams = 4
)

const (
	http2FrameHeadBytes = 9
	http2FrameHeaders   = 1
)

var http2Preface = []byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")

// http2Parser finds the frames in what a client sends on a connection.
type http2Parser struct {
	// prefaceBytes is the part of the preface received so far. differs is set once the
	// connection does not begin with it.
	prefaceBytes int
	differs      bool
	// head is the part of a frame's head received so far, payload what is left of its payload.
	head    [http2FrameHeadBytes]byte
	headLen int
	payload int
}

// detect reports whether b completes the preface of HTTP/2, and returns what follows it.
func (p *http2Parser) detect(b []byte) (rest []byte, found bool) {
	if p.differs {
		return nil, false
	}
	n := min(len(b), len(http2Preface)-p.prefaceBytes)
	if !bytes.Equal(b[:n], http2Preface[p.prefaceBytes:p.prefaceBytes+n]) {
		p.differs = true
		return nil, false
	}
	p.prefaceBytes += n
	return b[n:], p.prefaceBytes == len(http2Preface)
}

// streams returns the number of frames in b that open a stream, by the ends of their heads.
func (p *http2Parser) streams(b []byte) int {
	opened := 0
	for len(b) > 0 {
		skip := min(p.payload, len(b))
		p.payload -= skip
		b = b[skip:]
		n := copy(p.head[p.headLen:], b)
		p.headLen += n
		b = b[n:]
		if p.headLen < http2FrameHeadBytes {
			continue
		}
		p.headLen = 0
		p.payload = int(p.head[0])<<16 | int(p.head[1])<<8 | int(p.head[2])
		if p.head[3] == http2FrameHeaders {
			opened++
		}
	}
	return opened
}

// http2State is what is known of a connection that speaks HTTP/2. The connection's mutex guards it.
type http2State struct {
	parser http2Parser
	// unstarted is the number of streams without a handler so far, and unstartedCharge what is
	// charged for them.
	unstarted       int
	unstartedCharge int64
	// refused is the number of streams refused for lack of memory since the last one that was not.
	refused int
	// unfinished holds the bodies that have not ended. windowCharge is the part of the receive
	// window that is charged for them.
	unfinished   map[*body]struct{}
	windowCharge int64
}

// beginHTTP2 charges a connection that has turned out to speak HTTP/2 and has sent b after its
// preface. It reports whether the account has room.
func (c *conn) beginHTTP2(b []byte) bool {
	if !c.guard.take(http2ConnBytes, true, c) {
		return false
	}
	c.hold(http2ConnBytes)
	c.receivedFrames(b)
	return true
}

// receivedFrames charges the streams that are opened in b, and waits while too many of the
// connection have no handler yet. Where the account has no room, their handlers refuse them.
func (c *conn) receivedFrames(b []byte) {
	c.mu.Lock()
	opened := c.http2.parser.streams(b)
	c.http2.unstarted += opened
	c.mu.Unlock()
	if opened == 0 {
		return
	}
	limit := opened
	charge := int64(opened) * unstartedStreamBytes
	take := func() bool { return c.guard.account.Budget.TakeAbove(charge, 0) }
	if take() || c.guard.makeRoom(c, take, streamWait) {
		c.mu.Lock()
		c.http2.unstartedCharge += charge
		c.mu.Unlock()
		c.hold(charge)
		limit = max(limit, maxUnstarted)
	}
	for deadline := time.Now().Add(unstartedWait); c.unstartedAbove(limit); time.Sleep(unstartedInterval) {
		if time.Now().After(deadline) {
			c.guard.acted(unstarted, c.address())
			c.started(limit)
			return
		}
	}
}

// unstartedAbove reports whether more than n streams of an open connection have no handler.
func (c *conn) unstartedAbove(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.http2.unstarted > n && !c.closed
}

// started records that at most n streams got handlers, and returns the charge for their heads.
func (c *conn) started(n int) {
	c.mu.Lock()
	n = min(n, c.http2.unstarted)
	c.http2.unstarted -= n
	charge := min(int64(n)*unstartedStreamBytes, c.http2.unstartedCharge)
	c.http2.unstartedCharge -= charge
	c.mu.Unlock()
	c.release(charge)
}

// chargeStream charges an HTTP/2 request: its fields, its handler, and what the client may send
// of the body before it is read. If there is no room for several streams of a connection in
// a row, it is closed.
func (q *request) chargeStream(r *http.Request) bool {
	c := q.c
	c.started(1)
	if q.body != nil {
		q.window = c.takeWindow(r.ContentLength)
	}
	n := streamBytes + int64(fieldCount(r.Header))*fieldCost + fieldBytes(r.Header) + q.window
	// There is no wait: the stream's memory would not be charged meanwhile.
	ok := c.guard.account.Budget.TakeAbove(n, 0)
	if ok {
		q.charged = n
	} else {
		c.guard.acted(memory, c.address())
	}
	if c.countRefused(ok) > maxRefusedStreams {
		c.abort()
	}
	return ok
}

// countRefused records whether a stream had room, and returns the number of those refused in a row.
func (c *conn) countRefused(ok bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.http2.refused++
	if ok {
		c.http2.refused = 0
	}
	return c.http2.refused
}

// takeWindow returns the part of the receive window that a body of a declared length, negative
// if unknown, may fill and that is not charged for other bodies.
func (c *conn) takeWindow(length int64) int64 {
	window := c.guard.o.ReceiveWindow
	if length < 0 {
		length = window
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(length, max(0, window-c.http2.windowCharge))
	c.http2.windowCharge += n
	return n
}

// fieldBytes returns the length of all names and values.
func fieldBytes(h http.Header) int64 {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return int64(n)
}

package clientlimit

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// request is a request whose handler runs.
type request struct {
	c           *conn
	multiplexed bool
	// body is nil for a request without a body.
	body *body
	// charged is charged for an HTTP/2 request beside its body, until its handler has ended. The
	// head of an HTTP/1 request is charged to its connection.
	charged int64
	// window is the part of the receive window that is charged for the body.
	window int64
}

// body is a request body that is charged to the account as it is read.
type body struct {
	io.ReadCloser
	c           *conn
	multiplexed bool
	// count selects that the body is charged, small that it may use the reserved part.
	count, small bool
	// step is the granularity of the charge. read is what was read, charged what is charged for
	// it.
	step, read, charged int64
	// control sets the read deadline of an HTTP/2 stream, deadlineAt is when it did so last.
	control    *http.ResponseController
	deadlineAt time.Time

	// The connection's mutex guards the fields below. ended is set at the end of the body.
	// lastProgress is when progressBytes had been read, pending what was read since.
	ended        bool
	lastProgress time.Time
	pending      int
}

// begin records that the handler of a request begins, and charges what the request takes until
// it ends. It reports whether the account has room.
func (c *conn) begin(w http.ResponseWriter, r *http.Request) (*request, bool) {
	q := &request{c: c, multiplexed: r.ProtoMajor > 1}
	c.mu.Lock()
	c.multiplexed = c.multiplexed || q.multiplexed
	c.active++
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		c.enterLocked(serving)
	} else {
		c.enterLocked(inBody)
		q.body = c.newBody(w, r)
	}
	c.mu.Unlock()
	if q.multiplexed {
		return q, q.chargeStream(r)
	}
	return q, c.chargeRequest(fieldCount(r.Header))
}

// newBody puts a body that is charged into r. The caller must hold the mutex.
func (c *conn) newBody(w http.ResponseWriter, r *http.Request) *body {
	b := &body{ReadCloser: r.Body, c: c, multiplexed: r.ProtoMajor > 1, count: c.guard.o.CountBodies, step: chargeStep, lastProgress: c.lastProgress}
	if r.ContentLength >= 0 {
		b.small, b.step = r.ContentLength <= smallBody, min(chargeStep, (r.ContentLength+1)*bodyCost)
	}
	if b.multiplexed {
		b.control = http.NewResponseController(w)
		c.http2.unfinished[b] = struct{}{}
	}
	r.Body = b
	return b
}

// chargeRequest replaces the charge for the head of an HTTP/1 request by that for its fields and
// the copies that its handler makes of them.
func (c *conn) chargeRequest(fields int) bool {
	c.mu.Lock()
	need := int64(max(0, fields-freeHeadLines))*fieldCost*int64(max(1, c.guard.o.HeadCopies)) + int64(max(0, c.headBytes-freeHeadBytes)) - c.headCharge
	c.mu.Unlock()
	if need < 0 {
		c.releaseHeadPart(-need)
		return true
	}
	return c.chargeHead(need)
}

// end records that the handler has ended.
func (q *request) end() {
	c := q.c
	c.mu.Lock()
	c.active--
	c.http2.windowCharge -= q.window
	if q.body != nil {
		delete(c.http2.unfinished, q.body)
	}
	c.enterLocked(draining)
	c.mu.Unlock()
	c.guard.account.Budget.Give(q.charged)
	if q.body != nil {
		c.release(q.body.charged)
	}
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	// A body is charged before it is read.
	if need := (b.read+1)*bodyCost - b.charged; b.count && need > 0 {
		step := max(need, b.step)
		if !b.c.guard.take(step, b.small, b) {
			return 0, ErrExhausted
		}
		b.charged += step
		b.c.hold(step)
	}
	if room := b.charged/bodyCost - b.read; b.count && int64(len(p)) > room {
		p = p[:room]
	}
	b.extendDeadline()
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	b.progress(n, err)
	return n, err
}

// extendDeadline ends an HTTP/2 stream without progress. Connections of HTTP/1 are checked by
// the listener.
func (b *body) extendDeadline() {
	if now := time.Now(); b.multiplexed && now.Sub(b.deadlineAt) >= scanInterval {
		b.deadlineAt = now
		_ = b.control.SetReadDeadline(now.Add(stallTimeout)) // Fails only if the stream has ended.
	}
}

// progress records n bytes and the result of reading them.
func (b *body) progress(n int, err error) {
	b.c.mu.Lock()
	defer b.c.mu.Unlock()
	if b.pending += n; b.pending >= progressBytes {
		b.pending, b.lastProgress = 0, time.Now()
	}
	if errors.Is(err, io.EOF) && !b.ended {
		b.ended = true
		delete(b.c.http2.unfinished, b)
		b.c.enterLocked(serving)
	}
}

// unfinished reports whether the body has not been read to its end.
func (b *body) unfinished() bool {
	b.c.mu.Lock()
	defer b.c.mu.Unlock()
	return !b.ended
}

// touch records progress.
func (b *body) touch() {
	b.c.touch()
	b.c.mu.Lock()
	defer b.c.mu.Unlock()
	b.lastProgress = time.Now()
}

func (b *body) owner() *conn { return b.c }

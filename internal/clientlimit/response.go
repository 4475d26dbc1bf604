package clientlimit

import (
	"net/http"
	"time"
)

// response charges a response while its client has not taken it. Handlers of service listeners
// write theirs whole.
type response struct {
	http.ResponseWriter
	q *request
}

// Unwrap lets http.ResponseController access the underlying writer.
func (w *response) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter. It writes in steps, each of which the client must take
// in time.
func (w *response) Write(p []byte) (int, error) {
	c := w.q.c
	charge := int64(0)
	if len(p) > writeStep {
		charge = int64(len(p)) * bodyCost
		if !c.guard.take(charge, true, c) {
			c.abort()
			return 0, ErrExhausted
		}
	}
	defer c.guard.account.Budget.Give(charge)
	defer w.q.endWriting()
	written := 0
	for {
		w.q.beginWriting(w.ResponseWriter)
		n, err := w.ResponseWriter.Write(p[written:min(len(p), written+writeStep)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// beginWriting records that a step of a response waits for its client. Connections of HTTP/1
// have deadlines of their own.
func (q *request) beginWriting(w http.ResponseWriter) {
	now := time.Now()
	if q.multiplexed {
		_ = http.NewResponseController(w).SetWriteDeadline(now.Add(stallTimeout)) // Fails only if the stream has ended.
	}
	q.c.mu.Lock()
	defer q.c.mu.Unlock()
	q.c.writing[q] = now
}

// endWriting records that the response does not wait for its client.
func (q *request) endWriting() {
	q.c.mu.Lock()
	defer q.c.mu.Unlock()
	delete(q.c.writing, q)
}

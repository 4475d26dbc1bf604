package router

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/httpconn"
)

// maxResponseBytes bounds a response that is buffered before it is relayed.
const maxResponseBytes = 16 << 20

var (
	errReplaced   = errors.New("another endpoint is at the address")
	errUnverified = errors.New("the answer is not one of the endpoint's own")
	errRejected   = errors.New("the endpoint turned the request away")
	errTruncated  = errors.New("the answer ended early")
	errNotResumed = errors.New("the endpoint did not go on with the stream")
	errEventGap   = errors.New("the stream does not go on after the last event")
	// errSecondAnswer ends a stream without a length, in which bytes after its end cannot be
	// told from events.
	errSecondAnswer = errors.New("another answer follows in the stream")
)

// statusLineStart begins the status line of an HTTP/1 response.
const statusLineStart = "HTTP/1."

// bufferedResponse is a complete response.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// endRejected ends an attempt that the endpoint rejected.
func (q *request) endRejected(resp *httpconn.Response) attemptResult {
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxEventBytes))
	_ = resp.Close(err == nil)
	return attemptResult{outcome: dispatch.Rejected, notRun: true, err: errRejected}
}

// relayBuffered reads the whole response before it relays it, so that a truncated
// response never looks complete.
func (q *request) relayBuffered(resp *httpconn.Response, c *dispatch.Choice, onResponseStart func()) attemptResult {
	body, err := q.server.responseBodies.ReadAll(resp.Body, resp.ContentLength, maxResponseBytes)
	if err != nil {
		_ = resp.Close(false)
		return attemptResult{outcome: dispatch.Broken, err: err}
	}
	q.heldResponse.Release()
	q.heldResponse = body
	if err := resp.Close(true); err != nil {
		q.server.options.Events.Emit(eventAttemptFailed, q.eventFields(event.F("endpoint", c.Endpoint.ID), event.F("error", err))...)
	}
	if q.responseStarted {
		// Events of a stream were already sent to the caller; no other response may
		// follow them.
		return attemptResult{outcome: dispatch.Errored, err: errNotResumed}
	}
	onResponseStart()
	buffered := &bufferedResponse{resp.StatusCode, resp.Header, body.Bytes}
	if buffered.status >= http.StatusInternalServerError {
		if q.route.Repeatable() {
			return attemptResult{outcome: dispatch.Errored, response: buffered, err: errors.New(http.StatusText(buffered.status))}
		}
		q.sendBuffered(buffered)
		return attemptResult{outcome: dispatch.Errored, delivered: true, status: buffered.status}
	}
	q.sendBuffered(buffered)
	return attemptResult{outcome: dispatch.Answered, delivered: true, status: buffered.status}
}

// sendBuffered sends a complete response to the caller.
func (q *request) sendBuffered(buffered *bufferedResponse) {
	q.copyHeader(buffered.header)
	q.w.Header().Set("Content-Length", strconv.Itoa(len(buffered.body)))
	q.w.WriteHeader(buffered.status)
	// Write errors are ignored: the context reports that the caller disconnected.
	_, _ = q.w.Write(buffered.body)
	q.answered(buffered.status)
}

func (q *request) answered(status int) {
	q.server.metrics.answered.Inc(1)
	q.server.metrics.completeResponse.RecordDuration(time.Since(q.arrived))
	q.server.options.Events.Emit(eventAnswered, q.eventFields(event.F("status", status), event.F("last_event", q.lastEvent),
		event.F("first_event_ms", q.firstEvent.Milliseconds()))...)
}

// copyHeader copies the headers of an endpoint's response, except hop-by-hop
// headers.
func (q *request) copyHeader(from http.Header) {
	StripHopByHop(from)
	to := q.w.Header()
	for name, values := range from {
		to[name] = values
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil // A nil value stops net/http from detecting a content type.
	}
}

// relayStream relays events as they arrive, each only once it is complete. It
// sends the headers with the first event, so that until then another endpoint can
// take over unnoticed. Blocks without fields before that event are sent with it. A
// stream that resumes at another endpoint keeps the headers of the first one.
func (q *request) relayStream(resp *httpconn.Response, onResponseStart func()) attemptResult {
	resumes := q.responseStarted
	if resumes && hasOtherType(resp) {
		_ = resp.Close(false)
		return attemptResult{outcome: dispatch.Broken, err: errNotResumed}
	}
	reader := bufio.NewReaderSize(resp.Body, 4<<10)
	control := http.NewResponseController(q.w)
	first := true
	var leading []byte // blocks without fields before the first event
	q.lastEventAt, q.longestPause, q.attemptEvents = time.Time{}, 0, 0
	for {
		e, err := readEvent(reader)
		if first {
			e.raw = append(leading, e.raw...)
		}
		switch {
		case err != nil:
			return q.endStream(resp, e, err)
		case len(e.raw) > maxEventBytes:
			return q.endStream(resp, e, errEventTooLarge)
		case first && e.empty:
			leading = e.raw
			continue
		case first && resumes && q.lastEvent >= 0 && e.id < 0:
			return q.endStream(resp, e, errNotResumed)
		case !isDelimited(resp) && bytes.HasPrefix(e.raw, []byte(statusLineStart)):
			return q.endStream(resp, e, errSecondAnswer)
		case !e.empty:
			q.recordPause(time.Now())
		}
		if first {
			first = false
			q.countUsage()
			onResponseStart()
		}
		if e.id >= 0 && q.lastEvent >= 0 && q.route.Resumable {
			if e.id <= q.lastEvent {
				continue
			}
			if e.id != q.lastEvent+1 {
				_ = resp.Close(false)
				return attemptResult{outcome: dispatch.Broken, err: errEventGap}
			}
		}
		if err := q.relayEvent(resp, e, control, reader.Buffered() == 0); err != nil {
			_ = resp.Close(false)
			return attemptResult{outcome: dispatch.Abandoned, err: errors.Join(errCallerDisconnected, err)}
		}
	}
}

// hasOtherType reports whether a response says that it is something else than an event
// stream.
func hasOtherType(resp *httpconn.Response) bool {
	contentType := resp.Header.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(contentType)
	return contentType != "" && (err != nil || mediaType != "text/event-stream")
}

// isDelimited reports whether the end of the body is known without the end of the
// connection.
func isDelimited(resp *httpconn.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// recordPause updates the longest pause with the arrival of an event.
func (q *request) recordPause(now time.Time) {
	if q.attemptEventAt.IsZero() {
		q.attemptEventAt = now
	}
	if !q.lastEventAt.IsZero() {
		q.longestPause = max(q.longestPause, now.Sub(q.lastEventAt))
	}
	q.lastEventAt = now
	q.attemptEvents++
}

func (q *request) relayEvent(resp *httpconn.Response, e streamEvent, control *http.ResponseController, flush bool) error {
	if !q.responseStarted {
		q.responseStarted = true
		q.copyHeader(resp.Header)
		q.w.WriteHeader(resp.StatusCode)
		q.firstEvent = time.Since(q.arrived)
		q.server.metrics.firstEvent.RecordDuration(q.firstEvent)
	}
	if _, err := q.w.Write(e.raw); err != nil {
		return err
	}
	if e.id >= 0 {
		q.lastEvent = e.id
	}
	if !flush {
		return nil
	}
	return control.Flush()
}

// endStream ends an attempt at the end of the body. A stream that ends inside an event
// was broken off. One without a length and transfer encoding also was if it has no event
// or other bytes after the last one, since its end may be that of the connection.
func (q *request) endStream(resp *httpconn.Response, rest streamEvent, err error) attemptResult {
	brokenOff := hasField(rest.raw) || !isDelimited(resp) && (len(rest.raw) > 0 || q.attemptEventAt.IsZero())
	if !isCleanEOF(err) || brokenOff {
		_ = resp.Close(false)
		if isCleanEOF(err) {
			err = errTruncated
		}
		return attemptResult{outcome: dispatch.Broken, err: err}
	}
	if !q.responseStarted {
		q.responseStarted = true
		q.copyHeader(resp.Header)
		q.w.WriteHeader(resp.StatusCode)
	}
	if len(rest.raw) > 0 {
		// Write errors are ignored: the context reports that the caller disconnected.
		_, _ = q.w.Write(rest.raw)
	}
	if err := resp.Close(true); err != nil {
		q.server.options.Events.Emit(eventAttemptFailed, q.eventFields(event.F("error", err))...)
	}
	q.answered(resp.StatusCode)
	return attemptResult{outcome: dispatch.Answered, delivered: true, status: resp.StatusCode}
}

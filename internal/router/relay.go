package router

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/httpconn"
)

// maxAnswer bounds an answer that is collected before it is relayed.
const maxAnswer = 16 << 20

var (
	errReplaced   = errors.New("another endpoint is at the address")
	errNotGenuine = errors.New("the answer is not one of the endpoint's own")
	errRejected   = errors.New("the endpoint turned the request away")
	errTooLarge   = errors.New("the answer is too large")
	errShort      = errors.New("the answer ended early")
	errNoStream   = errors.New("the endpoint did not go on with the stream")
	errGap        = errors.New("the stream does not go on after the last event")
)

// wholeAnswer is a complete answer.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// rejected ends an attempt that the endpoint turned away.
func (q *request) rejected(resp *httpconn.Response) result {
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxEventBytes))
	_ = resp.Close(err == nil)
	return result{outcome: dispatch.Rejected, notRun: true, err: errRejected}
}

// relayWhole collects an answer and relays it once it is complete, so that a
// broken one is never presented as whole.
func (q *request) relayWhole(resp *httpconn.Response, c *dispatch.Choice, began func()) result {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errTooLarge
	}
	if err != nil {
		_ = resp.Close(false)
		return result{outcome: dispatch.Broken, err: err}
	}
	if err := resp.Close(true); err != nil {
		q.server.options.Events.Emit(eventAttempt, q.fields(event.F("endpoint", c.Endpoint.ID), event.F("error", err))...)
	}
	if q.relayed {
		// Events of a stream went to the caller already; no other answer may follow them.
		return result{outcome: dispatch.Errored, err: errNoStream}
	}
	began()
	a := &wholeAnswer{resp.StatusCode, resp.Header, body}
	if a.status >= http.StatusInternalServerError {
		if q.route.Repeatable() {
			return result{outcome: dispatch.Errored, answer: a, err: errors.New(http.StatusText(a.status))}
		}
		q.finish(a)
		return result{outcome: dispatch.Errored, done: true}
	}
	q.finish(a)
	return result{outcome: dispatch.Answered, done: true}
}

// finish relays a complete answer.
func (q *request) finish(a *wholeAnswer) {
	q.copyHeader(a.header)
	q.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	q.w.WriteHeader(a.status)
	// A caller that has gone shows by its context.
	_, _ = q.w.Write(a.body)
	q.answered(a.status)
}

func (q *request) answered(status int) {
	q.server.metrics.answered.Inc(1)
	q.server.metrics.whole.RecordDuration(time.Since(q.arrived))
	q.server.options.Events.Emit(eventAnswered, q.fields(event.F("status", status), event.F("last_event", q.lastEvent),
		event.F("first_event_ms", q.firstEvent.Milliseconds()))...)
}

// copyHeader takes over the headers of an endpoint's answer.
func (q *request) copyHeader(from http.Header) {
	StripHopByHop(from)
	to := q.w.Header()
	for name, values := range from {
		to[name] = values
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil // Keeps the server from guessing one.
	}
}

// relayStream relays events as they arrive, each only once it is whole. The
// headers wait for the first event, so that until then another endpoint can
// take over without a trace; a stream that goes on at another endpoint keeps
// the headers of the first.
func (q *request) relayStream(resp *httpconn.Response, began func()) result {
	reader := bufio.NewReaderSize(resp.Body, 4<<10)
	control := http.NewResponseController(q.w)
	first := true
	for {
		e, err := readEvent(reader)
		if err != nil {
			return q.endStream(resp, e, err)
		}
		if first {
			first = false
			began()
		}
		if e.id >= 0 && q.lastEvent >= 0 && q.route.Resumable {
			if e.id <= q.lastEvent {
				continue
			}
			if e.id != q.lastEvent+1 {
				_ = resp.Close(false)
				return result{outcome: dispatch.Broken, err: errGap}
			}
		}
		if err := q.relayEvent(resp, e, control, reader.Buffered() == 0); err != nil {
			_ = resp.Close(false)
			return result{outcome: dispatch.Abandoned, err: errors.Join(errCallerLeft, err)}
		}
	}
}

func (q *request) relayEvent(resp *httpconn.Response, e streamEvent, control *http.ResponseController, flush bool) error {
	if !q.relayed {
		q.relayed = true
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

// endStream ends an attempt at the end of the body. Bytes after the last whole
// event are a part of the answer only if its end was marked.
func (q *request) endStream(resp *httpconn.Response, rest streamEvent, err error) result {
	marked := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if !ended(err) || len(rest.raw) > 0 && !marked {
		_ = resp.Close(false)
		if ended(err) {
			err = errShort
		}
		return result{outcome: dispatch.Broken, err: err}
	}
	if !q.relayed {
		q.relayed = true
		q.copyHeader(resp.Header)
		q.w.WriteHeader(resp.StatusCode)
	}
	if len(rest.raw) > 0 {
		// A caller that has gone shows by its context.
		_, _ = q.w.Write(rest.raw)
	}
	if err := resp.Close(true); err != nil {
		q.server.options.Events.Emit(eventAttempt, q.fields(event.F("error", err))...)
	}
	q.answered(resp.StatusCode)
	return result{outcome: dispatch.Answered, done: true}
}

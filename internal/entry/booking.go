package entry

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"time"

	"auburnstep.example/auburnstep/internal/event"
	controlv1 "auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/verdict"
)

const (
	// recordTimeout bounds each step of the durable record.
	recordTimeout = 3 * time.Second
	// maxStoredOutcome bounds the answer that is kept for duplicates.
	maxStoredOutcome = 256 << 10
)

// bodyHash identifies what a request asks for, so that one key can not stand
// for two different requests.
func bodyHash(r *http.Request, body []byte) []byte {
	h := sha256.New()
	fmt.Fprintf(h, "%s\x00%s\x00", r.Method, r.URL.RequestURI())
	h.Write(body)
	return h.Sum(nil)
}

// atMostOnce runs a request that must not repeat. Its record is committed
// before the first byte goes to an endpoint, and is removed only with proof
// that the request did not run.
func (s *Server) atMostOnce(ctx context.Context, w http.ResponseWriter, q *request, hash []byte,
	run func(context.Context) (*controlv1.BookingOutcome, *verdict.Error)) *verdict.Error {
	key := &controlv1.BookingKey{Customer: q.customer, Key: q.key}
	begin := &controlv1.BeginBooking{Key: key, BodyHash: hash, AttemptId: q.id}
	begun, err := s.beginOrAwait(ctx, begin)
	if err != nil {
		return err
	}
	if begun.State != controlv1.BookingResponse_BEGUN {
		s.o.Events.Emit(eventDuplicate, q.fields(event.F("key", q.key), event.F("state", begun.State))...)
		return answerDuplicate(w, begun)
	}
	s.o.Events.Emit(eventBooking, q.fields(event.F("key", q.key))...)
	// The caller's connection no longer matters: once the request may have
	// reached an endpoint its outcome must be stored.
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.start.Add(q.class.Deadline))
	defer cancel()
	outcome, failure := run(detached)
	if failure != nil {
		return s.abandon(q, begin, failure)
	}
	s.finish(q, &controlv1.FinishBooking{Key: key, AttemptId: begin.AttemptId, Outcome: outcome})
	s.metrics.finished(q, time.Since(q.start), 0)
	s.o.Events.Emit(eventAnswered, q.fields(event.F("key", q.key), event.F("status", outcome.Status))...)
	writeOutcome(w, outcome, false)
	return nil
}

// outcomeWaits are the pauses after which a duplicate of a request in flight
// looks again. Most bookings end within them; each look costs one log entry.
var outcomeWaits = []time.Duration{50 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond, time.Second}

// beginOrAwait begins the record. A duplicate of a request in flight waits some
// time for the outcome; if the first attempt turns out not to have run, the
// record is begun for the duplicate. Each look has an attempt id of its own,
// since the record refuses an id for good; b holds the last one.
func (s *Server) beginOrAwait(ctx context.Context, b *controlv1.BeginBooking) (*controlv1.BookingResponse, *verdict.Error) {
	first := b.AttemptId
	for n, wait := range outcomeWaits {
		res, err := s.begin(ctx, b)
		if err != nil || res.State != controlv1.BookingResponse_STARTED {
			return res, err
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return res, nil
		}
		b.AttemptId = fmt.Sprintf("%s-%d", first, n+2)
	}
	return s.begin(ctx, b)
}

func (s *Server) begin(ctx context.Context, b *controlv1.BeginBooking) (*controlv1.BookingResponse, *verdict.Error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	res, err := s.o.Bookings.Begin(ctx, b)
	if err == nil {
		return res, nil
	}
	// The record may be committed later, but this attempt never starts, and the
	// client of the records keeps releasing it.
	return nil, verdict.Overloaded("record_unavailable",
		"the record that keeps the request from running twice could not be written; nothing was run", time.Second).WithCause(err)
}

// abandon ends a request that has no outcome. With proof that it did not run
// the key may be used again; otherwise the record stays and blocks duplicates.
func (s *Server) abandon(q *request, begun *controlv1.BeginBooking, failure *verdict.Error) *verdict.Error {
	s.metrics.failed(q, failure.Verdict, 0)
	s.o.Events.Emit(eventFailed, q.fields(event.F("verdict", failure.Verdict), event.F("code", failure.Code), event.F("key", q.key))...)
	if failure.Verdict != verdict.NotRun {
		return failure
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if err := s.o.Bookings.Release(ctx, &controlv1.ReleaseBooking{Key: begun.Key, AttemptId: begun.AttemptId}); err != nil {
		s.o.Events.Emit(eventUnstored, q.fields(event.F("key", q.key), event.F("error", err))...)
	}
	return failure
}

// finish stores the outcome before the caller gets it, so that a duplicate
// after a lost answer finds it. A failure to store does not take the answer
// from the caller: the record still blocks a second run.
func (s *Server) finish(q *request, f *controlv1.FinishBooking) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if err := s.o.Bookings.Finish(ctx, f); err != nil {
		s.o.Events.Emit(eventUnstored, q.fields(event.F("key", q.key), event.F("error", err))...)
	}
}

// answerDuplicate answers a request whose key was used before.
func answerDuplicate(w http.ResponseWriter, b *controlv1.BookingResponse) *verdict.Error {
	switch b.State {
	case controlv1.BookingResponse_FINISHED:
		writeOutcome(w, b.Outcome, true)
		return nil
	case controlv1.BookingResponse_MISMATCH:
		return verdict.Refused(http.StatusUnprocessableEntity, "idempotency_key_reused",
			"the idempotency key was used for a different request")
	case controlv1.BookingResponse_EXPIRED:
		return verdict.Unknown(http.StatusConflict, "idempotency_key_expired",
			"the key was used before and its outcome is no longer kept; the request was not run again")
	case controlv1.BookingResponse_FULL:
		return verdict.Refused(http.StatusTooManyRequests, "too_many_records",
			"the customer holds as many idempotency keys as it may")
	default:
		e := verdict.Unknown(http.StatusConflict, "request_in_progress",
			"a request with this key was started and its outcome is not known; it was not run again")
		e.RetryAfter = time.Second
		return e
	}
}

func writeOutcome(w http.ResponseWriter, o *controlv1.BookingOutcome, replayed bool) {
	h := w.Header()
	if o.ContentType != "" {
		h.Set("Content-Type", o.ContentType)
	}
	h.Set(verdict.Header, verdict.Ran.String())
	if replayed {
		h.Set(HeaderReplayed, "true")
	}
	w.WriteHeader(int(o.Status))
	_, _ = w.Write(o.Body)
}

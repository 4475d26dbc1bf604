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
	// bookingTimeout bounds each call to Bookings.
	bookingTimeout = 3 * time.Second
	// maxStoredOutcome bounds the size in bytes of a response that is stored for
	// duplicates.
	maxStoredOutcome = 256 << 10
)

// bodyHash returns a hash of the method, the URI and the body of a request. It
// detects the use of one idempotency key for two different requests.
func bodyHash(r *http.Request, body []byte) []byte {
	h := sha256.New()
	fmt.Fprintf(h, "%s\x00%s\x00", r.Method, r.URL.RequestURI())
	h.Write(body)
	return h.Sum(nil)
}

// runAtMostOnce runs a request that must not repeat. The booking is committed before
// the first byte is sent to an endpoint, and it is removed only with proof that the
// request did not run.
func (s *Server) runAtMostOnce(ctx context.Context, w http.ResponseWriter, q *request, hash []byte,
	run func(context.Context) (*controlv1.BookingOutcome, *verdict.Error)) *verdict.Error {
	idempotencyKey := &controlv1.BookingKey{Customer: q.customer, Key: q.idempotencyKey}
	begin := &controlv1.BeginBooking{Key: idempotencyKey, BodyHash: hash, AttemptId: q.id}
	booking, err := s.beginOrAwaitOutcome(ctx, begin)
	if err != nil {
		return err
	}
	if booking.State != controlv1.BookingResponse_BEGUN {
		s.opts.Events.Emit(eventBookingDuplicate, q.fields(event.F("key", q.idempotencyKey), event.F("state", booking.State))...)
		return respondToDuplicate(w, q, booking)
	}
	s.opts.Events.Emit(eventBookingBegun, q.fields(event.F("key", q.idempotencyKey))...)
	// The request continues after the caller disconnects: once it may have reached
	// an endpoint, its outcome must be stored.
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.deadline)
	defer cancel()
	outcome, failure := run(detached)
	if failure != nil {
		return s.failBooking(q, begin, failure)
	}
	s.storeOutcome(q, &controlv1.FinishBooking{Key: idempotencyKey, AttemptId: begin.AttemptId, Outcome: outcome})
	s.recordCompleted(q, time.Since(q.start), q.delta.tokens, event.F("key", q.idempotencyKey), event.F("status", outcome.Status))
	writeOutcome(w, outcome, false)
	return nil
}

// duplicatePollDelays are the pauses between the calls of Bookings.Begin with which a
// duplicate waits for the outcome of a request in flight. Most requests end within
// them. There are few, since each call costs one entry in the replicated log.
var duplicatePollDelays = []time.Duration{50 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond, time.Second}

// beginOrAwaitOutcome begins the booking. A duplicate of a request in flight waits
// some time for the outcome; if the first request turns out not to have run, the
// booking is begun for the duplicate. Each call uses a new attempt ID, since a booking
// never accepts an attempt ID that it has refused before. On return b holds the last
// attempt ID.
func (s *Server) beginOrAwaitOutcome(ctx context.Context, b *controlv1.BeginBooking) (*controlv1.BookingResponse, *verdict.Error) {
	firstAttemptID := b.AttemptId
	for n, delay := range duplicatePollDelays {
		res, err := s.beginBooking(ctx, b)
		if err != nil || res.State != controlv1.BookingResponse_STARTED {
			return res, err
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return res, nil
		}
		b.AttemptId = fmt.Sprintf("%s-%d", firstAttemptID, n+2)
	}
	return s.beginBooking(ctx, b)
}

func (s *Server) beginBooking(ctx context.Context, b *controlv1.BeginBooking) (*controlv1.BookingResponse, *verdict.Error) {
	ctx, cancel := context.WithTimeout(ctx, bookingTimeout)
	defer cancel()
	res, err := s.opts.Bookings.Begin(ctx, b)
	if err == nil {
		return res, nil
	}
	// The booking may still be committed later, but this attempt never starts, and
	// the Bookings client retries to release it.
	return nil, verdict.Overloaded("record_unavailable",
		"the record that keeps the request from running twice could not be written; nothing was run", time.Second).WithCause(err)
}

// failBooking ends a request that has no outcome. With proof that the request did not
// run, it releases the booking, so that the key can be used again. Otherwise the
// booking remains and blocks duplicates.
func (s *Server) failBooking(q *request, booking *controlv1.BeginBooking, failure *verdict.Error) *verdict.Error {
	s.recordFailed(q, failure, q.delta.tokens, event.F("key", q.idempotencyKey))
	if failure.Verdict != verdict.NotRun {
		return failure
	}
	ctx, cancel := context.WithTimeout(context.Background(), bookingTimeout)
	defer cancel()
	if err := s.opts.Bookings.Release(ctx, &controlv1.ReleaseBooking{Key: booking.Key, AttemptId: booking.AttemptId}); err != nil {
		s.opts.Events.Emit(eventBookingUpdateDelayed, q.fields(event.F("key", q.idempotencyKey), event.F("error", err))...)
	}
	return failure
}

// storeOutcome stores the outcome. It is called before the response is sent, so that
// a duplicate finds the outcome if the response is lost. If storing fails, the caller
// still gets the response, since even without an outcome the booking blocks a second run.
func (s *Server) storeOutcome(q *request, f *controlv1.FinishBooking) {
	ctx, cancel := context.WithTimeout(context.Background(), bookingTimeout)
	defer cancel()
	if err := s.opts.Bookings.Finish(ctx, f); err != nil {
		s.opts.Events.Emit(eventBookingUpdateDelayed, q.fields(event.F("key", q.idempotencyKey), event.F("error", err))...)
	}
}

// respondToDuplicate responds to a request whose key has been used before.
func respondToDuplicate(w http.ResponseWriter, q *request, b *controlv1.BookingResponse) *verdict.Error {
	switch b.State {
	case controlv1.BookingResponse_FINISHED:
		q.delta.outcome = outcomeReplayed
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

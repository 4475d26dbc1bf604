package feed

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/ring"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

var (
	// ErrOutcomeUnknown means that no response arrived in time, so that the record may or
	// may not have been begun or its outcome stored.
	ErrOutcomeUnknown = errors.New("the outcome of the booking call is unknown")
	// ErrReleasesPending means that Begin sent no request because too many records
	// are waiting to be released.
	ErrReleasesPending = errors.New("too many booking records are waiting to be released")
)

const (
	// maxReleases bounds the releases that are queued for the control members.
	maxReleases = 10_000
	// bookingCallTimeout bounds one attempt of a call, so that other members can be
	// tried before the context of the call ends.
	bookingCallTimeout = 500 * time.Millisecond
	bookingRetryDelay  = 50 * time.Millisecond
	releaseRetryDelay  = 250 * time.Millisecond
)

var eventReleaseDelayed = event.Define(3104, "booking-release-delayed", event.Warn, "no control member acknowledged the release of a booking record; it is retried in the background")

// Bookings is the client that an entry uses for booking records. It is a
// kernel.Service and safe for concurrent use.
type Bookings struct {
	kernel.Base
	client   MemberClient
	selector *selector
	view     func() *View
	events   *event.Recorder
	releases *ring.Ring[*controlv1.ReleaseBooking]
	// pending counts the queued releases and the calls of Begin in progress, each
	// of which may still need a release. Begin bounds it by maxReleases, so that
	// these releases find room in the queue.
	pending        atomic.Int64
	queuedReleases tally.Gauge
}

// NewBookings returns a client that uses the member list in the view of c.
func NewBookings(c *Client) *Bookings {
	return &Bookings{
		client: c.options.MemberClient, selector: newSelector(c.options.Members), view: c.View, events: c.options.Events,
		releases:       ring.New[*controlv1.ReleaseBooking]("booking releases", maxReleases, ring.Reject),
		queuedReleases: c.options.Scope.Gauge("booking_releases_queued"),
	}
}

// Begin requests the booking record of a key for an attempt. The caller may send
// the request that the record protects only if the returned state is BEGUN. After an
// error it must not send it: if the record was begun nevertheless, it is released in
// the background. The context must have a deadline.
func (b *Bookings) Begin(ctx context.Context, key *controlv1.BookingKey, bodyHash []byte, attempt string) (*controlv1.BookingResponse, error) {
	if b.pending.Add(1) > maxReleases {
		b.pending.Add(-1)
		return nil, Error.Wrap(ErrReleasesPending)
	}
	r, err := b.call(ctx, &controlv1.BookingRequest{Request: &controlv1.BookingRequest_Begin{Begin: &controlv1.BeginBooking{
		Key: key, BodyHash: bodyHash, AttemptId: attempt}}})
	if err != nil {
		b.queueRelease(&controlv1.ReleaseBooking{Key: key, AttemptId: attempt})
		return nil, err
	}
	b.pending.Add(-1)
	return r, nil
}

// Finish stores the outcome of the attempt that holds the record. After an error
// the outcome may or may not be stored; calling Finish again is safe.
func (b *Bookings) Finish(ctx context.Context, key *controlv1.BookingKey, attempt string, o *controlv1.BookingOutcome) (*controlv1.BookingResponse, error) {
	return b.call(ctx, &controlv1.BookingRequest{Request: &controlv1.BookingRequest_Finish{Finish: &controlv1.FinishBooking{
		Key: key, AttemptId: attempt, Outcome: o}}})
}

// Release releases the record of an attempt that did not run and will not run. It
// does not block: the release is sent in the background until it is acknowledged.
func (b *Bookings) Release(key *controlv1.BookingKey, attempt string) {
	b.pending.Add(1)
	b.queueRelease(&controlv1.ReleaseBooking{Key: key, AttemptId: attempt})
}

// queueRelease queues a release that is already counted in pending.
func (b *Bookings) queueRelease(r *controlv1.ReleaseBooking) {
	if b.releases.Push(context.Background(), r) != nil {
		// This happens only when calls of Release exceed maxReleases. The record stays
		// STARTED, which is safe: requests with its key get the verdict may-have-run.
		b.pending.Add(-1)
	}
}

// Pending returns the number of queued releases and of calls of Begin in progress.
func (b *Bookings) Pending() int { return int(b.pending.Load()) }

// Start implements kernel.Service. It sends the queued releases.
func (b *Bookings) Start(ctx context.Context) error {
	for {
		b.queuedReleases.Update(float64(b.releases.Stats().Length))
		r, err := b.releases.Pop(ctx)
		if err != nil {
			return nil
		}
		if b.sendRelease(ctx, r) {
			b.pending.Add(-1)
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		b.events.Emit(eventReleaseDelayed, event.Customer(r.GetKey().GetCustomer()))
		b.queueRelease(r)
		if kernel.Sleep(ctx, releaseRetryDelay) != nil {
			return nil
		}
	}
}

// Stop implements kernel.Service. It waits until all releases are sent or ctx ends.
func (b *Bookings) Stop(ctx context.Context) error {
	for b.Pending() > 0 {
		if kernel.Sleep(ctx, bookingRetryDelay) != nil {
			return Error.New("stopped before %d booking records were released", b.Pending())
		}
	}
	b.releases.Close()
	return nil
}

// sendRelease reports whether the control members recorded the release. They do not
// record it if they respond FULL, because the customer has no room for another
// record.
func (b *Bookings) sendRelease(ctx context.Context, r *controlv1.ReleaseBooking) bool {
	ctx, cancel := context.WithTimeout(ctx, 4*bookingCallTimeout)
	defer cancel()
	resp, err := b.call(ctx, &controlv1.BookingRequest{Request: &controlv1.BookingRequest_Release{Release: r}})
	return err == nil && resp.GetState() != controlv1.BookingResponse_FULL
}

// call sends a request to the leader and retries until ctx ends. Retries follow
// redirects to the leader and are safe because each request carries the ID of its
// attempt.
func (b *Bookings) call(ctx context.Context, request *controlv1.BookingRequest) (*controlv1.BookingResponse, error) {
	var lastErr error
	for {
		b.selector.setMembers(b.view().Members)
		address := b.selector.pick()
		callCtx, cancel := context.WithTimeout(ctx, bookingCallTimeout)
		r, err := b.client.Booking(callCtx, address, request)
		cancel()
		switch {
		case err == nil && r.GetState() != controlv1.BookingResponse_STATE_UNSPECIFIED:
			return r, nil
		case err == nil:
			b.selector.recordRedirect(address, r.GetLeaderAddress())
			lastErr = fmt.Errorf("%s is not the leader", address)
		case connect.CodeOf(err) == connect.CodeInvalidArgument:
			return nil, Error.Wrap(err)
		default:
			b.selector.recordFailure(address)
			lastErr = err
		}
		if kernel.Sleep(ctx, bookingRetryDelay) != nil {
			return nil, Error.Wrap(fmt.Errorf("%w: %w", ErrOutcomeUnknown, lastErr))
		}
	}
}

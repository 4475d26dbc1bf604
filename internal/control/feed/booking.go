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
	// ErrUnknown means that the record may have been begun, or the outcome
	// stored, although no answer came in time.
	ErrUnknown = errors.New("the outcome of the booking call is unknown")
	// ErrReleasesPending means that too many records wait for their release; the
	// call was not sent.
	ErrReleasesPending = errors.New("too many booking records wait for their release")
)

const (
	// maxReleases bounds the releases that wait for the control members.
	maxReleases = 10_000
	bookingTry  = 500 * time.Millisecond
	bookingWait = 50 * time.Millisecond
	releaseWait = 250 * time.Millisecond
)

var eventReleaseDelayed = event.Define(3104, "booking-release-delayed", event.Warn, "a booking record is released in the background because no control member answered")

// Bookings is an entry's client of booking records. It is a kernel.Service and
// safe for concurrent use.
type Bookings struct {
	kernel.Base
	caller   Caller
	router   *router
	view     func() *View
	events   *event.Recorder
	releases *ring.Ring[*controlv1.ReleaseBooking]
	// pending counts calls that may still end in a background release and
	// those that wait, so that there is room for each.
	pending atomic.Int64
	waiting tally.Gauge
}

// NewBookings returns a client that shares what the feed knows about members.
func NewBookings(c *Client) *Bookings {
	return &Bookings{
		caller: c.options.Caller, router: newRouter(c.options.Members), view: c.View, events: c.options.Events,
		releases: ring.New[*controlv1.ReleaseBooking]("booking releases", maxReleases, ring.Reject),
		waiting:  c.options.Scope.Gauge("booking_releases_queued"),
	}
}

// Begin asks for the record of a key. The caller may send the request only if
// the state is BEGUN. With an error it must not send it: the record, if it was
// begun at all, is released in the background. The context must have a deadline.
func (b *Bookings) Begin(ctx context.Context, key *controlv1.BookingKey, bodyHash []byte, attempt string) (*controlv1.BookingResponse, error) {
	if b.pending.Add(1) > maxReleases {
		b.pending.Add(-1)
		return nil, Error.Wrap(ErrReleasesPending)
	}
	r, err := b.call(ctx, &controlv1.BookingRequest{Request: &controlv1.BookingRequest_Begin{Begin: &controlv1.BeginBooking{
		Key: key, BodyHash: bodyHash, AttemptId: attempt}}})
	if err != nil {
		b.later(&controlv1.ReleaseBooking{Key: key, AttemptId: attempt})
		return nil, err
	}
	b.pending.Add(-1)
	return r, nil
}

// Finish stores the outcome of the attempt that holds the record. With an error
// the outcome may or may not be stored; calling again is safe.
func (b *Bookings) Finish(ctx context.Context, key *controlv1.BookingKey, attempt string, o *controlv1.BookingOutcome) (*controlv1.BookingResponse, error) {
	return b.call(ctx, &controlv1.BookingRequest{Request: &controlv1.BookingRequest_Finish{Finish: &controlv1.FinishBooking{
		Key: key, AttemptId: attempt, Outcome: o}}})
}

// Release gives the record back with proof that the attempt did not run and
// will not run. It does not wait: the release is sent until it is acknowledged.
func (b *Bookings) Release(key *controlv1.BookingKey, attempt string) {
	b.pending.Add(1)
	b.later(&controlv1.ReleaseBooking{Key: key, AttemptId: attempt})
}

// later queues a release that is counted in pending.
func (b *Bookings) later(r *controlv1.ReleaseBooking) {
	if b.releases.Push(context.Background(), r) != nil {
		// Only explicit releases beyond maxReleases come here. The record stays
		// STARTED, which is safe: its key is answered may-have-run.
		b.pending.Add(-1)
	}
}

// Pending returns the number of releases that wait and of begins in progress.
func (b *Bookings) Pending() int { return int(b.pending.Load()) }

// Start implements kernel.Service: it sends queued releases.
func (b *Bookings) Start(ctx context.Context) error {
	for {
		b.waiting.Update(float64(b.releases.Stats().Length))
		r, err := b.releases.Pop(ctx)
		if err != nil {
			return nil
		}
		if b.release(ctx, r) {
			b.pending.Add(-1)
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		b.events.Emit(eventReleaseDelayed, event.Customer(r.GetKey().GetCustomer()))
		b.later(r)
		if kernel.Sleep(ctx, releaseWait) != nil {
			return nil
		}
	}
}

// Stop implements kernel.Service: queued releases are sent until ctx ends.
func (b *Bookings) Stop(ctx context.Context) error {
	for b.Pending() > 0 {
		if kernel.Sleep(ctx, bookingWait) != nil {
			return Error.New("%d booking records were not released", b.Pending())
		}
	}
	b.releases.Close()
	return nil
}

// release reports whether the state has taken note of the release. FULL means
// that it has not, because the customer has no room for another record.
func (b *Bookings) release(ctx context.Context, r *controlv1.ReleaseBooking) bool {
	ctx, cancel := context.WithTimeout(ctx, 4*bookingTry)
	defer cancel()
	resp, err := b.call(ctx, &controlv1.BookingRequest{Request: &controlv1.BookingRequest_Release{Release: r}})
	return err == nil && resp.GetState() != controlv1.BookingResponse_FULL
}

// call repeats a call at the leader, wherever it is, until ctx ends. Repeats are
// safe because calls carry the ID of their attempt.
func (b *Bookings) call(ctx context.Context, request *controlv1.BookingRequest) (*controlv1.BookingResponse, error) {
	var last error
	for {
		b.router.learn(b.view().Members)
		address := b.router.pick()
		try, cancel := context.WithTimeout(ctx, bookingTry)
		r, err := b.caller.Booking(try, address, request)
		cancel()
		switch {
		case err == nil && r.GetState() != controlv1.BookingResponse_STATE_UNSPECIFIED:
			return r, nil
		case err == nil:
			b.router.redirected(address, r.GetLeaderAddress())
			last = fmt.Errorf("%s does not lead", address)
		case connect.CodeOf(err) == connect.CodeInvalidArgument:
			return nil, Error.Wrap(err)
		default:
			b.router.failed(address)
			last = err
		}
		if kernel.Sleep(ctx, bookingWait) != nil {
			return nil, Error.Wrap(fmt.Errorf("%w: %w", ErrUnknown, last))
		}
	}
}

package control

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// Booking begins, finishes or releases a booking record.
func (m *Member) Booking(ctx context.Context, r *controlv1.BookingRequest) (*controlv1.BookingResponse, error) {
	m.metrics.bookingCalls.Inc(1)
	cmd, err := bookingCommand(r)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	term, ok := m.lease()
	if !ok {
		a, err := m.redirect()
		return &controlv1.BookingResponse{LeaderAddress: a}, err
	}
	if !m.hasRoomFor(cmd) {
		return &controlv1.BookingResponse{State: controlv1.BookingResponse_FULL}, nil
	}
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	result, err := m.propose(ctx, cmd)
	if err == nil && !m.holdsLease(term) {
		err = fmt.Errorf("%w: the lease ended", ErrOutcomeUnknown)
	}
	if err != nil {
		return nil, connectError(err)
	}
	return result.Booking, nil
}

// hasRoomFor reports whether the booking records have room for what a command adds. A key with
// an attempt in progress or an outcome is always answered from its record. Where there is no room
// for an outcome, the record stays started and still blocks a second run.
func (m *Member) hasRoomFor(cmd *controlv1.Command) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	free := m.options.Limits.Bookings - m.state.BookingBytes()
	switch c := cmd.GetCommand().(type) {
	case *controlv1.Command_Begin:
		return free > 0 || m.state.HoldsBooking(c.Begin.GetKey())
	case *controlv1.Command_Finish:
		return free >= int64(proto.Size(c.Finish.GetOutcome()))
	}
	return true
}

// bookingCommand validates a request and converts it to a command of the log. A
// begin gets the current time.
func bookingCommand(r *controlv1.BookingRequest) (*controlv1.Command, error) {
	var key *controlv1.BookingKey
	var attempt string
	cmd := &controlv1.Command{}
	switch b := r.GetRequest().(type) {
	case *controlv1.BookingRequest_Begin:
		key, attempt = b.Begin.GetKey(), b.Begin.GetAttemptId()
		if len(b.Begin.GetBodyHash()) > maxAttemptBytes {
			return nil, Error.New("the body hash is longer than %d bytes", maxAttemptBytes)
		}
		cmd.Command = &controlv1.Command_Begin{Begin: &controlv1.BeginBooking{
			Key: key, BodyHash: b.Begin.GetBodyHash(), AttemptId: attempt, AtMs: time.Now().UnixMilli()}}
	case *controlv1.BookingRequest_Finish:
		key, attempt = b.Finish.GetKey(), b.Finish.GetAttemptId()
		if n := len(b.Finish.GetOutcome().GetBody()); n > maxOutcomeBytes {
			return nil, Error.New("the outcome has %d bytes, %d are allowed", n, maxOutcomeBytes)
		}
		cmd.Command = &controlv1.Command_Finish{Finish: b.Finish}
	case *controlv1.BookingRequest_Release:
		key, attempt = b.Release.GetKey(), b.Release.GetAttemptId()
		cmd.Command = &controlv1.Command_Release{Release: b.Release}
	default:
		return nil, Error.New("the request is empty")
	}
	if key.GetCustomer() == "" || key.GetKey() == "" || len(key.GetCustomer())+len(key.GetKey()) > maxKeyBytes {
		return nil, Error.New("customer and key must be set and have at most %d bytes", maxKeyBytes)
	}
	if attempt == "" || len(attempt) > maxAttemptBytes {
		return nil, Error.New("the attempt ID must have 1 to %d bytes", maxAttemptBytes)
	}
	return cmd, nil
}

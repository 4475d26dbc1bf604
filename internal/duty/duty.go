// Package duty makes the calls to the platform that one instance at a time makes for the
// whole system: reports of usage and orders of endpoints.
//
// The holder of the duties is the control member that leads the members' consensus, and the
// fence of its calls is its term. The decisions are in core and in windows.go and are pure;
// Caller and Reporter run them.
package duty

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/errs"

	"auburnstep.example/auburnstep/internal/event"
)

// Error is the class of errors of this package.
var Error = errs.Class("duty")

// ErrNotSent marks errors of Client.Send after which the platform has received nothing of the
// call.
var ErrNotSent = errors.New("the call was not sent")

// Reasons for which Caller.Call sends nothing. All are wrapped with ErrNotSent.
var (
	ErrNotHolder = errors.New("this instance does not hold the duties")
	ErrInFlight  = errors.New("another call for the subject is in flight")
	ErrBackoff   = errors.New("the subject waits after a failure")
	ErrBusy      = errors.New("too many subjects have failing calls")
)

var (
	eventTaken      = event.Define(4200, "duties-taken", event.Info, "this instance holds the duties and calls the platform")
	eventEnded      = event.Define(4201, "duties-ended", event.Info, "this instance no longer holds the duties")
	eventRefused    = event.Define(4202, "duty-call-refused", event.Warn, "the platform refused a call of a duty because of its fence, or it has no endpoints")
	eventFailed     = event.Define(4203, "duty-call-failed", event.Warn, "the platform did not respond to a call of a duty, or responded with an error")
	eventFinal      = event.Define(4204, "usage-final", event.Debug, "the counts of a usage window are final")
	eventNotFinal   = event.Define(4205, "usage-not-final", event.Warn, "a usage window was not stored by the control members; it is proposed again")
	eventDelivered  = event.Define(4206, "usage-delivered", event.Debug, "the platform accepted the report of a usage window")
	eventSuperseded = event.Define(4207, "duties-superseded", event.Warn, "the platform refused the report of a usage window; this instance makes no calls until the term changes")
)

// LateAfter is how long after its sending the platform may still carry out a call that it did
// not respond to.
const LateAfter = 12 * time.Second

// Lease is the leader lease of the control members as seen at this instance.
type Lease struct {
	// Held is set while no other member can become leader.
	Held bool
	Term uint64
	// Since is the time since which the lease has been held without interruption in Term, on
	// the clock of Caller.
	Since time.Time
}

// Result is the result of a call.
type Result int

// Results of calls.
const (
	// NotSent means that the platform has not carried out the call and never will.
	NotSent Result = iota
	// Accepted means that the platform has carried out the call.
	Accepted
	// Superseded means that the platform refused the call because another holder has called
	// with a higher fence.
	Superseded
	// Unavailable means that the platform has none of the ordered endpoints at the moment. The
	// order has no effect.
	Unavailable
	// Unknown means that the platform may have carried out the call, or may do so until
	// LateAfter after the call.
	Unknown
)

var resultNames = [...]string{"not-sent", "accepted", "superseded", "unavailable", "unknown"}

// String returns the name of the result in metrics and events.
func (r Result) String() string { return resultNames[r] }

// Answer describes the outcome of a call.
type Answer struct {
	Result Result
	// Refused is set if the platform responded that the fence is too low or that no
	// endpoints are available; its response is the same for both. LeaseHeld is set if the
	// lease was held in the term of the call when the response had arrived, which rules out
	// a higher fence.
	Refused, LeaseHeld bool
	// Retry is the earliest time of the next call for the subject, on the clock of Caller.
	// It is zero if the next call need not wait.
	Retry time.Time
	// Err is set if Result is NotSent or Unknown.
	Err error
}

// Body is the content of a call: Usage or Order.
type Body interface {
	// refused returns the result of a call that the platform refused.
	refused(leaseHeld bool) Result
}

// SubjectUsage is the subject of all reports of usage.
const SubjectUsage = "usage"

// Usage reports the requests of each customer that began in a window.
type Usage struct {
	Window int64
	Counts map[string]uint64
}

func (Usage) refused(bool) Result { return Superseded }

// Order sets the number of endpoints of a service in a failure domain. Spot and other
// endpoints are counted separately.
type Order struct {
	Service, Domain string
	Desired         int
	Spot            bool
}

// Subject returns the subject of the order. Both kinds of endpoints share it.
func (o Order) Subject() string { return o.Service + "/" + o.Domain }

func (Order) refused(leaseHeld bool) Result {
	if leaseHeld {
		return Unavailable
	}
	return Superseded
}

// Response is what the platform responded to a call.
type Response int

// Responses of the platform.
const (
	// ResponseNone means that no response arrived, or one that says nothing about the call.
	ResponseNone Response = iota
	ResponseAccepted
	// ResponseRefused means that the fence is too low, or that no endpoints are available.
	ResponseRefused
	// ResponseLimited means that the platform received too many calls and ignored this one.
	ResponseLimited
)

// Client sends calls to the platform.
type Client interface {
	// Send sends a call once and waits for its response until ctx ends. It calls maySend
	// immediately before it sends the first byte, and sends nothing if the result is false.
	// If nothing was sent, the error wraps ErrNotSent.
	Send(ctx context.Context, fence uint64, body Body, maySend func() bool) (Response, error)
}

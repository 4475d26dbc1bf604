// Package verdict classifies failed requests by whether an endpoint may have run them.
package verdict

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Header is the response header that carries the verdict, both to callers and from
// endpoints.
const Header = "X-Auburnstep-Verdict"

// Verdict classifies a request by whether an endpoint ran it.
type Verdict int

const (
	// MayHaveRun is the zero value, so that an unclassified failure never claims
	// that a request was not run.
	MayHaveRun Verdict = iota
	// NotRun requires proof: no byte of the request reached an endpoint, or the
	// endpoint rejected the request before running it, and nothing can still start it.
	NotRun
	// Ran means that the endpoint ran the request and its outcome is known.
	Ran
)

// String returns the form used in Header.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse returns the verdict for the form used in Header. An unknown text is MayHaveRun.
func Parse(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// Error is the failure of one request.
type Error struct {
	Verdict Verdict
	// Status is the HTTP status of the response to the caller.
	Status int
	// Type and Code follow the OpenAI error shape.
	Type string
	Code string
	// Message is one sentence for the caller. It must not contain a key or a body.
	Message string
	// RetryAfter is zero if a retry does not help.
	RetryAfter time.Duration
	// Cause is only for logs and is never sent to the caller.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s (%s): %s: %v", e.Code, e.Verdict, e.Message, e.Cause)
	}
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// WithCause returns a copy of e with the given cause.
func (e *Error) WithCause(err error) *Error {
	withCause := *e
	withCause.Cause = err
	return &withCause
}

// Refused returns a NotRun error for a request that was refused before any byte of it
// reached an endpoint.
func Refused(status int, code, message string) *Error {
	return &Error{Verdict: NotRun, Status: status, Type: errorType(status), Code: code, Message: message}
}

// Overloaded returns a NotRun error that asks the caller to retry later.
func Overloaded(code, message string, retryAfter time.Duration) *Error {
	e := Refused(http.StatusServiceUnavailable, code, message)
	e.RetryAfter = retryAfter
	return e
}

// StaleSettings returns the error with which an entry refuses requests while it cannot
// verify that its settings are still in force.
func StaleSettings() *Error {
	return Overloaded("settings_stale", "this entry can not reach the control members; use another entry", time.Second)
}

// Unknown returns a MayHaveRun error, for a failure after which it is unknown whether an
// endpoint ran the request.
func Unknown(status int, code, message string) *Error {
	return &Error{Verdict: MayHaveRun, Status: status, Type: errorType(status), Code: code, Message: message}
}

// From returns the *Error in the chain of err. It wraps an error without a verdict in a
// MayHaveRun error.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Unknown(http.StatusBadGateway, "internal_error", "the request failed and may have run").WithCause(err)
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= 500:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

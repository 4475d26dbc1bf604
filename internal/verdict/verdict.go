// Package verdict says, for every failed request, whether the request may have run.
package verdict

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Header carries the verdict of a refusal to callers and from endpoints.
const Header = "X-Auburnstep-Verdict"

// Verdict says whether a request was run by an endpoint.
type Verdict int

const (
	// MayHaveRun is the zero value, so that a failure that nobody classified
	// never claims that a request was not run.
	MayHaveRun Verdict = iota
	// NotRun is given only with proof: no byte reached an endpoint or the
	// endpoint refused before running, and nothing can still start the request.
	NotRun
	// Ran says that the endpoint ran the request and its outcome is known.
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

// Parse reads the form used in Header. Anything unknown is MayHaveRun.
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
	// Status is the HTTP status towards the caller.
	Status int
	// Type and Code follow the OpenAI error shape.
	Type string
	Code string
	// Message is one sentence for the caller. It never holds a key or a body.
	Message string
	// RetryAfter is zero where a retry does not help.
	RetryAfter time.Duration
	// Cause is kept for logs and never sent to the caller.
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

// WithCause returns a copy of e with the cause set.
func (e *Error) WithCause(err error) *Error {
	c := *e
	c.Cause = err
	return &c
}

// Refused returns a NotRun error for a request that was turned down before any
// byte of it reached an endpoint.
func Refused(status int, code, message string) *Error {
	return &Error{Verdict: NotRun, Status: status, Type: typeOf(status), Code: code, Message: message}
}

// Overloaded returns a NotRun error that asks the caller to retry later.
func Overloaded(code, message string, retryAfter time.Duration) *Error {
	e := Refused(http.StatusServiceUnavailable, code, message)
	e.RetryAfter = retryAfter
	return e
}

// StaleSettings returns the refusal of an entry that does not know whether its
// settings are still in force.
func StaleSettings() *Error {
	return Overloaded("settings_stale", "this entry can not reach the control members; use another entry", time.Second)
}

// Unknown returns a MayHaveRun error.
func Unknown(status int, code, message string) *Error {
	return &Error{Verdict: MayHaveRun, Status: status, Type: typeOf(status), Code: code, Message: message}
}

// From returns err as an *Error. An error without a verdict is MayHaveRun.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Unknown(http.StatusBadGateway, "internal_error", "the request failed and may have run").WithCause(err)
}

func typeOf(status int) string {
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

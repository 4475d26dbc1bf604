package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/verdict"
)

// Reason says why a request to an endpoint failed. It is the code of the verdict.
type Reason string

// The reasons.
const (
	ReasonUnreachable    Reason = "endpoint_unreachable"
	ReasonConnectionLost Reason = "endpoint_connection_lost"
	ReasonRefused        Reason = "endpoint_refused"
	ReasonEndpointError  Reason = "endpoint_error"
	ReasonRejected       Reason = "endpoint_rejected"
	ReasonFirstToken     Reason = "first_token_timeout"
	ReasonBetweenTokens  Reason = "between_tokens_timeout"
	ReasonCrossed        Reason = "answer_crossed"
	ReasonTruncated      Reason = "answer_truncated"
	ReasonGap            Reason = "answer_gap"
	ReasonMalformed      Reason = "answer_malformed"
	ReasonTooLarge       Reason = "answer_too_large"
	ReasonBodyTooLarge   Reason = "request_too_large"
	ReasonBodyFailed     Reason = "request_body_failed"
	ReasonCancelled      Reason = "request_cancelled"
	ReasonDeadline       Reason = "deadline_exceeded"
	ReasonInvalid        Reason = "request_invalid"
	ReasonLate           Reason = "grant_expired"
)

var reasons = []Reason{
	ReasonUnreachable, ReasonConnectionLost, ReasonRefused, ReasonEndpointError, ReasonRejected, ReasonFirstToken,
	ReasonBetweenTokens, ReasonCrossed, ReasonTruncated, ReasonGap, ReasonMalformed, ReasonTooLarge, ReasonBodyTooLarge,
	ReasonBodyFailed, ReasonCancelled, ReasonDeadline, ReasonInvalid, ReasonLate,
}

// statusClientClosed is the customary status for a caller that went away.
const statusClientClosed = 499

// Events of this package.
var (
	eventCrossed = event.Define(5100, "upstream-crossed", event.Warn,
		"an endpoint answered with another request's id; the answer was dropped")
	eventTruncated = event.Define(5101, "upstream-truncated", event.Warn,
		"an endpoint ended an answer before it was complete")
	eventStalled = event.Define(5102, "upstream-stalled", event.Info,
		"an endpoint passed the bound on time to the first token or between tokens")
	eventUnreachable = event.Define(5103, "upstream-unreachable", event.Info,
		"a connection to an endpoint could not be opened or was lost")
	eventCancelFailed = event.Define(5104, "upstream-cancel-failed", event.Debug,
		"an endpoint did not take the cancellation of a request")
	eventInvalid = event.Define(5105, "upstream-invalid", event.Warn,
		"an endpoint sent an answer that is malformed or skips tokens")
)

// Failure is the failure of one request at one endpoint. It unwraps to the
// *verdict.Error.
type Failure struct {
	Err    *verdict.Error
	Reason Reason
	// EndpointFault is true where the failure counts against the endpoint.
	EndpointFault bool
}

// Error implements error.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the verdict.
func (f *Failure) Unwrap() error { return f.Err }

// IsEndpointFault reports whether err counts against the endpoint.
func IsEndpointFault(err error) bool {
	var f *Failure
	return errors.As(err, &f) && f.EndpointFault
}

// ReasonOf returns the reason of err, or "" if err is no Failure.
func ReasonOf(err error) Reason {
	var f *Failure
	if errors.As(err, &f) {
		return f.Reason
	}
	return ""
}

// profile is what a reason always implies.
type profile struct {
	status  int
	fault   bool
	message string
	event   *event.Event
}

var profiles = map[Reason]profile{
	ReasonLate:           {http.StatusServiceUnavailable, false, "the grant ran out before the request was sent", nil},
	ReasonUnreachable:    {http.StatusBadGateway, true, "the endpoint could not be reached", eventUnreachable},
	ReasonConnectionLost: {http.StatusBadGateway, true, "the connection to the endpoint was lost", eventUnreachable},
	ReasonRefused:        {http.StatusServiceUnavailable, false, "the endpoint refused the request", nil},
	ReasonEndpointError:  {http.StatusBadGateway, true, "the endpoint answered with an error", nil},
	ReasonRejected:       {http.StatusBadRequest, false, "the endpoint rejected the request", nil},
	ReasonFirstToken:     {http.StatusGatewayTimeout, true, "the endpoint sent no first token in time", eventStalled},
	ReasonBetweenTokens:  {http.StatusGatewayTimeout, true, "the endpoint sent no further token in time", eventStalled},
	ReasonCrossed:        {http.StatusBadGateway, true, "the endpoint answered another request", eventCrossed},
	ReasonTruncated:      {http.StatusBadGateway, true, "the answer of the endpoint is incomplete", eventTruncated},
	ReasonGap:            {http.StatusBadGateway, true, "the answer of the endpoint skips tokens", eventInvalid},
	ReasonMalformed:      {http.StatusBadGateway, true, "the answer of the endpoint is malformed", eventInvalid},
	ReasonTooLarge:       {http.StatusBadGateway, false, "the answer of the endpoint is too large", nil},
	ReasonBodyTooLarge:   {http.StatusRequestEntityTooLarge, false, "the request body is too large", nil},
	ReasonBodyFailed:     {http.StatusBadRequest, false, "the request body could not be read", nil},
	ReasonCancelled:      {statusClientClosed, false, "the request was cancelled", nil},
	ReasonDeadline:       {http.StatusGatewayTimeout, false, "the request passed its deadline", nil},
	ReasonInvalid:        {http.StatusBadRequest, false, "the request is invalid", nil},
}

// Causes of the cancellation of a request by its own bounds.
var (
	errFirstToken    = Error.New("no first token in time")
	errBetweenTokens = Error.New("no further token in time")
	errDrained       = Error.New("the answer was complete")
	errClosed        = Error.New("the answer was closed by its reader")
)

// attempt is one request at one endpoint, for reports of its failure.
type attempt struct {
	client   *Client
	endpoint string
	id       string
}

// fail counts, logs and returns a failure.
func (a attempt) fail(reason Reason, v verdict.Verdict, cause error) *Failure {
	p := profiles[reason]
	e := verdict.Refused(p.status, string(reason), p.message)
	e.Verdict, e.Cause = v, cause
	return a.report(&Failure{Err: e, Reason: reason, EndpointFault: p.fault})
}

func (a attempt) report(f *Failure) *Failure {
	// io.EOF marks a whole answer, so no failure may match it.
	if errors.Is(f.Err.Cause, io.EOF) {
		f.Err.Cause = Error.New("the connection ended: %v", f.Err.Cause)
	}
	a.client.metrics.failures[f.Reason].Inc(1)
	if ev := profiles[f.Reason].event; ev != nil {
		a.client.options.Events.Emit(ev, event.Request(a.id), event.F("endpoint", a.endpoint),
			event.F("reason", f.Reason), event.F("verdict", f.Err.Verdict), event.F("error", f.Err.Cause))
	}
	return f
}

// failContext classifies the end of a request's context. ok is false where the
// context has not ended.
func (a attempt) failContext(ctx context.Context, v verdict.Verdict) (f *Failure, ok bool) {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return nil, false
	case errors.Is(cause, errFirstToken):
		return a.fail(ReasonFirstToken, v, cause), true
	case errors.Is(cause, errBetweenTokens):
		return a.fail(ReasonBetweenTokens, v, cause), true
	case errors.Is(cause, context.DeadlineExceeded):
		return a.fail(ReasonDeadline, v, cause), true
	default:
		return a.fail(ReasonCancelled, v, cause), true
	}
}

// failRoundTrip classifies a request without a response.
func (a attempt) failRoundTrip(ctx context.Context, proof *writeProof, err error) *Failure {
	v := verdict.MayHaveRun
	if proof.nothingWritten() {
		v = verdict.NotRun
	}
	if f, ok := a.failContext(ctx, v); ok {
		return f
	}
	proof.mu.Lock()
	dialed := proof.got
	proof.mu.Unlock()
	if proof.late() {
		return a.fail(ReasonLate, v, errLate)
	}
	if !dialed {
		return a.fail(ReasonUnreachable, v, err)
	}
	return a.fail(ReasonConnectionLost, v, err)
}

// failRead classifies an error in reading the body of a response. The bytes of
// the request have left, so it may have run.
func (a attempt) failRead(ctx context.Context, err error) *Failure {
	if f, ok := a.failContext(ctx, verdict.MayHaveRun); ok {
		return f
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return a.fail(ReasonTruncated, verdict.MayHaveRun, err)
	}
	return a.fail(ReasonConnectionLost, verdict.MayHaveRun, err)
}

// endpointError is the OpenAI error shape.
type endpointError struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
	} `json:"error"`
}

// failStatus classifies a response that is an error. Only the verdict header
// proves that the request did not run.
func (a attempt) failStatus(resp *http.Response) *Failure {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	v := verdict.Parse(resp.Header.Get(verdict.Header))
	reason := ReasonRejected
	switch {
	case v == verdict.NotRun:
		reason = ReasonRefused
	case resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode < http.StatusBadRequest:
		reason = ReasonEndpointError
	}
	p := profiles[reason]
	message := p.message
	var said endpointError
	if json.Unmarshal(body, &said) == nil && said.Error.Message != "" {
		message += ": " + said.Error.Message
	}
	status := resp.StatusCode
	if reason == ReasonEndpointError {
		status = p.status
	}
	e := verdict.Refused(status, string(reason), message)
	e.Verdict = v
	e.RetryAfter = retryAfter(resp.Header)
	e.Cause = Error.New("status %d, code %q", resp.StatusCode, said.Error.Code)
	return a.report(&Failure{Err: e, Reason: reason, EndpointFault: p.fault})
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

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

// Reason is the reason why a request to an endpoint failed. It is the Code of the
// verdict.Error.
type Reason string

// Values of Reason. ReasonRefused means that the endpoint rejected the request before
// running it; ReasonRejected means that the endpoint rejected it as invalid, without proof
// that it did not run.
const (
	ReasonUnreachable          Reason = "endpoint_unreachable"
	ReasonConnectionLost       Reason = "endpoint_connection_lost"
	ReasonRefused              Reason = "endpoint_refused"
	ReasonEndpointError        Reason = "endpoint_error"
	ReasonRejected             Reason = "endpoint_rejected"
	ReasonFirstTokenTimeout    Reason = "first_token_timeout"
	ReasonBetweenTokensTimeout Reason = "between_tokens_timeout"
	ReasonResponseMismatch     Reason = "answer_crossed"
	ReasonResponseTruncated    Reason = "answer_truncated"
	ReasonTokenGap             Reason = "answer_gap"
	ReasonResponseMalformed    Reason = "answer_malformed"
	ReasonResponseTooLarge     Reason = "answer_too_large"
	ReasonRequestTooLarge      Reason = "request_too_large"
	ReasonRequestBodyFailed    Reason = "request_body_failed"
	ReasonCancelled            Reason = "request_cancelled"
	ReasonDeadlineExceeded     Reason = "deadline_exceeded"
	ReasonInvalid              Reason = "request_invalid"
	ReasonGrantExpired         Reason = "grant_expired"
)

var allReasons = []Reason{
	ReasonUnreachable, ReasonConnectionLost, ReasonRefused, ReasonEndpointError, ReasonRejected, ReasonFirstTokenTimeout,
	ReasonBetweenTokensTimeout, ReasonResponseMismatch, ReasonResponseTruncated, ReasonTokenGap, ReasonResponseMalformed,
	ReasonResponseTooLarge, ReasonRequestTooLarge, ReasonRequestBodyFailed, ReasonCancelled, ReasonDeadlineExceeded, ReasonInvalid, ReasonGrantExpired,
}

// statusClientClosedRequest is the usual non-standard HTTP status for a caller that
// disconnected before the response.
const statusClientClosedRequest = 499

// Events of this package.
var (
	eventResponseMismatch = event.Define(5100, "upstream-crossed", event.Warn,
		"the response of an endpoint has the ID of another request; it was discarded")
	eventResponseTruncated = event.Define(5101, "upstream-truncated", event.Warn,
		"an endpoint ended a response before it was complete")
	eventTokenTimeout = event.Define(5102, "upstream-stalled", event.Info,
		"an endpoint exceeded the timeout for the first token or between tokens")
	eventUnreachable = event.Define(5103, "upstream-unreachable", event.Info,
		"a connection to an endpoint could not be opened or was lost")
	eventCancelFailed = event.Define(5104, "upstream-cancel-failed", event.Debug,
		"a cancel request to an endpoint failed")
	eventResponseInvalid = event.Define(5105, "upstream-invalid", event.Warn,
		"an endpoint sent a response that is malformed or skips tokens")
)

// RequestError is the failure of one request at one endpoint. It unwraps to the
// *verdict.Error.
type RequestError struct {
	Err    *verdict.Error
	Reason Reason
	// EndpointFault is true if the endpoint caused the failure.
	EndpointFault bool
	// Begun is true if a part of the header of the response had arrived, but not all of it.
	Begun bool
}

// Error implements error.
func (e *RequestError) Error() string { return e.Err.Error() }

// Unwrap returns the *verdict.Error.
func (e *RequestError) Unwrap() error { return e.Err }

// IsEndpointFault reports whether err is a RequestError that the endpoint caused.
func IsEndpointFault(err error) bool {
	var reqErr *RequestError
	return errors.As(err, &reqErr) && reqErr.EndpointFault
}

// IsLost reports whether err is a RequestError because the endpoint's response or its
// connection ended early.
func IsLost(err error) bool {
	reason := ReasonOf(err)
	return reason == ReasonConnectionLost || reason == ReasonResponseTruncated
}

// HasBegun reports whether err is a RequestError of a response that ended inside its
// header.
func HasBegun(err error) bool {
	var reqErr *RequestError
	return errors.As(err, &reqErr) && reqErr.Begun
}

// ReasonOf returns the reason of err, or "" if err is not a RequestError.
func ReasonOf(err error) Reason {
	var reqErr *RequestError
	if errors.As(err, &reqErr) {
		return reqErr.Reason
	}
	return ""
}

// reasonInfo holds the properties that all failures with one reason share.
type reasonInfo struct {
	status        int
	endpointFault bool
	message       string
	event         *event.Event
}

var reasonInfos = map[Reason]reasonInfo{
	ReasonGrantExpired:         {http.StatusServiceUnavailable, false, "the grant ran out before the request was sent", nil},
	ReasonUnreachable:          {http.StatusBadGateway, true, "the endpoint could not be reached", eventUnreachable},
	ReasonConnectionLost:       {http.StatusBadGateway, true, "the connection to the endpoint was lost", eventUnreachable},
	ReasonRefused:              {http.StatusServiceUnavailable, false, "the endpoint refused the request", nil},
	ReasonEndpointError:        {http.StatusBadGateway, true, "the endpoint answered with an error", nil},
	ReasonRejected:             {http.StatusBadRequest, false, "the endpoint rejected the request", nil},
	ReasonFirstTokenTimeout:    {http.StatusGatewayTimeout, true, "the endpoint sent no first token in time", eventTokenTimeout},
	ReasonBetweenTokensTimeout: {http.StatusGatewayTimeout, true, "the endpoint sent no further token in time", eventTokenTimeout},
	ReasonResponseMismatch:     {http.StatusBadGateway, true, "the endpoint answered another request", eventResponseMismatch},
	ReasonResponseTruncated:    {http.StatusBadGateway, true, "the answer of the endpoint is incomplete", eventResponseTruncated},
	ReasonTokenGap:             {http.StatusBadGateway, true, "the answer of the endpoint skips tokens", eventResponseInvalid},
	ReasonResponseMalformed:    {http.StatusBadGateway, true, "the answer of the endpoint is malformed", eventResponseInvalid},
	ReasonResponseTooLarge:     {http.StatusBadGateway, false, "the answer of the endpoint is too large", nil},
	ReasonRequestTooLarge:      {http.StatusRequestEntityTooLarge, false, "the request body is too large", nil},
	ReasonRequestBodyFailed:    {http.StatusBadRequest, false, "the request body could not be read", nil},
	ReasonCancelled:            {statusClientClosedRequest, false, "the request was cancelled", nil},
	ReasonDeadlineExceeded:     {http.StatusGatewayTimeout, false, "the request passed its deadline", nil},
	ReasonInvalid:              {http.StatusBadRequest, false, "the request is invalid", nil},
}

// Causes with which this package cancels the context of a request.
var (
	errFirstTokenTimeout    = Error.New("no first token within the timeout")
	errBetweenTokensTimeout = Error.New("no further token within the timeout")
	errResponseComplete     = Error.New("the response is complete")
	errResponseClosed       = Error.New("the reader closed the response")
)

// attempt identifies one request at one endpoint. Its methods create and record the
// errors of the request.
type attempt struct {
	client    *Client
	endpoint  string
	requestID string
}

// recordError returns a RequestError for reason. It counts the error and emits its event.
func (a attempt) recordError(reason Reason, v verdict.Verdict, cause error) *RequestError {
	info := reasonInfos[reason]
	e := verdict.Refused(info.status, string(reason), info.message)
	e.Verdict, e.Cause = v, cause
	return a.record(&RequestError{Err: e, Reason: reason, EndpointFault: info.endpointFault})
}

// record counts reqErr, emits its event and returns it.
func (a attempt) record(reqErr *RequestError) *RequestError {
	// io.EOF stands for the end of a complete response, so a failure must not match it.
	if errors.Is(reqErr.Err.Cause, io.EOF) {
		reqErr.Err.Cause = Error.New("the connection was closed: %v", reqErr.Err.Cause)
	}
	a.client.metrics.failures[reqErr.Reason].Inc(1)
	if ev := reasonInfos[reqErr.Reason].event; ev != nil {
		a.client.options.Events.Emit(ev, event.Request(a.requestID), event.F("endpoint", a.endpoint),
			event.F("reason", reqErr.Reason), event.F("verdict", reqErr.Err.Verdict), event.F("error", reqErr.Err.Cause))
	}
	return reqErr
}

// classifyContextEnd returns the error for a request whose context has ended. ok is false
// if the context has not ended.
func (a attempt) classifyContextEnd(ctx context.Context, v verdict.Verdict) (reqErr *RequestError, ok bool) {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return nil, false
	case errors.Is(cause, errFirstTokenTimeout):
		return a.recordError(ReasonFirstTokenTimeout, v, cause), true
	case errors.Is(cause, errBetweenTokensTimeout):
		return a.recordError(ReasonBetweenTokensTimeout, v, cause), true
	case errors.Is(cause, context.DeadlineExceeded):
		return a.recordError(ReasonDeadlineExceeded, v, cause), true
	default:
		return a.recordError(ReasonCancelled, v, cause), true
	}
}

// classifyRoundTripError returns the error for a request that got no response.
func (a attempt) classifyRoundTripError(ctx context.Context, tracker *writeTracker, err error) *RequestError {
	v := verdict.MayHaveRun
	if tracker.nothingWritten() {
		v = verdict.NotRun
	}
	if reqErr, ok := a.classifyContextEnd(ctx, v); ok {
		return reqErr
	}
	tracker.mu.Lock()
	dialed := tracker.connected
	tracker.mu.Unlock()
	if tracker.grantExpired() {
		return a.recordError(ReasonGrantExpired, v, errGrantExpired)
	}
	switch {
	case !dialed:
		return a.recordError(ReasonUnreachable, v, err)
	case tracker.headInvalid():
		return a.recordError(ReasonResponseMalformed, v, err)
	case errors.Is(err, errEarlierBytes):
		a.client.metrics.responseMismatches.Inc(1)
		return a.recordError(ReasonResponseMismatch, v, err)
	}
	reqErr := a.recordError(ReasonConnectionLost, v, err)
	reqErr.Begun = tracker.responseBegun.Load()
	return reqErr
}

// classifyReadError returns the error for a failed read of a response body. The request
// was sent, so it may have run.
func (a attempt) classifyReadError(ctx context.Context, err error) *RequestError {
	if reqErr, ok := a.classifyContextEnd(ctx, verdict.MayHaveRun); ok {
		return reqErr
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return a.recordError(ReasonResponseTruncated, verdict.MayHaveRun, err)
	}
	return a.recordError(ReasonConnectionLost, verdict.MayHaveRun, err)
}

// errorResponse is the body of an error response in the format of the OpenAI API.
type errorResponse struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
	} `json:"error"`
}

// classifyErrorResponse returns the error for an error response. Only the verdict header
// proves that the request did not run.
func (a attempt) classifyErrorResponse(resp *http.Response) *RequestError {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	v := verdict.Parse(resp.Header.Get(verdict.Header))
	reason := ReasonRejected
	switch {
	case v == verdict.NotRun:
		reason = ReasonRefused
	case resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode < http.StatusBadRequest:
		reason = ReasonEndpointError
	}
	info := reasonInfos[reason]
	message := info.message
	var parsed errorResponse
	if json.Unmarshal(body, &parsed) == nil && parsed.Error.Message != "" {
		message += ": " + parsed.Error.Message
	}
	status := resp.StatusCode
	if reason == ReasonEndpointError {
		status = info.status
	}
	e := verdict.Refused(status, string(reason), message)
	e.Verdict = v
	e.RetryAfter = retryAfter(resp.Header)
	e.Cause = Error.New("status %d, code %q", resp.StatusCode, parsed.Error.Code)
	return a.record(&RequestError{Err: e, Reason: reason, EndpointFault: info.endpointFault})
}

// retryAfter returns the duration of the Retry-After header, or 0 if it is missing or is
// not a number of seconds.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

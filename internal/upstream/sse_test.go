package upstream

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/verdict"
)

// tokenEvent returns an event of a stream with one token.
func tokenEvent(id string, offset int, text string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"auburnstep_offset\":%d,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", id, offset, text)
}

func finishEvent(id string, offset int) string {
	return fmt.Sprintf("data: {\"id\":%q,\"auburnstep_offset\":%d,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n", id, offset)
}

const doneEvent = "data: [DONE]\n\n"

// TestStreamValidatesEvents guards against a response with wrong, missing or repeated tokens
// that is delivered as complete.
func TestStreamValidatesEvents(t *testing.T) {
	a, b := tokenEvent("r", 0, "a "), tokenEvent("r", 1, "b ")
	for _, test := range []struct {
		name   string
		offset int
		events string
		text   string
		reason Reason // "" for a complete response
	}{
		{"whole", 0, a + b + finishEvent("r", 2) + doneEvent, "a b ", ""},
		{"comments, other fields and CRLF", 0, ": hi\r\nevent: x\r\n" + strings.ReplaceAll(a+finishEvent("r", 1)+doneEvent, "\n", "\r\n"), "a ", ""},
		{"resume is ignored", 1, a + b + finishEvent("r", 2) + doneEvent, "b ", ""},
		{"resume is honoured", 1, b + finishEvent("r", 2) + doneEvent, "b ", ""},
		{"resume skips a token", 1, tokenEvent("r", 2, "c ") + finishEvent("r", 3) + doneEvent, "", ReasonTokenGap},
		{"resumed response ends before the delivered tokens", 3, a + b + finishEvent("r", 2) + doneEvent, "", ReasonResponseTruncated},
		{"repeated token", 0, a + a + b + finishEvent("r", 2) + doneEvent, "a b ", ""},
		{"lost token", 0, a + tokenEvent("r", 2, "c ") + finishEvent("r", 3) + doneEvent, "a ", ReasonTokenGap},
		{"lost last token", 0, a + finishEvent("r", 2) + doneEvent, "a ", ReasonTokenGap},
		{"chunk with another ID", 0, a + tokenEvent("q", 1, "b ") + finishEvent("r", 2) + doneEvent, "a ", ReasonResponseMismatch},
		{"last chunk with another ID", 0, a + finishEvent("q", 1) + doneEvent, "a ", ReasonResponseMismatch},
		{"no ID", 0, strings.Replace(a, `"id":"r",`, "", 1), "", ReasonResponseMismatch},
		{"no offset", 0, strings.Replace(a, `"auburnstep_offset":0,`, "", 1), "", ReasonResponseMalformed},
		{"no finish reason", 0, a + doneEvent, "a ", ReasonResponseTruncated},
		{"no [DONE] event", 0, a + finishEvent("r", 1), "a ", ReasonResponseTruncated},
		{"token after the finish reason", 0, a + finishEvent("r", 1) + b + doneEvent, "a ", ReasonResponseMalformed},
		{"empty", 0, "", "", ReasonResponseTruncated},
		{"incomplete event", 0, a + b[:len(b)-4], "a ", ReasonResponseTruncated},
		{"invalid JSON", 0, a + "data: oops\n\n", "a ", ReasonResponseMalformed},
		{"error event", 0, a + "data: {\"error\":{\"message\":\"out of memory\"}}\n\n", "a ", ReasonEndpointError},
		{"line exceeds the size limit", 0, a + "data: \"" + strings.Repeat("x", 2*maxLineBytes), "a ", ReasonResponseMalformed},
		{"line longer than the read buffer", 0, tokenEvent("r", 0, strings.Repeat("x", 9000)) + finishEvent("r", 1) + doneEvent, strings.Repeat("x", 9000), ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(w, test.events)
				}
			}))
			c.Cleanup(server.Close)
			client := startClient(c, Options{})
			text, err := chat(client, Call{
				Endpoint: server.Listener.Addr().String(), RequestID: "r", Offset: test.offset, Body: chatBody("p", 1),
				MaxTimeToFirstToken: longTimeout, MaxTimeBetweenTokens: longTimeout,
			})
			c.Check(text, qt.Equals, test.text)
			if test.reason == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			checkFailure(c, err, test.reason, verdict.MayHaveRun, true)
		})
	}
}

// TestErrorResponseClassification guards against the verdict not-run for an error response
// that does not prove it with the verdict header.
func TestErrorResponseClassification(t *testing.T) {
	for _, test := range []struct {
		name          string
		status        int
		header        string
		reason        Reason
		verdict       verdict.Verdict
		endpointFault bool
		callerStatus  int
	}{
		{"refused", 503, "not-run", ReasonRefused, verdict.NotRun, false, 503},
		{"unavailable without proof", 503, "", ReasonEndpointError, verdict.MayHaveRun, true, 502},
		{"unknown verdict", 500, "never", ReasonEndpointError, verdict.MayHaveRun, true, 502},
		{"bad request", 400, "", ReasonRejected, verdict.MayHaveRun, false, 400},
		{"redirect is not followed", 307, "", ReasonEndpointError, verdict.MayHaveRun, true, 502},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Location", "/elsewhere")
				if test.header != "" {
					w.Header().Set(verdict.Header, test.header)
				}
				w.Header().Set("Retry-After", "2")
				w.WriteHeader(test.status)
			}))
			c.Cleanup(server.Close)
			client := startClient(c, Options{})
			_, err := client.Chat(c.Context(), Call{Endpoint: server.Listener.Addr().String(), RequestID: "r", Body: chatBody("p", 1)})
			checkFailure(c, err, test.reason, test.verdict, test.endpointFault)
			c.Check(verdict.From(err).Status, qt.Equals, test.callerStatus)
			c.Check(verdict.From(err).RetryAfter.Seconds(), qt.Equals, 2.0)
		})
	}
}

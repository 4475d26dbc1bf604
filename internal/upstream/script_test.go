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

// event returns one event of a stream with a token.
func tokenEvent(id string, offset int, text string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"auburnstep_offset\":%d,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", id, offset, text)
}

func finishEvent(id string, offset int) string {
	return fmt.Sprintf("data: {\"id\":%q,\"auburnstep_offset\":%d,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n", id, offset)
}

const doneEvent = "data: [DONE]\n\n"

// TestStreamChecksEvents guards against an answer with wrong, missing or
// repeated tokens that is passed on as whole.
func TestStreamChecksEvents(t *testing.T) {
	a, b := tokenEvent("r", 0, "a "), tokenEvent("r", 1, "b ")
	for _, test := range []struct {
		name   string
		offset int
		events string
		text   string
		reason Reason // "" for a whole answer
	}{
		{"whole", 0, a + b + finishEvent("r", 2) + doneEvent, "a b ", ""},
		{"comments, other fields and CRLF", 0, ": hi\r\nevent: x\r\n" + strings.ReplaceAll(a+finishEvent("r", 1)+doneEvent, "\n", "\r\n"), "a ", ""},
		{"resume is ignored", 1, a + b + finishEvent("r", 2) + doneEvent, "b ", ""},
		{"resume is honoured", 1, b + finishEvent("r", 2) + doneEvent, "b ", ""},
		{"resume skips a token", 1, tokenEvent("r", 2, "c ") + finishEvent("r", 3) + doneEvent, "", ReasonGap},
		{"resumed answer is shorter than what was delivered", 3, a + b + finishEvent("r", 2) + doneEvent, "", ReasonTruncated},
		{"repeated token", 0, a + a + b + finishEvent("r", 2) + doneEvent, "a b ", ""},
		{"lost token", 0, a + tokenEvent("r", 2, "c ") + finishEvent("r", 3) + doneEvent, "a ", ReasonGap},
		{"lost last token", 0, a + finishEvent("r", 2) + doneEvent, "a ", ReasonGap},
		{"other id", 0, a + tokenEvent("q", 1, "b ") + finishEvent("r", 2) + doneEvent, "a ", ReasonCrossed},
		{"other id at the end", 0, a + finishEvent("q", 1) + doneEvent, "a ", ReasonCrossed},
		{"no id", 0, strings.Replace(a, `"id":"r",`, "", 1), "", ReasonCrossed},
		{"no offset", 0, strings.Replace(a, `"auburnstep_offset":0,`, "", 1), "", ReasonMalformed},
		{"no finish reason", 0, a + doneEvent, "a ", ReasonTruncated},
		{"no end mark", 0, a + finishEvent("r", 1), "a ", ReasonTruncated},
		{"token after the finish reason", 0, a + finishEvent("r", 1) + b + doneEvent, "a ", ReasonMalformed},
		{"empty", 0, "", "", ReasonTruncated},
		{"half an event", 0, a + b[:len(b)-4], "a ", ReasonTruncated},
		{"no JSON", 0, a + "data: oops\n\n", "a ", ReasonMalformed},
		{"error event", 0, a + "data: {\"error\":{\"message\":\"out of memory\"}}\n\n", "a ", ReasonEndpointError},
		{"line beyond the bound", 0, a + "data: \"" + strings.Repeat("x", 2*maxLine), "a ", ReasonMalformed},
		{"long line", 0, tokenEvent("r", 0, strings.Repeat("x", 9000)) + finishEvent("r", 1) + doneEvent, strings.Repeat("x", 9000), ""},
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
				FirstToken: longBound, BetweenTokens: longBound,
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

// TestStatusOfEndpoint guards against a claim of not-run without proof.
func TestStatusOfEndpoint(t *testing.T) {
	for _, test := range []struct {
		name    string
		status  int
		header  string
		reason  Reason
		verdict verdict.Verdict
		blame   bool
		answer  int
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
			checkFailure(c, err, test.reason, test.verdict, test.blame)
			c.Check(verdict.From(err).Status, qt.Equals, test.answer)
			c.Check(verdict.From(err).RetryAfter.Seconds(), qt.Equals, 2.0)
		})
	}
}

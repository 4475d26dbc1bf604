package upstream

import (
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"auburnstep.example/auburnstep/internal/answers"
	"auburnstep.example/auburnstep/internal/fakeengine"
	"auburnstep.example/auburnstep/internal/verdict"
)

func verifyNoLeaks(m *testing.M) { goleak.VerifyTestMain(m) }

func TestChatDeliversCompleteResponses(t *testing.T) {
	c := qt.New(t)
	fake := startFake(c, fakeengine.Config{})
	client := startClient(c, Options{})
	for _, n := range []int{1, 2, 500} {
		text, err := chat(client, callTo(fake, "r", "a prompt", n))
		c.Assert(err, qt.IsNil)
		c.Check(text, qt.Equals, answers.ResponseText("a prompt", n))
	}
}

// TestChatFaults guards against a failed response that is delivered as complete, and against
// a failure with a wrong verdict or a wrong EndpointFault.
func TestChatFaults(t *testing.T) {
	for _, test := range []struct {
		name          string
		fault         fakeengine.Fault
		reason        Reason
		verdict       verdict.Verdict
		endpointFault bool
	}{
		{"crossed", fakeengine.Fault{Kind: fakeengine.FaultCrossed}, ReasonResponseMismatch, verdict.MayHaveRun, true},
		{"truncated", fakeengine.Fault{Kind: fakeengine.FaultTruncated}, ReasonResponseTruncated, verdict.MayHaveRun, true},
		{"reset", fakeengine.Fault{Kind: fakeengine.FaultReset}, ReasonResponseTruncated, verdict.MayHaveRun, true},
		{"overload", fakeengine.Fault{Kind: fakeengine.FaultOverload}, ReasonRefused, verdict.NotRun, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			fake := startFake(c, fakeengine.Config{})
			client := startClient(c, Options{})
			fake.Inject(test.fault)
			text, err := chat(client, callTo(fake, "r1", "p", 20))
			checkFailure(c, err, test.reason, test.verdict, test.endpointFault)
			complete := answers.ResponseText("p", 20)
			c.Check(len(text) < len(complete) && complete[:len(text)] == text, qt.IsTrue, qt.Commentf("%q", text))
		})
	}
}

func TestUnreachableIsNotRun(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := l.Addr().String()
	c.Assert(l.Close(), qt.IsNil)
	client := startClient(c, Options{})
	_, err = client.Chat(context.Background(), Call{Endpoint: address, RequestID: "r", Body: chatBody("p", 1)})
	checkFailure(c, err, ReasonUnreachable, verdict.NotRun, true)
}

// TestResume guards against repeated or skipped tokens when a response is resumed at other
// endpoints any number of times.
func TestResume(t *testing.T) {
	for _, total := range []int{1, 2, 7, 64} {
		c := qt.New(t)
		client := startClient(c, Options{})
		var text string
		delivered, complete := 0, false
		for i, fault := range []fakeengine.FaultKind{fakeengine.FaultTruncated, fakeengine.FaultReset, fakeengine.FaultCrossed, ""} {
			fake := startFake(c, fakeengine.Config{})
			if fault != "" {
				fake.Inject(fakeengine.Fault{Kind: fault})
			}
			call := callTo(fake, string(rune('a'+i)), "a prompt", total)
			call.PublicID, call.Offset = "public", delivered
			s, err := client.Chat(context.Background(), call)
			if err != nil {
				c.Check(ReasonOf(err), qt.Equals, ReasonConnectionLost)
				continue
			}
			part, err := collect(s)
			text += part
			delivered, complete = s.Delivered(), err == nil
		}
		c.Check(complete, qt.IsTrue)
		c.Check(text, qt.Equals, answers.ResponseText("a prompt", total))
	}
}

// TestCancelReachesEngine guards against an engine that continues a response whose caller has
// disconnected, also if the connection is silent and no goroutine reads the stream.
func TestCancelReachesEngine(t *testing.T) {
	for _, test := range []struct {
		name   string
		silent bool
		end    func(s *Stream, cancel context.CancelFunc)
	}{
		{"context ends", false, func(_ *Stream, cancel context.CancelFunc) { cancel() }},
		{"context ends on a silent connection", true, func(_ *Stream, cancel context.CancelFunc) { cancel() }},
		{"stream is closed", false, func(s *Stream, _ context.CancelFunc) { s.Close() }},
		{"stream is closed on a silent connection", true, func(s *Stream, _ context.CancelFunc) { s.Close() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			fake := startFake(c, fakeengine.Config{TokensPerSecond: 100})
			client := startClient(c, Options{})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			s, err := client.Chat(ctx, callTo(fake, "r", "p", 100000))
			c.Assert(err, qt.IsNil)
			defer s.Close()
			if test.silent {
				fake.Inject(fakeengine.Fault{Kind: fakeengine.FaultSilent})
			}
			test.end(s, cancel)
			eventually(c, "the engine cancels the request", func() bool { return fake.Stats().Cancelled == 1 })
			_, err = collect(s)
			checkFailure(c, err, ReasonCancelled, verdict.MayHaveRun, false)
		})
	}
}

// TestPublicID guards against chunks that are delivered with the request ID of an attempt.
func TestPublicID(t *testing.T) {
	c := qt.New(t)
	fake := startFake(c, fakeengine.Config{})
	client := startClient(c, Options{})
	call := callTo(fake, "attempt", "p", 1)
	call.PublicID = "public"
	s, err := client.Chat(context.Background(), call)
	c.Assert(err, qt.IsNil)
	defer s.Close()
	chunk, err := s.Next()
	c.Assert(err, qt.IsNil)
	c.Check(chunk.ID, qt.Equals, "public")
	c.Check(string(chunk.Raw), qt.Contains, `"id":"public"`)
	c.Check(string(chunk.Raw), qt.Not(qt.Contains), "attempt")
}

func TestStreamBody(t *testing.T) {
	c := qt.New(t)
	out, err := StreamBody([]byte(`{"model":"m","stream":false,"n":1}`))
	c.Assert(err, qt.IsNil)
	c.Check(string(out), qt.JSONEquals, map[string]any{"model": "m", "stream": true, "n": 1})
	for _, body := range []string{"", "null", "[]", "{"} {
		_, err := StreamBody([]byte(body))
		c.Check(err, qt.Not(qt.IsNil), qt.Commentf(body))
	}
}

package upstream

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"auburnstep.example/auburnstep/internal/fakeengine"
	"auburnstep.example/auburnstep/internal/verdict"
)

func verifyNoLeaks(m *testing.M) { goleak.VerifyTestMain(m) }

func TestChatDeliversWholeAnswers(t *testing.T) {
	c := qt.New(t)
	fake := startFake(c, fakeengine.Config{})
	client := startClient(c, Options{})
	for _, n := range []int{1, 2, 500} {
		text, err := chat(client, callTo(fake, "r", "a prompt", n))
		c.Assert(err, qt.IsNil)
		c.Check(text, qt.Equals, fakeengine.Answer("a prompt", n))
	}
}

// TestChatFaults guards against a failed answer that is presented as whole, and
// against a wrong verdict or a wrong blame for it.
func TestChatFaults(t *testing.T) {
	for _, test := range []struct {
		name    string
		fault   fakeengine.Fault
		reason  Reason
		verdict verdict.Verdict
		blame   bool
	}{
		{"crossed", fakeengine.Fault{Kind: fakeengine.FaultCrossed}, ReasonCrossed, verdict.MayHaveRun, true},
		{"truncated", fakeengine.Fault{Kind: fakeengine.FaultTruncated}, ReasonTruncated, verdict.MayHaveRun, true},
		{"reset", fakeengine.Fault{Kind: fakeengine.FaultReset}, ReasonTruncated, verdict.MayHaveRun, true},
		{"overload", fakeengine.Fault{Kind: fakeengine.FaultOverload}, ReasonRefused, verdict.NotRun, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			fake := startFake(c, fakeengine.Config{})
			client := startClient(c, Options{})
			fake.Inject(test.fault)
			text, err := chat(client, callTo(fake, "r1", "p", 20))
			checkFailure(c, err, test.reason, test.verdict, test.blame)
			whole := fakeengine.Answer("p", 20)
			c.Check(len(text) < len(whole) && whole[:len(text)] == text, qt.IsTrue, qt.Commentf("%q", text))
		})
	}
}

func TestChatBoundsOnPace(t *testing.T) {
	for _, test := range []struct {
		name   string
		kind   fakeengine.Fault
		after  int // tokens before the fault
		reason Reason
	}{
		{"frozen before the first token", fakeengine.Fault{Kind: fakeengine.FaultFreeze}, 0, ReasonFirstToken},
		{"late answer", fakeengine.Fault{Kind: fakeengine.FaultLate, Delay: longBound}, 0, ReasonFirstToken},
		{"frozen between tokens", fakeengine.Fault{Kind: fakeengine.FaultFreeze}, 2, ReasonBetweenTokens},
		{"silent connection", fakeengine.Fault{Kind: fakeengine.FaultSilent}, 2, ReasonBetweenTokens},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			fake := startFake(c, fakeengine.Config{TokensPerSecond: 100})
			client := startClient(c, Options{})
			call := callTo(fake, "r", "p", 100000)
			if test.after == 0 {
				fake.Inject(test.kind)
				call.FirstToken = 30 * time.Millisecond
				_, err := chat(client, call)
				checkFailure(c, err, test.reason, verdict.MayHaveRun, true)
				return
			}
			call.BetweenTokens = 300 * time.Millisecond
			s, err := client.Chat(context.Background(), call)
			c.Assert(err, qt.IsNil)
			for range test.after {
				_, err := s.Next()
				c.Assert(err, qt.IsNil)
			}
			fake.Inject(test.kind)
			_, err = collect(s)
			checkFailure(c, err, test.reason, verdict.MayHaveRun, true)
			if test.kind.Kind == fakeengine.FaultSilent {
				// New connections work, so the cancel reaches the engine.
				eventually(c, "cancel at the engine", func() bool { return fake.Stats().Cancelled == 1 })
			}
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

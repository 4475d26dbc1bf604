package upstream

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/fakeengine"
	"auburnstep.example/auburnstep/internal/verdict"
)

// pipeListener accepts in-memory connections. A goroutine that waits for one is durably
// blocked, so that the fake clock of synctest can advance.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	clientConn, serverConn := net.Pipe()
	select {
	case l.conns <- serverConn:
		return clientConn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// runWithFakeClock runs a test in a synctest bubble against a fake engine that generates ten
// tokens per second. The clock of the bubble advances only when all goroutines are blocked.
func runWithFakeClock(t *testing.T, run func(c *qt.C, fake *fakeengine.Server, client *Client)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := newPipeListener()
		fake, err := fakeengine.StartWithListener(l, fakeengine.Config{TokensPerSecond: 10})
		c.Assert(err, qt.IsNil)
		client := New(Options{Dial: l.dial})
		run(c, fake, client)
		client.Close()
		fake.Close()
	})
}

func longCall() Call {
	return Call{Endpoint: "engine:80", RequestID: "r", Body: chatBody("p", 1000), ReuseConnection: true}
}

// TestCancelWithin200ms guards against a request that still occupies a slot of an engine
// 200 ms after its caller has disconnected. The second case covers an engine that does not
// notice the end of the connection.
func TestCancelWithin200ms(t *testing.T) {
	for _, silentConn := range []bool{false, true} {
		runWithFakeClock(t, func(c *qt.C, fake *fakeengine.Server, client *Client) {
			ctx, cancel := context.WithCancel(context.Background())
			s, err := client.Chat(ctx, longCall())
			c.Assert(err, qt.IsNil)
			if silentConn {
				fake.Inject(fakeengine.Fault{Kind: fakeengine.FaultSilent})
			}
			cancel()
			time.Sleep(200 * time.Millisecond)
			synctest.Wait()
			c.Check(fake.Stats().Cancelled, qt.Equals, int64(1))
			s.Close()
		})
	}
}

// TestTokenTimeouts guards against a client that keeps waiting for a stalled engine.
func TestTokenTimeouts(t *testing.T) {
	for _, test := range []struct {
		name   string
		fault  fakeengine.Fault
		after  int // tokens before the fault
		reason Reason
	}{
		{"frozen before the first token", fakeengine.Fault{Kind: fakeengine.FaultFreeze}, 0, ReasonFirstTokenTimeout},
		{"delayed response", fakeengine.Fault{Kind: fakeengine.FaultLate, Delay: time.Minute}, 0, ReasonFirstTokenTimeout},
		{"frozen between tokens", fakeengine.Fault{Kind: fakeengine.FaultFreeze}, 2, ReasonBetweenTokensTimeout},
		{"slow between tokens", fakeengine.Fault{Kind: fakeengine.FaultSlow, Factor: 4}, 2, ReasonBetweenTokensTimeout},
		{"silent connection", fakeengine.Fault{Kind: fakeengine.FaultSilent}, 2, ReasonBetweenTokensTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			runWithFakeClock(t, func(c *qt.C, fake *fakeengine.Server, client *Client) {
				call := longCall()
				call.MaxTimeToFirstToken, call.MaxTimeBetweenTokens = time.Second, 300*time.Millisecond
				inject := func() { fake.Inject(test.fault) }
				if test.after == 0 {
					inject()
					_, err := chat(client, call)
					checkFailure(c, err, test.reason, verdict.MayHaveRun, true)
				} else {
					s, err := client.Chat(context.Background(), call)
					c.Assert(err, qt.IsNil)
					for range test.after {
						_, err := s.Next()
						c.Assert(err, qt.IsNil)
					}
					inject()
					_, err = collect(s)
					checkFailure(c, err, test.reason, verdict.MayHaveRun, true)
				}
				fake.Inject(fakeengine.Fault{Kind: fakeengine.FaultClear})
				time.Sleep(2 * time.Second)
				// An engine that resumes after the connection has ended can no longer read
				// the request body and rejects the request.
				stats := fake.Stats()
				c.Check(stats.Cancelled+stats.Refused, qt.Equals, int64(1), qt.Commentf("the engine drops the request: %+v", stats))
			})
		})
	}
}

// TestTokenTimeoutsAreExact guards against a timeout that also counts the time that a slow
// reader spends outside Next, and against one timeout that is applied instead of the other.
func TestTokenTimeoutsAreExact(t *testing.T) {
	runWithFakeClock(t, func(c *qt.C, fake *fakeengine.Server, client *Client) {
		call := longCall()
		call.MaxTimeToFirstToken, call.MaxTimeBetweenTokens = 450*time.Millisecond, 150*time.Millisecond
		s, err := client.Chat(context.Background(), call)
		c.Assert(err, qt.IsNil)
		for range 3 {
			_, err := s.Next()
			c.Assert(err, qt.IsNil)
			time.Sleep(time.Second)
		}
		fake.Inject(fakeengine.Fault{Kind: fakeengine.FaultFreeze})
		var start time.Time
		for err == nil {
			start = time.Now()
			_, err = s.Next()
		}
		checkFailure(c, err, ReasonBetweenTokensTimeout, verdict.MayHaveRun, true)
		c.Check(time.Since(start), qt.Equals, call.MaxTimeBetweenTokens)

		start = time.Now()
		_, err = client.Chat(context.Background(), call)
		checkFailure(c, err, ReasonFirstTokenTimeout, verdict.MayHaveRun, true)
		c.Check(time.Since(start), qt.Equals, call.MaxTimeToFirstToken)
		fake.Inject(fakeengine.Fault{Kind: fakeengine.FaultClear})
	})
}

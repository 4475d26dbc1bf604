package transport

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/hlc"
	controlv1 "auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/rpc/controlv1/controlv1connect"
)

type handler struct {
	controlv1connect.UnimplementedControlHandler
	calls atomic.Int64
	delay time.Duration
}

func (h *handler) Result(ctx context.Context, r *connect.Request[controlv1.ResultRequest]) (*connect.Response[controlv1.ChangeResponse], error) {
	h.calls.Add(1)
	select {
	case <-time.After(h.delay):
	case <-ctx.Done():
	}
	return connect.NewResponse(&controlv1.ChangeResponse{LeaderAddress: r.Msg.ChangeId}), nil
}

func serve(t *testing.T, h *handler, o ServerOptions) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	o.Listener = l
	s := NewServer(o)
	path, ch := controlv1connect.NewControlHandler(h, s.HandlerOptions())
	s.Handle(path, ch, AnyRole, map[string]Role{controlv1connect.ControlFeedProcedure: PeerRole, controlv1connect.ControlChangeProcedure: OperatorRole})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Start(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return l.Addr().String()
}

func client(t *testing.T, address string, o Options) controlv1connect.ControlClient {
	pool := NewPool(o)
	t.Cleanup(pool.Close)
	return controlv1connect.NewControlClient(pool.Peer(address).Client())
}

func call(ctx context.Context, c controlv1connect.ControlClient) error {
	_, err := c.Result(ctx, connect.NewRequest(&controlv1.ResultRequest{ChangeId: "x"}))
	return err
}

// Guards against calls that hang or fail because an open connection went
// silent while new connections work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	h := &handler{}
	f := newForwarder(t, serve(t, h, ServerOptions{}))
	c := client(t, f.Addr().String(), Options{Timeout: 400 * time.Millisecond})
	qt.Assert(t, call(context.Background(), c), qt.IsNil)
	f.silence(false)
	qt.Assert(t, call(Idempotent(context.Background()), c), qt.IsNil)
	qt.Assert(t, f.connections(), qt.Equals, 2)
	qt.Assert(t, h.calls.Load(), qt.Equals, int64(2))
}

// Guards against repeating a call that is not idempotent, and against calling
// a peer unreachable because of an old connection.
func TestCallThatMayNotBeRepeated(t *testing.T) {
	h := &handler{}
	f := newForwarder(t, serve(t, h, ServerOptions{}))
	c := client(t, f.Addr().String(), Options{Timeout: 300 * time.Millisecond})
	qt.Assert(t, call(context.Background(), c), qt.IsNil)
	f.silence(false)
	err := call(context.Background(), c)
	qt.Assert(t, connect.CodeOf(err), qt.Equals, connect.CodeDeadlineExceeded)
	qt.Assert(t, errors.Is(err, ErrUnreachable), qt.IsFalse)
	qt.Assert(t, f.connections(), qt.Equals, 1)
	qt.Assert(t, call(context.Background(), c), qt.IsNil)
	qt.Assert(t, f.connections(), qt.Equals, 2)
}

// Guards against a peer that is never reported although fresh connections fail.
func TestUnreachableAfterFreshConnection(t *testing.T) {
	f := newForwarder(t, serve(t, &handler{}, ServerOptions{}))
	c := client(t, f.Addr().String(), Options{Timeout: 300 * time.Millisecond})
	qt.Assert(t, call(context.Background(), c), qt.IsNil)
	f.silence(true)
	err := call(Idempotent(context.Background()), c)
	qt.Assert(t, errors.Is(err, ErrUnreachable), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, f.connections(), qt.Equals, 2)
}

// Guards against a silent idle connection that stays open until the next call.
func TestPingClosesSilentConnection(t *testing.T) {
	f := newForwarder(t, serve(t, &handler{}, ServerOptions{}))
	c := client(t, f.Addr().String(), Options{})
	qt.Assert(t, call(context.Background(), c), qt.IsNil)
	f.silence(false)
	time.Sleep(PingIdle + PingTimeout + 200*time.Millisecond)
	qt.Assert(t, call(context.Background(), c), qt.IsNil)
	qt.Assert(t, f.connections(), qt.Equals, 2)
}

// Guards against operators' calls with a peer's token and the reverse, and
// against refusing an old token during rotation.
func TestTokens(t *testing.T) {
	address := serve(t, &handler{}, ServerOptions{Tokens: Tokens{Peers: []string{"p1", "p2"}, Operators: []string{"o1"}}})
	for _, test := range []struct {
		name, token  string
		feed, change connect.Code
	}{
		{"old peer token", "p1", connect.CodeUnimplemented, connect.CodePermissionDenied},
		{"new peer token", "p2", connect.CodeUnimplemented, connect.CodePermissionDenied},
		{"operator token", "o1", connect.CodePermissionDenied, connect.CodeUnimplemented},
		{"unknown token", "x", connect.CodeUnauthenticated, connect.CodeUnauthenticated},
		{"no token", "", connect.CodeUnauthenticated, connect.CodeUnauthenticated},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := client(t, address, Options{Token: test.token})
			_, err := c.Feed(context.Background(), connect.NewRequest(&controlv1.FeedRequest{}))
			qt.Assert(t, connect.CodeOf(err), qt.Equals, test.feed)
			_, err = c.Change(context.Background(), connect.NewRequest(&controlv1.ChangeRequest{}))
			qt.Assert(t, connect.CodeOf(err), qt.Equals, test.change)
			qt.Assert(t, errors.Is(err, ErrUnreachable), qt.IsFalse)
		})
	}
}

// Guards against an open listener on the network without any authentication.
func TestValidateRefusesOpenListener(t *testing.T) {
	qt.Assert(t, NewServer(ServerOptions{Address: "10.0.0.1:7000"}).Validate(), qt.IsNotNil)
	qt.Assert(t, NewServer(ServerOptions{Address: "127.0.0.1:7000"}).Validate(), qt.IsNil)
}

// Guards against unbounded requests, lost clock headers and missing counters.
func TestLimitsClockAndCounters(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	serverClock := hlc.New(func() time.Time { return time.Now().Add(20 * time.Second) })
	address := serve(t, &handler{}, ServerOptions{MaxMessage: 1000, Clock: serverClock})
	clock := hlc.New(nil)
	c := client(t, address, Options{Clock: clock, Scope: scope})
	_, err := c.Result(context.Background(), connect.NewRequest(&controlv1.ResultRequest{ChangeId: strings.Repeat("x", 2000)}))
	qt.Assert(t, connect.CodeOf(err), qt.Equals, connect.CodeResourceExhausted, qt.Commentf("%v", err))
	qt.Assert(t, call(context.Background(), c), qt.IsNil)
	qt.Assert(t, clock.Now().Wall > time.Now().Add(10*time.Second).UnixMilli(), qt.IsTrue)
	var sent int64
	for _, counter := range scope.Snapshot().Counters() {
		if counter.Name() == "rpc_sent_bytes" {
			sent += counter.Value()
		}
	}
	qt.Assert(t, sent > 0, qt.IsTrue)
}

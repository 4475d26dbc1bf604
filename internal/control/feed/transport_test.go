package feed

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/rpc/controlv1/controlv1connect"
	"auburnstep.example/auburnstep/internal/rpc/transport"
)

// slowMember answers the first poll at once and the others after delay.
type slowMember struct {
	controlv1connect.UnimplementedControlHandler
	delay time.Duration
	polls atomic.Int64
}

func (s *slowMember) Feed(_ context.Context, _ *connect.Request[controlv1.FeedRequest]) (*connect.Response[controlv1.FeedResponse], error) {
	if s.polls.Add(1) > 1 {
		time.Sleep(s.delay)
	}
	return connect.NewResponse(&controlv1.FeedResponse{}), nil
}

// TestSlowMemberIsPolledTwice guards against polls that a member which is slow to answer gets
// again over a new connection.
func TestSlowMemberIsPolledTwice(t *testing.T) {
	const timeout = 4 * time.Second
	member := &slowMember{delay: timeout * 5 / 8}
	mux := http.NewServeMux()
	mux.Handle(controlv1connect.NewControlHandler(member))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	defer server.Close()
	pool := transport.NewPool(transport.Options{})
	defer pool.Close()
	client := NewMemberClient(pool)
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		_, err := client.Feed(ctx, server.Listener.Addr().String(), &controlv1.FeedRequest{})
		cancel()
		qt.Check(t, err, qt.IsNil)
	}
	qt.Assert(t, member.polls.Load(), qt.Equals, int64(2))
}

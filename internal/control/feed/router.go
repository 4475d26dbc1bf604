package feed

import (
	"context"
	"slices"
	"sync"

	"connectrpc.com/connect"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/rpc/controlv1/controlv1connect"
	"auburnstep.example/auburnstep/internal/rpc/transport"
)

// Caller calls one control member.
type Caller interface {
	Feed(ctx context.Context, address string, r *controlv1.FeedRequest) (*controlv1.FeedResponse, error)
	Booking(ctx context.Context, address string, r *controlv1.BookingRequest) (*controlv1.BookingResponse, error)
}

// NewCaller returns the caller over the connections of a pool.
func NewCaller(pool *transport.Pool) Caller { return rpcCaller{pool} }

type rpcCaller struct{ pool *transport.Pool }

// Feed implements Caller. Polls may be repeated: their answers count from the
// sending of the first.
func (c rpcCaller) Feed(ctx context.Context, address string, r *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
	resp, err := controlv1connect.NewControlClient(c.pool.Peer(address).Client()).Feed(transport.Idempotent(ctx), connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Booking implements Caller. All booking calls may be repeated: they carry the
// ID of their attempt.
func (c rpcCaller) Booking(ctx context.Context, address string, r *controlv1.BookingRequest) (*controlv1.BookingResponse, error) {
	resp, err := controlv1connect.NewControlClient(c.pool.Peer(address).Client()).Booking(transport.Idempotent(ctx), connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// router chooses the member to call next. It is safe for concurrent use.
type router struct {
	mu      sync.Mutex
	seeds   []string
	members []string
	leader  string
	next    int
}

func newRouter(seeds []string) *router { return &router{seeds: slices.Clone(seeds)} }

// pick returns the leader, or the members in turn while none is known.
func (r *router) pick() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leader != "" {
		return r.leader
	}
	all := r.members
	for _, s := range r.seeds {
		if !slices.Contains(all, s) {
			all = append(all[:len(all):len(all)], s)
		}
	}
	if len(all) == 0 {
		return ""
	}
	r.next++
	return all[r.next%len(all)]
}

// size returns how many different addresses pick can return.
func (r *router) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(1, len(r.seeds)+len(r.members))
}

// failed forgets the leader if it was the one that failed.
func (r *router) failed(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leader == address {
		r.leader = ""
	}
}

// redirected notes that from does not lead and names the leader.
func (r *router) redirected(from, leader string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from != leader {
		r.leader = leader
	}
}

// answered notes that the address leads.
func (r *router) answered(address string, members []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leader = address
	if len(members) > 0 {
		r.members = slices.Clone(members)
	}
}

package feed

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

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
	mu sync.Mutex
	// key spreads callers over the members that any of them may ask; "" for
	// calls that only the leader answers.
	key     string
	seeds   []string
	members []string
	leader  string
	next    int
}

func newRouter(seeds []string) *router { return &router{seeds: slices.Clone(seeds)} }

// pick returns the member that answered last, or the members in turn while there
// is none: with a key in the order of their rendezvous weight.
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
	if r.key != "" {
		all = slices.Clone(all)
		slices.SortFunc(all, func(a, b string) int {
			return cmp.Or(cmp.Compare(r.weight(b), r.weight(a)), cmp.Compare(a, b))
		})
	}
	r.next++
	return all[(r.next-1)%len(all)]
}

// spread sets the key.
func (r *router) spread(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.key = key
}

func (r *router) weight(address string) uint64 { return xxhash.Sum64String(r.key + "\x00" + address) }

// learn adds members that were heard of elsewhere.
func (r *router) learn(members []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(members) > 0 {
		r.members = members
	}
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

// answered notes that the address answers. The next search for a member begins
// with the first choice again.
func (r *router) answered(address string, members []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leader, r.next = address, 0
	if len(members) > 0 {
		r.members = slices.Clone(members)
	}
}

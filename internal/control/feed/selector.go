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

// MemberClient sends requests to a control member at a given address.
type MemberClient interface {
	Feed(ctx context.Context, address string, r *controlv1.FeedRequest) (*controlv1.FeedResponse, error)
	Booking(ctx context.Context, address string, r *controlv1.BookingRequest) (*controlv1.BookingResponse, error)
}

// NewMemberClient returns a MemberClient that uses the connections of pool.
func NewMemberClient(pool *transport.Pool) MemberClient { return rpcClient{pool} }

type rpcClient struct{ pool *transport.Pool }

// Feed implements MemberClient. The transport does not repeat the call, although it could:
// polls of other members and the next round do.
func (c rpcClient) Feed(ctx context.Context, address string, r *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
	resp, err := controlv1connect.NewControlClient(c.pool.Peer(address).Client()).Feed(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Booking implements MemberClient. The call is idempotent, because each request carries
// the ID of its attempt.
func (c rpcClient) Booking(ctx context.Context, address string, r *controlv1.BookingRequest) (*controlv1.BookingResponse, error) {
	resp, err := controlv1connect.NewControlClient(c.pool.Peer(address).Client()).Booking(transport.MarkIdempotent(ctx), connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// selector chooses the control member that receives the next request.
type selector struct {
	mu sync.Mutex
	// key is the rendezvous key that spreads instances over the members, for calls
	// that any member can serve. It is empty for calls that only the leader serves.
	key     string
	seeds   []string
	members []string
	// target is the member that responded last or the leader that a redirect named,
	// or empty if neither is known.
	target string
	next   int
	// awayPolls counts the successive responses of members other than the first choice,
	// and returnAfter is their number after which the first choice is tried again.
	awayPolls, returnAfter int
}

const (
	// minReturnAfter and maxReturnAfter bound the responses of another member after
	// which a selector with a key tries its first choice again. The number doubles with
	// each try that fails, so that a lost member costs few polls.
	minReturnAfter = 1
	maxReturnAfter = 64
)

func newSelector(seeds []string) *selector { return &selector{seeds: slices.Clone(seeds)} }

// pick returns the target member. While there is none, successive calls cycle through
// the members and seeds, ordered by their rendezvous weight if the selector has a key.
func (r *selector) pick() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.target != "" {
		return r.target
	}
	all := r.candidates()
	if len(all) == 0 {
		return ""
	}
	r.next++
	return all[(r.next-1)%len(all)]
}

// pickUnless returns the target unless excluded reports it, and otherwise the first address
// in the order of pick that excluded does not report, or "".
func (r *selector) pickUnless(excluded func(address string) bool) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.target != "" && !excluded(r.target) {
		return r.target
	}
	all := r.candidates()
	for range all {
		r.next++
		if address := all[(r.next-1)%len(all)]; !excluded(address) {
			return address
		}
	}
	return ""
}

// hasUnpolled reports whether there is an address that polled does not report.
func (r *selector) hasUnpolled(polled func(address string) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.candidates(), func(a string) bool { return !polled(a) })
}

// candidates returns the members and seeds in the order in which pick tries them. The
// caller holds mu.
func (r *selector) candidates() []string {
	all := r.members
	for _, s := range r.seeds {
		if !slices.Contains(all, s) {
			all = append(all[:len(all):len(all)], s)
		}
	}
	if r.key != "" {
		all = slices.Clone(all)
		slices.SortFunc(all, func(a, b string) int {
			return cmp.Or(cmp.Compare(r.rendezvousWeight(b), r.rendezvousWeight(a)), cmp.Compare(a, b))
		})
	}
	return all
}

// setKey sets the key of the rendezvous order, which spreads instances over the
// members.
func (r *selector) setKey(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.key = key
}

func (r *selector) rendezvousWeight(address string) uint64 {
	return xxhash.Sum64String(r.key + "\x00" + address)
}

// setSeeds replaces the seeds.
func (r *selector) setSeeds(seeds []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeds = slices.Clone(seeds)
}

// setMembers replaces the known members, unless the new list is empty.
func (r *selector) setMembers(members []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(members) > 0 {
		r.members = members
	}
}

// recordFailure stops using address if it is the target.
func (r *selector) recordFailure(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.target == address {
		r.target = ""
	}
}

// recordRedirect makes target, the leader that the member from named, the next
// member to call. target is empty if from named none.
func (r *selector) recordRedirect(from, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from != target {
		r.target = target
	}
}

// recordSuccess makes address the target and stores the members that its response
// listed. The next search for a member starts with the first choice again.
func (r *selector) recordSuccess(address string, members []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target, r.next = address, 0
	if len(members) > 0 {
		r.members = slices.Clone(members)
	}
	if r.key != "" {
		r.returnToFirstChoice()
	}
}

// returnToFirstChoice gives up a target that is not the first choice after a number of
// its responses. Without it, instances that searched while members had no leader would
// all stay with the member that answered first. The caller holds mu.
func (r *selector) returnToFirstChoice() {
	if all := r.candidates(); len(all) == 0 || r.target == all[0] {
		r.awayPolls, r.returnAfter = 0, 0
		return
	}
	if r.awayPolls++; r.awayPolls < max(minReturnAfter, r.returnAfter) {
		return
	}
	r.returnAfter = min(maxReturnAfter, 2*max(minReturnAfter, r.returnAfter))
	r.target, r.awayPolls = "", 0
}

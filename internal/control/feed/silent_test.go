package feed

import (
	"context"
	"errors"
	"fmt"
	"math/bits"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

const (
	// tableApplyTime is the time within which an instance must have a new table.
	tableApplyTime = 2 * time.Second
	// responseTime is how long a member takes to answer.
	responseTime = 30 * time.Millisecond
	// silentMemberCost is the time that a round of polls may lose for each silent member; see
	// docs/design.md, section 6.10.
	silentMemberCost = 150 * time.Millisecond
	// longestPause is the longest time between two rounds.
	longestPause = PollInterval * 6 / 5
)

// cluster is a MemberClient of members that share one routing table.
type cluster struct {
	mu      sync.Mutex
	names   []string
	version uint64
	silent  map[string]bool
	// respond replaces the response of a member, if it is set.
	respond func(address string, r *controlv1.FeedRequest) (*controlv1.FeedResponse, error)
	// polled lists the addresses of all polls, and pending is the number of those that
	// have not ended.
	polled  []string
	pending int
}

func newCluster(n int) *cluster {
	c := &cluster{version: 1, silent: make(map[string]bool)}
	for i := range n {
		c.names = append(c.names, fmt.Sprint("m", i))
	}
	return c
}

// tableDocument returns a routing table with the given version.
func tableDocument(version uint64) []byte {
	return fmt.Appendf(nil, `{"Version": %d}`, version)
}

// Feed implements MemberClient.
func (c *cluster) Feed(ctx context.Context, address string, r *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
	c.mu.Lock()
	c.polled = append(c.polled, address)
	c.pending++
	respond, silent := c.respond, c.silent[address]
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.pending--
	}()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if respond != nil {
		return respond(address, r)
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(responseTime):
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.response(r), nil
}

// response returns the response of a member that has a leader. The caller holds mu.
func (c *cluster) response(r *controlv1.FeedRequest) *controlv1.FeedResponse {
	out := &controlv1.FeedResponse{FreshForMs: uint32(FreshFor.Milliseconds()), Members: c.names}
	if r.RoutingVersion < c.version {
		out.Routing = &controlv1.RoutingTable{Version: c.version, Document: tableDocument(c.version)}
	}
	return out
}

func (c *cluster) Booking(context.Context, string, *controlv1.BookingRequest) (*controlv1.BookingResponse, error) {
	return nil, errors.New("no bookings")
}

func (c *cluster) set(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

func newClusterClient(c *cluster) *Client {
	return NewClient(Options{Members: c.names, MemberClient: c, Clock: time.Now, Self: func() *controlv1.EntryInfo { return &controlv1.EntryInfo{Instance: "e0"} }})
}

// TestSilentMembersDelayTable guards against an instance that waits so long for members
// that do not answer that it uses an old routing table: any minority of the members falls
// silent at the moment at which a table is acknowledged.
func TestSilentMembersDelayTable(t *testing.T) {
	for _, n := range []int{3, 5, 7} {
		for set := range uint(1) << n {
			if bits.OnesCount(set) != (n-1)/2 {
				continue
			}
			t.Run(fmt.Sprintf("members=%d/silent=%0*b", n, n, set), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testSilentMembers(t, n, set) })
			})
		}
	}
}

func testSilentMembers(t *testing.T, n int, set uint) {
	members := newCluster(n)
	c := newClusterClient(members)
	defer startClient(c)()
	time.Sleep(time.Second)
	for phase := range 6 {
		members.set(func() {
			for i, name := range members.names {
				members.silent[name] = set>>i&1 == 1
			}
			members.version++
		})
		time.Sleep(longestPause + time.Duration((n-1)/2)*silentMemberCost + responseTime)
		synctest.Wait()
		qt.Check(t, c.View().RoutingVersion(), qt.Equals, members.version, qt.Commentf("phase %d", phase))
		time.Sleep(tableApplyTime)
		members.set(func() { clear(members.silent) })
		// Not a multiple of the poll interval, so that the members fall silent in all
		// phases of a poll.
		time.Sleep(10*time.Second + time.Duration(phase)*50*time.Millisecond)
	}
}

// TestSilentMembersDelayFirstTable guards against an instance that starts beside silent
// members and waits for each of them as long as a transfer of the whole settings may take.
func TestSilentMembersDelayFirstTable(t *testing.T) {
	for _, n := range []int{3, 5, 7} {
		synctest.Test(t, func(t *testing.T) {
			members := newCluster(n)
			c := newClusterClient(members)
			c.selector.setKey("e0")
			for _, name := range c.selector.candidates()[:(n-1)/2] {
				members.silent[name] = true
			}
			defer startClient(c)()
			time.Sleep(tableApplyTime)
			qt.Check(t, c.View().RoutingVersion(), qt.Equals, uint64(1), qt.Commentf("%d members", n))
		})
	}
}

// TestMemberWithoutLeaderDelaysTable guards against an instance that waits for a silent
// member while the others, which had no leader when they were asked, have one again.
func TestMemberWithoutLeaderDelaysTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := newCluster(3)
		c := newClusterClient(members)
		defer startClient(c)()
		time.Sleep(time.Second)
		began := time.Now()
		members.set(func() {
			members.silent[c.selector.pick()] = true
			members.version++
			members.respond = func(_ string, r *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
				if time.Since(began) < time.Second {
					return nil, errors.New("this member is not the leader")
				}
				members.mu.Lock()
				defer members.mu.Unlock()
				return members.response(r), nil
			}
		})
		time.Sleep(tableApplyTime)
		qt.Check(t, c.View().RoutingVersion(), qt.Equals, members.version)
	})
}

// TestFailingMembersAreNotFlooded guards against rounds that ask members which fail at
// once again and again.
func TestFailingMembersAreNotFlooded(t *testing.T) {
	for _, silent := range []string{"", "m1"} {
		synctest.Test(t, func(t *testing.T) {
			members := newCluster(3)
			members.silent[silent] = true
			members.respond = func(string, *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
				return nil, errors.New("this member is not the leader")
			}
			c := newClusterClient(members)
			stop := startClient(c)
			const duration = 20 * time.Second
			time.Sleep(duration)
			stop()
			// One round per interval, in which each member is asked once.
			qt.Check(t, len(members.polled) <= 3*int(duration/(PollInterval*4/5)+1), qt.IsTrue, qt.Commentf("%d polls", len(members.polled)))
			qt.Check(t, len(members.polled) > int(duration/time.Second), qt.IsTrue, qt.Commentf("%d polls", len(members.polled)))
		})
	}
}

// TestPollsEndWithRound guards against polls that are left behind when another member has
// answered.
func TestPollsEndWithRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := newCluster(7)
		c := newClusterClient(members)
		stop := startClient(c)
		time.Sleep(time.Second)
		first := c.selector.pick()
		members.set(func() { members.silent[first] = true })
		time.Sleep(10 * time.Second)
		members.set(func() { qt.Check(t, members.pending <= 2, qt.IsTrue, qt.Commentf("%d polls", members.pending)) })
		qt.Check(t, c.Fresh(), qt.IsTrue)
		stop()
		synctest.Wait()
		qt.Check(t, members.pending, qt.Equals, 0)
	})
}

// TestRedirectCarriesTable guards against an instance that ignores the table of a member
// without a leader, returns to an older table, or takes such a response for a confirmation.
func TestRedirectCarriesTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := newCluster(3)
		c := newClusterClient(members)
		defer startClient(c)()
		time.Sleep(time.Second)
		redirect := func(version uint64) {
			members.set(func() {
				members.respond = func(string, *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
					return &controlv1.FeedResponse{Routing: &controlv1.RoutingTable{Version: version, Document: tableDocument(version)}}, nil
				}
			})
		}
		confirmedAt := c.View().ConfirmedAt
		changed := c.Changed()
		redirect(7)
		time.Sleep(time.Second)
		before := c.View()
		qt.Check(t, before.RoutingVersion(), qt.Equals, uint64(7))
		qt.Check(t, before.ConfirmedAt.Sub(confirmedAt) < 400*time.Millisecond, qt.IsTrue)
		select {
		case <-changed:
		default:
			t.Error("the change of the table is not announced")
		}
		redirect(6)
		time.Sleep(5 * time.Second)
		qt.Check(t, c.View().RoutingVersion(), qt.Equals, uint64(7))
		qt.Check(t, c.View().ConfirmedAt, qt.Equals, before.ConfirmedAt)
		qt.Check(t, c.Fresh(), qt.IsFalse)
	})
}

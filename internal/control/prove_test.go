package control

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/consensus"
	"auburnstep.example/auburnstep/internal/control/feed"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// fakeLeaderNetwork responds to proof requests like a leader, after a delay.
type fakeLeaderNetwork struct {
	Network
	mu             sync.Mutex
	proof          *controlv1.ProveResponse
	requestedPolls [][]*controlv1.FeedRequest
}

func (l *fakeLeaderNetwork) Prove(ctx context.Context, _ string, r *controlv1.ProveRequest) (*controlv1.ProveResponse, error) {
	l.mu.Lock()
	l.requestedPolls = append(l.requestedPolls, r.Polls)
	p := &controlv1.ProveResponse{Index: l.proof.Index, Revoking: l.proof.Revoking, Resign: l.proof.Resign}
	l.mu.Unlock()
	return p, kernel.Sleep(ctx, 40*time.Millisecond)
}

// TestFollowerRespondsWithProof guards against a follower that responds from an
// older state than that of the leader, renews the lease of a holder whose group
// is being revoked, names a holder that was assigned after the proof, or
// responds to a poll with a proof that was requested before the poll arrived.
func TestFollowerRespondsWithProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &fakeLeaderNetwork{proof: &controlv1.ProveResponse{Index: 5}}
		m := NewMember(Options{Network: network})
		m.status.Store(&consensus.Status{ID: 1, Leader: 2})
		m.peers.recordAddress(2, "m2")
		apply := func(index uint64, c *controlv1.Command) {
			m.state.Apply(index, c)
			m.applied.Store(index)
		}
		assign := func(index uint64, holder string) {
			apply(index, &controlv1.Command{Command: &controlv1.Command_Assign{Assign: &controlv1.AssignGroup{Group: "s/0", Instance: holder}}})
		}
		for i, op := range []*controlv1.Operation{put("/s", "service"), set("/s", "kind", "plain")} {
			apply(uint64(i+1), &controlv1.Command{Command: &controlv1.Command_Change{Change: request(op.String(), uint64(i), op).Change}})
		}
		assign(4, "a")
		poll := func() (*controlv1.FeedResponse, error) { return m.Feed(context.Background(), pollOf("a", 1)) }
		_, err := poll()
		qt.Assert(t, err, qt.IsNotNil) // Entry 5 is not applied.
		apply(5, nil)
		r, err := poll()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Assignments, qt.HasLen, 1)
		qt.Assert(t, r.FreshForMs, qt.Equals, uint32(feed.FreshFor.Milliseconds()))
		network.proof.Revoking = []*controlv1.Assignment{{Group: "s/0", Epoch: 1}}
		network.proof.Resign = []*controlv1.Assignment{{Group: "s/0", Instance: "b", Epoch: 1}}
		r, err = poll()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Assignments, qt.HasLen, 0)
		qt.Assert(t, r.Resign, qt.HasLen, 0)
		network.proof.Revoking = nil
		assign(6, "b")
		r, err = poll()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Assignments, qt.HasLen, 0)

		network.requestedPolls = nil
		var polls sync.WaitGroup
		for _, at := range []time.Duration{0, 10, 49, 60, 80} { // The first proof request is in flight from 50 to 90 ms.
			polls.Go(func() {
				time.Sleep(at * time.Millisecond)
				_, err := poll()
				qt.Check(t, err, qt.IsNil)
			})
		}
		polls.Wait()
		qt.Assert(t, network.requestedPolls, qt.HasLen, 2)
		qt.Assert(t, network.requestedPolls[0], qt.HasLen, 3)
		qt.Assert(t, network.requestedPolls[1], qt.HasLen, 2)

		// The assignments of a restored snapshot may be later than the proof.
		qt.Assert(t, m.restore(&consensus.Snapshot{Index: 6, Data: m.state.Snapshot()}), qt.IsNil)
		_, err = poll()
		qt.Assert(t, err, qt.IsNotNil)
		network.proof.Index = 6
		r, err = poll()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Assignments, qt.HasLen, 1)
	})
}

// TestPollsSpreadOverMembers guards against instances that all poll the leader,
// and against proofs from a member that does not hold the lease.
func TestPollsSpreadOverMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 17, 3)
		defer c.stop()
		var all []*feed.Client
		for _, name := range []string{"e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"} {
			f, end := c.feed(name, nil)
			defer end()
			all = append(all, f)
		}
		accept(c, "c1", 0, put("/services", "group"))
		c.waitFor("all entries in all views", func() bool {
			for _, f := range all {
				if v := f.View(); v.Version != 1 || !v.Fresh(time.Now()) || len(v.Entries) != len(all) {
					return false
				}
			}
			return true
		})
		follower := c.member(c.names[0])
		if c.leader() == c.names[0] {
			follower = c.member(c.names[1])
		}
		_, err := follower.Prove(&controlv1.ProveRequest{})
		qt.Assert(t, err, qt.IsNotNil)
		c.net.mu.Lock()
		defer c.net.mu.Unlock()
		for name, n := range c.net.polls {
			t.Logf("%s responded to %d polls", name, n)
			qt.Check(t, n > 0, qt.IsTrue)
		}
		qt.Assert(t, c.net.polls, qt.HasLen, 3)
	})
}

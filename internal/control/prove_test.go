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

// proofLink answers for a leader, after a delay.
type proofLink struct {
	Network
	mu    sync.Mutex
	proof *controlv1.ProveResponse
	asked [][]*controlv1.FeedRequest
}

func (l *proofLink) Prove(ctx context.Context, _ string, r *controlv1.ProveRequest) (*controlv1.ProveResponse, error) {
	l.mu.Lock()
	l.asked = append(l.asked, r.Polls)
	p := &controlv1.ProveResponse{Index: l.proof.Index, Revoking: l.proof.Revoking, Resign: l.proof.Resign}
	l.mu.Unlock()
	return p, kernel.Sleep(ctx, 40*time.Millisecond)
}

// Guards against a follower that answers from an older state than the leader's,
// renews a holder that is being revoked, names a group that was assigned after
// the proof, or answers a poll by a proof that was asked for before it came.
func TestFollowerAnswersByProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := &proofLink{proof: &controlv1.ProveResponse{Index: 5}}
		m := NewMember(Options{Network: link})
		m.status.Store(&consensus.Status{ID: 1, Leader: 2})
		m.peers.learn(2, "m2")
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
		ask := func() (*controlv1.FeedResponse, error) { return m.Feed(context.Background(), pollOf("a", 1)) }
		_, err := ask()
		qt.Assert(t, err, qt.IsNotNil) // Entry 5 is not applied.
		apply(5, nil)
		r, err := ask()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Assignments, qt.HasLen, 1)
		qt.Assert(t, r.FreshForMs, qt.Equals, uint32(feed.FreshFor.Milliseconds()))
		link.proof.Revoking = []*controlv1.Assignment{{Group: "s/0", Epoch: 1}}
		link.proof.Resign = []*controlv1.Assignment{{Group: "s/0", Instance: "b", Epoch: 1}}
		r, err = ask()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Assignments, qt.HasLen, 0)
		qt.Assert(t, r.Resign, qt.HasLen, 0)
		link.proof.Revoking = nil
		assign(6, "b")
		r, err = ask()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Assignments, qt.HasLen, 0)

		link.asked = nil
		var polls sync.WaitGroup
		for _, at := range []time.Duration{0, 10, 49, 60, 80} { // The first proof is under way from 50 to 90 ms.
			polls.Go(func() {
				time.Sleep(at * time.Millisecond)
				_, err := ask()
				qt.Check(t, err, qt.IsNil)
			})
		}
		polls.Wait()
		qt.Assert(t, link.asked, qt.HasLen, 2)
		qt.Assert(t, link.asked[0], qt.HasLen, 3)
		qt.Assert(t, link.asked[1], qt.HasLen, 2)

		// What a restored snapshot holds may have been assigned after the proof.
		qt.Assert(t, m.restore(&consensus.Snapshot{Index: 6, Data: m.state.Snapshot()}), qt.IsNil)
		_, err = ask()
		qt.Assert(t, err, qt.IsNotNil)
		link.proof.Index = 6
		r, err = ask()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Assignments, qt.HasLen, 1)
	})
}

// Guards against instances that all poll the leader, and against proofs that a
// leader gives without its lease.
func TestPollsAreSpread(t *testing.T) {
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
			t.Logf("%s answered %d polls", name, n)
			qt.Check(t, n > 0, qt.IsTrue)
		}
		qt.Assert(t, c.net.polls, qt.HasLen, 3)
	})
}

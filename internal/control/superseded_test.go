package control

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/consensus"
	"auburnstep.example/auburnstep/internal/control/state"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// TestChangeAfterSupersededChange guards against a leader that refuses all settings changes
// after an earlier one of its own was replaced in the log: the next change waits for its
// outcome, which was not decided as long as the log did not reach its index again.
func TestChangeAfterSupersededChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 51, 3)
		defer c.stop()
		accept(c, "c1", 0, put("/services", "group"))
		first := c.leader()
		m := c.member(first)
		c.isolate(first, true)
		lost := make(chan error, 1)
		go func() {
			for i := range 5 {
				go func() {
					_, _ = m.propose(context.Background(), &controlv1.Command{Command: &controlv1.Command_Member{Member: &controlv1.MemberAddress{Id: uint64(i + 1), Address: fmt.Sprint(i), Instance: fmt.Sprint(i)}}})
				}()
			}
			time.Sleep(20 * time.Millisecond)
			_, err := m.Change(context.Background(), request("lost", 1, put("/lost", "group")))
			lost <- err
		}()
		c.waitFor("another leader", func() bool { return c.leader() != first })
		c.isolate(first, false)
		qt.Assert(t, <-lost, qt.IsNotNil)
		c.waitFor("the first leader to lead again", func() bool {
			leader := c.member(c.leader())
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if leader != m {
				_ = leader.do(ctx, func(n *consensus.Node) error { return n.TransferLeadership(c.id(first)) })
				time.Sleep(100 * time.Millisecond)
			}
			return c.leader() == first
		})
		accept(c, "c2", 1, put("/customers", "group"))
	})
}

// TestSupersededWaiters guards against a waiter that stays after its entry was replaced, and
// against one that is told so although its entry may still be committed.
func TestSupersededWaiters(t *testing.T) {
	m := NewMember(Options{})
	results := make(map[uint64]error)
	for index, term := range map[uint64]uint64{5: 2, 6: 2, 9: 2, 10: 3, 11: 4} {
		m.waiters.add(index, waiter{term, func(_ state.Result, err error) { results[index] = err }})
	}
	qt.Assert(t, m.applyEntry(consensus.Entry{Index: 5, Term: 2, Kind: consensus.EntryNoop}), qt.IsNil)
	qt.Check(t, results, qt.DeepEquals, map[uint64]error{5: nil})
	qt.Assert(t, m.applyEntry(consensus.Entry{Index: 6, Term: 3, Kind: consensus.EntryNoop}), qt.IsNil)
	qt.Check(t, errors.Is(results[6], ErrSuperseded) && errors.Is(results[9], ErrSuperseded), qt.IsTrue)
	qt.Check(t, results, qt.HasLen, 3)
}

package wal_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/consensus"
	"auburnstep.example/auburnstep/internal/wal"
)

// TestInterruptedClear guards against a directory that Clear has emptied in part and that
// Open then refuses for good. Clear fails at any of its changes, or the machine loses
// power there.
func TestInterruptedClear(t *testing.T) {
	for _, powerLoss := range []bool{false, true} {
		for n := 0; ; n++ {
			c := qt.New(t)
			m, log := newFilledLog(c)
			former := log.Identity()
			c.Assert(log.Close(), qt.IsNil)
			m.changesLeft = n
			cleared := wal.Clear(dir, m)
			if powerLoss {
				m.crash(func(unsynced int) int { return unsynced * (n % 2) })
			} else {
				m.restart()
			}
			comment := qt.Commentf("change %d fails, power loss %v, Clear: %v", n, powerLoss, cleared)
			log, r, err := open(m)
			c.Assert(err, qt.IsNil, comment)
			c.Check(r.Empty, qt.Equals, r.Identity != former, comment)
			c.Assert(log.Save(&consensus.HardState{Term: 9}, nil), qt.IsNil, comment)
			c.Assert(log.Close(), qt.IsNil)
			log, r, err = open(m)
			c.Assert(err, qt.IsNil, comment)
			c.Check(r.HardState.Term, qt.Equals, uint64(9), comment)
			c.Assert(log.Close(), qt.IsNil)
			if cleared == nil {
				c.Check(r.Identity, qt.Not(qt.Equals), former)
				break
			}
		}
	}
}

// TestDiskFullAtAnyChange guards against a log that cannot be opened, or has lost what was
// saved, after the disk was full from any change of the file system on, for any number of
// attempts to open the log, and with a part of the last write done or not.
func TestDiskFullAtAnyChange(t *testing.T) {
	for _, short := range []int{0, 7, 1 << 20} {
		for n := 0; ; n++ {
			c := qt.New(t)
			m := newMemFS()
			m.changesLeft, m.shortBytes = n, short
			saved, reopened := uint64(0), 0
			for saved < 30 {
				log, r, err := open(m)
				if err == nil {
					c.Assert(r.Snapshot.Index+uint64(len(r.Entries)) >= saved, qt.IsTrue, qt.Commentf("change %d: %d of %d entries", n, len(r.Entries), saved))
					saved, err = fill(log, r)
					c.Assert(log.Close(), qt.IsNil)
				}
				if err == nil {
					break
				}
				c.Assert(err, qt.ErrorIs, errNoSpace, qt.Commentf("change %d", n))
				c.Assert(reopened < 5, qt.IsTrue, qt.Commentf("change %d: %v", n, err))
				if reopened++; reopened > n%3 {
					m.changesLeft = -1 // The disk has room again.
				}
			}
			if reopened == 0 {
				break // The whole run has fewer changes than n.
			}
		}
	}
}

// fill saves entries up to index 30, with a snapshot from time to time. It returns the last
// index that was saved.
func fill(log *wal.Log, r wal.Restored) (uint64, error) {
	saved := r.Snapshot.Index + uint64(len(r.Entries))
	for saved < 30 {
		next := saved + 1
		term := max(1, r.HardState.Term)
		hs := consensus.HardState{Term: term, Commit: saved}
		if err := log.Save(&hs, entries(next, next, term)); err != nil {
			return saved, err
		}
		if saved = next; saved%10 == 0 && saved > r.Snapshot.Index {
			if err := log.SaveSnapshot(snapshot(saved, term)); err != nil {
				return saved, fmt.Errorf("snapshot: %w", err)
			}
		}
	}
	return saved, nil
}

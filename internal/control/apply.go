package control

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/consensus"
	"auburnstep.example/auburnstep/internal/control/state"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// applyItem is work for the apply loop: a snapshot from the leader, committed entries, or
// the request to copy the state for a snapshot.
type applyItem struct {
	snapshot *consensus.Snapshot
	entries  []consensus.Entry
	freeze   bool
}

// stateSnapshot is the encoded state after the entry with the given index.
type stateSnapshot struct {
	index uint64
	data  []byte
}

// waiter is a proposal that waits until its entry is applied. The entry was
// appended in the given term.
type waiter struct {
	term     uint64
	complete func(state.Result, error)
}

// waiters holds the waiters by the index of their entry.
type waiters struct {
	mu      sync.Mutex
	byIndex map[uint64]waiter
	// appliedTerm is the term of the last applied entry.
	appliedTerm uint64
}

// add registers the waiter of an entry. An earlier waiter at the same index fails
// with ErrOutcomeUnknown: its entry was replaced in the log of this member, but may
// still be in the log of another member that becomes leader.
func (w *waiters) add(index uint64, added waiter) {
	w.mu.Lock()
	old, ok := w.byIndex[index]
	w.byIndex[index] = added
	w.mu.Unlock()
	if ok {
		old.complete(state.Result{}, ErrOutcomeUnknown)
	}
}

// remove removes and returns the waiter of an entry.
func (w *waiters) remove(index uint64) (waiter, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	found, ok := w.byIndex[index]
	delete(w.byIndex, index)
	return found, ok
}

// failUpTo fails the waiters up to and including the given index, whose entries
// were replaced by a snapshot.
func (w *waiters) failUpTo(index uint64, err error) {
	w.failIf(err, func(i uint64, _ waiter) bool { return i <= index })
}

// failSuperseded fails the waiters of earlier terms than that of an entry that is about to
// be applied. No log that has this entry can have theirs after it, and every later leader
// has this entry. Without this, such a waiter would stay until the log reaches its index
// again, and what waits for its outcome with it.
func (w *waiters) failSuperseded(term uint64) {
	w.mu.Lock()
	known := term <= w.appliedTerm
	w.appliedTerm = max(w.appliedTerm, term)
	w.mu.Unlock()
	if !known {
		w.failIf(ErrSuperseded, func(_ uint64, pending waiter) bool { return pending.term < term })
	}
}

// failIf fails the waiters for which the condition holds.
func (w *waiters) failIf(err error, condition func(index uint64, pending waiter) bool) {
	w.mu.Lock()
	var failed []waiter
	for i, pending := range w.byIndex {
		if condition(i, pending) {
			failed = append(failed, pending)
			delete(w.byIndex, i)
		}
	}
	w.mu.Unlock()
	for _, f := range failed {
		f.complete(state.Result{}, err)
	}
}

// failAll fails all waiters. No log reaches the index 1<<63.
func (w *waiters) failAll(err error) { w.failUpTo(1<<63, err) }

// applyLoop applies committed entries in order, and copies the state for snapshots.
func (m *Member) applyLoop(ctx context.Context) error {
	for {
		item, err := m.applies.Pop(ctx)
		if err != nil {
			return nil
		}
		if item.snapshot != nil {
			if err := m.restore(item.snapshot); err != nil {
				return err
			}
		}
		for _, e := range item.entries {
			if err := m.applyEntry(e); err != nil {
				return err
			}
		}
		if item.freeze {
			m.freeze(ctx)
		}
	}
}

// restore replaces the state by a snapshot from the leader.
func (m *Member) restore(s *consensus.Snapshot) error {
	restored := state.New()
	if len(s.Data) > 0 {
		var err error
		if restored, err = state.Restore(s.Data); err != nil {
			return m.reportCorruption(err)
		}
	}
	m.mu.Lock()
	m.state = restored
	m.mu.Unlock()
	m.applied.Store(s.Index)
	m.incomingSnapshot.discardUpTo(s.Index)
	m.waiters.failUpTo(s.Index, ErrOutcomeUnknown)
	return nil
}

// applyEntry applies a committed entry and reports the result to its waiter. If the
// entry was appended in another term than the waiter's, it took the place of the
// proposal.
func (m *Member) applyEntry(e consensus.Entry) error {
	var cmd *controlv1.Command
	if e.Kind == consensus.EntryNormal {
		cmd = &controlv1.Command{}
		if err := proto.Unmarshal(e.Data, cmd); err != nil {
			return m.reportCorruption(err)
		}
	}
	m.mu.Lock()
	result := m.state.Apply(e.Index, cmd)
	m.mu.Unlock()
	m.applied.Store(e.Index)
	m.waiters.failSuperseded(e.Term)
	if w, ok := m.waiters.remove(e.Index); ok {
		if w.term == e.Term {
			w.complete(result, nil)
		} else {
			w.complete(state.Result{}, ErrSuperseded)
		}
	}
	return nil
}

// freeze passes a copy of the state to snapshotLoop. It does not lock m.mu, so
// readers are not blocked: it runs in the apply loop, the only goroutine that
// writes the state. The consensus loop requests one copy at a time.
func (m *Member) freeze(ctx context.Context) {
	start := time.Now()
	_ = m.frozen.Push(ctx, m.state.Freeze())
	m.metrics.freeze.Record(time.Since(start))
}

// snapshotLoop encodes copies of the state. Encoding takes much longer than
// copying, so it runs apart from the apply loop, which continues meanwhile.
func (m *Member) snapshotLoop(ctx context.Context) error {
	for {
		f, err := m.frozen.Pop(ctx)
		if err != nil {
			return nil
		}
		start := time.Now()
		data := f.Snapshot()
		m.metrics.snapshot.Record(time.Since(start))
		if m.snapshots.Push(ctx, stateSnapshot{f.Index(), data}) == nil {
			m.signal()
		}
	}
}

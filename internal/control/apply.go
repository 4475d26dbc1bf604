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

// applyItem is either a snapshot from the leader or committed entries.
type applyItem struct {
	snapshot *consensus.Snapshot
	entries  []consensus.Entry
}

// stateSnapshot is the state after the entry index.
type stateSnapshot struct {
	index uint64
	data  []byte
}

// waiter waits for the entry it proposed in a term.
type waiter struct {
	term   uint64
	answer func(state.Result, error)
}

// waiters finds the waiter of an applied entry.
type waiters struct {
	mu      sync.Mutex
	byIndex map[uint64]waiter
}

// add registers the waiter of an entry. A waiter of an earlier term at the same
// index learns nothing more: its entry is gone here, but may still be in the log
// of another member that becomes leader.
func (w *waiters) add(index uint64, next waiter) {
	w.mu.Lock()
	old, ok := w.byIndex[index]
	w.byIndex[index] = next
	w.mu.Unlock()
	if ok {
		old.answer(state.Result{}, ErrUnknown)
	}
}

// take removes and returns the waiter of an entry.
func (w *waiters) take(index uint64) (waiter, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next, ok := w.byIndex[index]
	delete(w.byIndex, index)
	return next, ok
}

// failBelow fails the waiters up to an index that a snapshot has replaced.
func (w *waiters) failBelow(index uint64, err error) {
	w.mu.Lock()
	var failed []waiter
	for i, next := range w.byIndex {
		if i <= index {
			failed = append(failed, next)
			delete(w.byIndex, i)
		}
	}
	w.mu.Unlock()
	for _, f := range failed {
		f.answer(state.Result{}, err)
	}
}

func (w *waiters) failAll(err error) { w.failBelow(1<<63, err) }

// applyLoop applies committed entries in order and copies the state for snapshots.
func (m *Member) applyLoop(ctx context.Context, snapshotIndex uint64) error {
	for {
		item, err := m.applies.Pop(ctx)
		if err != nil {
			return nil
		}
		if item.snapshot != nil {
			if err := m.restore(item.snapshot); err != nil {
				return err
			}
			snapshotIndex = item.snapshot.Index
		}
		for _, e := range item.entries {
			if err := m.applyEntry(e); err != nil {
				return err
			}
		}
		if m.applied.Load() >= snapshotIndex+uint64(m.options.SnapshotEvery) {
			snapshotIndex = m.applied.Load()
			m.freeze(ctx)
		}
	}
}

func (m *Member) restore(s *consensus.Snapshot) error {
	next := state.New()
	if len(s.Data) > 0 {
		var err error
		if next, err = state.Restore(s.Data); err != nil {
			return m.corrupt(err)
		}
	}
	m.mu.Lock()
	m.state = next
	m.mu.Unlock()
	m.applied.Store(s.Index)
	m.incoming.drop(s.Index)
	m.waiters.failBelow(s.Index, ErrUnknown)
	return nil
}

func (m *Member) applyEntry(e consensus.Entry) error {
	var cmd *controlv1.Command
	if e.Kind == consensus.EntryNormal {
		cmd = &controlv1.Command{}
		if err := proto.Unmarshal(e.Data, cmd); err != nil {
			return m.corrupt(err)
		}
	}
	m.mu.Lock()
	result := m.state.Apply(e.Index, cmd)
	m.mu.Unlock()
	m.applied.Store(e.Index)
	if w, ok := m.waiters.take(e.Index); ok {
		if w.term == e.Term {
			w.answer(result, nil)
		} else {
			w.answer(state.Result{}, ErrSuperseded)
		}
	}
	return nil
}

// freeze hands a copy of the state to snapshotLoop; the apply loop is its only
// writer, so that readers go on meanwhile. A copy that is not encoded yet is
// replaced by this newer one.
func (m *Member) freeze(ctx context.Context) {
	start := time.Now()
	_ = m.frozen.Push(ctx, m.state.Freeze())
	m.metrics.freeze.Record(time.Since(start))
}

// snapshotLoop encodes copies of the state, which takes much longer than to make
// them, while entries are applied.
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

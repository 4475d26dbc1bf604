package control

import (
	"sync/atomic"
	"time"
)

// leads is the view of this member's leadership outside the consensus loop.
type leads struct {
	// until is the end of the lease as a time since Member.opened; 0 for none.
	// It is a time and not a number of ticks, so that it ends by itself while
	// the consensus loop or the whole process is paused.
	until atomic.Int64
	// term is the term of the lease. ready is the commit index when the lease
	// of the term began: it covers all entries of earlier leaders.
	term  atomic.Uint64
	ready atomic.Uint64
}

func (l *leads) update(term, commit uint64, until time.Duration) {
	if until > 0 && l.term.Load() != term {
		l.until.Store(0)
		l.ready.Store(commit)
		l.term.Store(term)
	}
	l.until.Store(int64(until))
}

// lease reports whether this member may answer as leader at this moment, and
// the term. State that is read between two calls that report the same term is
// current, provided that the second call comes after the read:
//
//   - Any operation that this member acknowledged was applied here first.
//   - Operations acknowledged by earlier leaders lie below the entry with which
//     the term begins; ready covers that entry and has been applied.
//   - No later leader can have acknowledged anything, because none can be
//     elected before the lease has ended.
func (m *Member) lease() (term uint64, ok bool) {
	l := &m.leads
	term = l.term.Load()
	ready := l.ready.Load()
	until := time.Duration(l.until.Load())
	if until == 0 || m.applied.Load() < ready || l.term.Load() != term {
		return 0, false
	}
	return term, time.Since(m.opened) < until
}

// held reports whether the lease of the given term is still valid.
func (m *Member) held(term uint64) bool {
	now, ok := m.lease()
	return ok && now == term
}

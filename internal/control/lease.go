package control

import (
	"sync/atomic"
	"time"
)

// leaderLease is the leader lease of this member as seen outside the consensus loop.
type leaderLease struct {
	// validUntil is the end of the lease as a duration since Member.tickZero, or 0
	// if there is no lease. It is a time and not a number of ticks, so that the
	// lease also ends while the consensus loop or the whole process is paused. The
	// clock must count the time for which the machine is suspended.
	validUntil atomic.Int64
	// term is the term of the lease. minApplied is the commit index at the beginning
	// of the lease in this term. It covers all entries of earlier leaders.
	term       atomic.Uint64
	minApplied atomic.Uint64
	// heldSince is the time since which the lease has been held without interruption in
	// its term, since Member.tickZero. It is written before validUntil.
	heldSince atomic.Int64
}

// track records the beginning of an uninterrupted lease. It is called before update with the
// same term and end, and with the current time.
func (l *leaderLease) track(term uint64, now, validUntil time.Duration) {
	previous := time.Duration(l.validUntil.Load())
	if validUntil > 0 && (previous == 0 || now >= previous || l.term.Load() != term) {
		l.heldSince.Store(int64(now))
	}
}

// update sets the end of the lease. At the first lease of a term it also sets the
// term and minApplied; validUntil is 0 meanwhile, so that no reader sees a mix of
// two terms.
func (l *leaderLease) update(term, commit uint64, validUntil time.Duration) {
	if validUntil > 0 && l.term.Load() != term {
		l.validUntil.Store(0)
		l.minApplied.Store(commit)
		l.term.Store(term)
	}
	l.validUntil.Store(int64(validUntil))
}

// lease reports whether this member holds the leader lease and may respond as the
// leader, and in which term. State that is read after one call of lease and before
// another one that reports the same term is up to date:
//
//   - Every operation that this member has acknowledged was applied here first.
//   - Operations that earlier leaders acknowledged precede the first entry of the
//     term in the log. The index minApplied covers that entry and has been applied.
//   - No later leader can have acknowledged an operation, because none can be
//     elected before the lease has ended.
func (m *Member) lease() (term uint64, ok bool) {
	l := &m.leaderLease
	term = l.term.Load()
	minApplied := l.minApplied.Load()
	validUntil := time.Duration(l.validUntil.Load())
	if validUntil == 0 || m.applied.Load() < minApplied || l.term.Load() != term {
		return 0, false
	}
	return term, m.now().Sub(m.tickZero) < validUntil
}

// holdsLease reports whether this member still holds the lease of the given term.
func (m *Member) holdsLease(term uint64) bool {
	current, ok := m.lease()
	return ok && current == term
}

// LeaderLease describes the leader lease of a member.
type LeaderLease struct {
	// Held is set while no other member can become leader. The other fields are zero
	// otherwise.
	Held bool
	Term uint64
	// Since is the time of Options.Clock since which the lease has been held without
	// interruption in Term.
	Since time.Time
}

// LeaderLease returns the leader lease of this member.
func (m *Member) LeaderLease() LeaderLease {
	term, ok := m.lease()
	since := m.leaderLease.heldSince.Load()
	// An interruption between the two checks changes heldSince before the lease is held again.
	if !ok || !m.holdsLease(term) || m.leaderLease.heldSince.Load() != since {
		return LeaderLease{}
	}
	return LeaderLease{Held: true, Term: term, Since: m.tickZero.Add(time.Duration(since))}
}

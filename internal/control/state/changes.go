package state

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// storedResult is the result of a change without its list of conflicts, which
// State.result derives from the history.
type storedResult struct {
	changeID    string
	fingerprint uint64
	base        uint64
	version     uint64
	outcome     controlv1.ChangeResult_Outcome
}

// results stores the results of the latest MaxResults changes.
type results struct {
	byID  map[string]storedResult
	order []string // ring buffer of change IDs; once it is full, the oldest is at next
	next  int
}

func newResults() results { return results{byID: make(map[string]storedResult)} }

func (r *results) add(m storedResult) {
	if len(r.order) < MaxResults {
		r.order = append(r.order, m.changeID)
	} else {
		delete(r.byID, r.order[r.next])
		r.order[r.next] = m.changeID
		r.next = (r.next + 1) % MaxResults
	}
	r.byID[m.changeID] = m
}

// oldestFirst calls f for each stored result, oldest first.
func (r *results) oldestFirst(f func(storedResult)) {
	for i := range r.order {
		f(r.byID[r.order[(r.next+i)%len(r.order)]])
	}
}

// applyChange accepts a change whose base version is the current version. It
// checks nothing but the version: the leader has validated the operations, and a
// member with other validation rules must not refuse a change that the others
// accepted. A change without operations is UNCHANGED; the leader removes
// operations that have no effect.
func (s *State) applyChange(c *controlv1.Change) *controlv1.ChangeResult {
	if r := s.StoredResult(c); r != nil {
		return r
	}
	m := storedResult{
		changeID: c.GetChangeId(), fingerprint: fingerprint(c),
		base: c.GetBaseVersion(), version: s.version,
	}
	switch {
	case c.GetBaseVersion() != s.version:
		m.outcome = controlv1.ChangeResult_CONFLICT
	case len(c.GetOperations()) == 0:
		m.outcome = controlv1.ChangeResult_UNCHANGED
	default:
		s.acceptChange(c)
		m.version = s.version
		m.outcome = controlv1.ChangeResult_ACCEPTED
	}
	s.results.add(m)
	return s.result(m)
}

func (s *State) acceptChange(c *controlv1.Change) {
	s.tree = s.tree.Replay(c.GetOperations())
	s.version++
	s.addToHistory(acceptedChange{version: s.version, changeID: c.GetChangeId(), actor: c.GetActor(), operations: c.GetOperations()})
}

// addToHistory appends a change and drops the oldest ones beyond the bounds. The latest change
// always stays: instances that have the version before it need no more.
func (s *State) addToHistory(a acceptedChange) {
	for _, op := range a.operations {
		a.bytes += proto.Size(op)
	}
	for len(s.history) > 0 && (len(s.history) >= MaxHistory || s.historyBytes+a.bytes > MaxHistoryBytes) {
		s.historyBytes -= s.history[0].bytes
		s.history[0] = acceptedChange{}
		s.history = s.history[1:]
	}
	s.history = append(s.history, a)
	s.historyBytes += a.bytes
}

// StoredResult returns the stored result of a change that was applied before, or nil.
// If the change ID was used for a different change, the outcome is INVALID.
func (s *State) StoredResult(c *controlv1.Change) *controlv1.ChangeResult {
	m, ok := s.results.byID[c.GetChangeId()]
	if !ok {
		return nil
	}
	// The fingerprint of an UNCHANGED change is not comparable: the leader removed
	// its operations before it proposed the change, but the resend still has them.
	if m.outcome != controlv1.ChangeResult_UNCHANGED && m.fingerprint != fingerprint(c) {
		return &controlv1.ChangeResult{
			ChangeId: m.changeID, Outcome: controlv1.ChangeResult_INVALID, Version: s.version,
			Message: "this change ID was used for another change",
		}
	}
	return s.result(m)
}

// StoredResultByID returns the stored result of the change with the given ID, or nil.
func (s *State) StoredResultByID(changeID string) *controlv1.ChangeResult {
	m, ok := s.results.byID[changeID]
	if !ok {
		return nil
	}
	return s.result(m)
}

func (s *State) result(m storedResult) *controlv1.ChangeResult {
	r := &controlv1.ChangeResult{ChangeId: m.changeID, Outcome: m.outcome, Version: m.version}
	if m.outcome != controlv1.ChangeResult_CONFLICT {
		return r
	}
	if m.base > m.version {
		r.Message = fmt.Sprintf("base version %d is later than the present version %d", m.base, m.version)
		return r
	}
	total := m.version - m.base
	r.Message = fmt.Sprintf("%d changes were accepted since version %d", total, m.base)
	for i := len(s.history) - 1; i >= 0 && len(r.Conflicts) < maxConflicts; i-- {
		if a := s.history[i]; a.version <= m.version && a.version > m.base {
			r.Conflicts = append(r.Conflicts, summary(a))
		}
	}
	return r
}

// summary lists the settings that a change modified, each setting once.
func summary(a acceptedChange) *controlv1.ChangeSummary {
	out := &controlv1.ChangeSummary{ChangeId: a.changeID, Version: a.version, Actor: a.actor}
	seen := make(map[string]bool, len(a.operations))
	for _, op := range a.operations {
		touched := op.GetPath()
		if op.GetKey() != "" {
			touched += " " + op.GetKey()
		}
		if seen[touched] {
			continue
		}
		seen[touched] = true
		if len(out.Touched) < maxTouched {
			out.Touched = append(out.Touched, touched)
		}
	}
	if rest := len(seen) - len(out.Touched); rest > 0 {
		out.Touched = append(out.Touched, fmt.Sprintf("and %d more", rest))
	}
	return out
}

// fingerprint hashes the base version and operations of a change, to detect
// different changes that carry the same ID.
func fingerprint(c *controlv1.Change) uint64 {
	h := xxhash.New()
	b := make([]byte, 0, 256)
	for _, op := range c.GetOperations() {
		b, _ = proto.MarshalOptions{Deterministic: true}.MarshalAppend(b[:0], op)
		var e encoder
		e.bytes(b)
		h.Write(e.buf)
	}
	var e encoder
	e.uint(c.GetBaseVersion())
	h.Write(e.buf)
	return h.Sum64()
}

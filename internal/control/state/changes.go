package state

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// remembered is the result of a change. The list of conflicts is not kept: it
// is taken from the history again.
type remembered struct {
	changeID    string
	fingerprint uint64
	base        uint64
	version     uint64
	outcome     controlv1.ChangeResult_Outcome
}

// results remembers the latest KeepResults changes.
type results struct {
	byID  map[string]remembered
	order []string // oldest at next once full
	next  int
}

func newResults() results { return results{byID: make(map[string]remembered)} }

func (r *results) add(m remembered) {
	if len(r.order) < KeepResults {
		r.order = append(r.order, m.changeID)
	} else {
		delete(r.byID, r.order[r.next])
		r.order[r.next] = m.changeID
		r.next = (r.next + 1) % KeepResults
	}
	r.byID[m.changeID] = m
}

// oldestFirst calls f for all remembered results.
func (r *results) oldestFirst(f func(remembered)) {
	for i := range r.order {
		f(r.byID[r.order[(r.next+i)%len(r.order)]])
	}
}

// applyChange accepts a change made from the present version. It compares
// nothing but the version: the leader has validated the operations, and a
// member with other rules must not reject what another one accepted. A change
// without operations is UNCHANGED; the leader removes operations without effect.
func (s *State) applyChange(c *controlv1.Change) *controlv1.ChangeResult {
	if r := s.Result(c); r != nil {
		return r
	}
	m := remembered{
		changeID: c.GetChangeId(), fingerprint: fingerprint(c),
		base: c.GetBaseVersion(), version: s.version,
	}
	switch {
	case c.GetBaseVersion() != s.version:
		m.outcome = controlv1.ChangeResult_CONFLICT
	case len(c.GetOperations()) == 0:
		m.outcome = controlv1.ChangeResult_UNCHANGED
	default:
		s.accept(c)
		m.version = s.version
		m.outcome = controlv1.ChangeResult_ACCEPTED
	}
	s.results.add(m)
	return s.result(m)
}

func (s *State) accept(c *controlv1.Change) {
	s.tree = s.tree.Replay(c.GetOperations())
	s.version++
	if len(s.history) == KeepHistory {
		s.history = s.history[1:]
	}
	s.history = append(s.history, accepted{
		version: s.version, changeID: c.GetChangeId(), actor: c.GetActor(), operations: c.GetOperations(),
	})
}

// Result returns the first result of a change that was applied before, or nil.
// A change ID that was used for another change gives INVALID.
func (s *State) Result(c *controlv1.Change) *controlv1.ChangeResult {
	m, ok := s.results.byID[c.GetChangeId()]
	if !ok {
		return nil
	}
	// An unchanged one was stored without the operations that the resend has.
	if m.outcome != controlv1.ChangeResult_UNCHANGED && m.fingerprint != fingerprint(c) {
		return &controlv1.ChangeResult{
			ChangeId: m.changeID, Outcome: controlv1.ChangeResult_INVALID, Version: s.version,
			Message: "this change ID was used for another change",
		}
	}
	return s.result(m)
}

// ResultByID returns the first result of the change with that ID, or nil.
func (s *State) ResultByID(changeID string) *controlv1.ChangeResult {
	m, ok := s.results.byID[changeID]
	if !ok {
		return nil
	}
	return s.result(m)
}

func (s *State) result(m remembered) *controlv1.ChangeResult {
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

// summary lists what a change touched, each setting once.
func summary(a accepted) *controlv1.ChangeSummary {
	out := &controlv1.ChangeSummary{ChangeId: a.changeID, Version: a.version, Actor: a.actor}
	seen := make(map[string]bool, len(a.operations))
	for _, op := range a.operations {
		text := op.GetPath()
		if op.GetKey() != "" {
			text += " " + op.GetKey()
		}
		if seen[text] {
			continue
		}
		seen[text] = true
		if len(out.Touched) < maxTouched {
			out.Touched = append(out.Touched, text)
		}
	}
	if rest := len(seen) - len(out.Touched); rest > 0 {
		out.Touched = append(out.Touched, fmt.Sprintf("and %d more", rest))
	}
	return out
}

// fingerprint tells apart changes that carry the same ID.
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

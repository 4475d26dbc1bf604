package consensus_test

import "auburnstep.example/auburnstep/internal/consensus"

// checkEntries guards log matching: a position has the same content and the
// same predecessor at every host.
func (s *sim) checkEntries(h *host, r consensus.Ready) {
	prev := uint64(0)
	for i, e := range r.Entries {
		c := content{e.Kind, string(e.Data), prev}
		if i == 0 {
			c.prevTerm = s.termBefore(h, r, e.Index)
		}
		p := position{e.Index, e.Term}
		if known, ok := s.entries[p]; ok && known != c {
			s.failf("log matching: host %d has %+v at %+v, elsewhere %+v", h.id, c, p, known)
		}
		s.entries[p] = c
		prev = e.Term
	}
}

func (s *sim) termBefore(h *host, r consensus.Ready, index uint64) uint64 {
	d := h.disk
	if r.Snapshot != nil {
		saveSnapshot(&d, *r.Snapshot)
	}
	if index-1 == d.Snapshot.Index {
		return d.Snapshot.Term
	}
	return d.Entries[index-d.Snapshot.Index-2].Term
}

// checkLeader guards election safety, leader completeness and the lease: when
// a member leads, no other member leads in its term, its log holds all that
// was committed, and nobody holds a lease in a lower term.
func (s *sim) checkLeader(h *host) {
	st := h.node.Status()
	if st.Role != consensus.Leader || s.leaders[st.Term] == h.id {
		return
	}
	if other, ok := s.leaders[st.Term]; ok {
		s.failf("election safety: hosts %d and %d lead in term %d", other, h.id, st.Term)
	}
	s.leaders[st.Term] = h.id
	for i := st.SnapshotIndex + 1; i <= s.top; i++ {
		// An election may end after entries of a later term were committed.
		if t := s.loggedTerm(h, i); t != s.committed[i] && s.committedBy[i] < st.Term {
			s.failf("leader completeness: host %d leads term %d with term %d at %d, committed was %d",
				h.id, st.Term, t, i, s.committed[i])
		}
	}
	for _, o := range s.hosts {
		if o.node == nil || o == h || o.pausedUntil > s.now {
			continue
		}
		if left := o.node.LeaseTicks(); left > 0 && o.node.Status().Term < st.Term {
			s.failf("lease: host %d leads term %d while host %d has %d ticks of lease", h.id, st.Term, o.id, left)
		}
	}
}

// loggedTerm returns the term of an entry on disk; a leader's log is durable
// up to the entries of its own term.
func (s *sim) loggedTerm(h *host, index uint64) uint64 {
	i := int(index) - int(h.disk.Snapshot.Index) - 1
	if i < 0 {
		return s.committed[index]
	}
	if i >= len(h.disk.Entries) {
		return 0
	}
	return h.disk.Entries[i].Term
}

// checkCommit records what the host knows to be committed. What a leader
// commits must be on the disks of a majority of voters.
func (s *sim) checkCommit(h *host) {
	st := h.node.Status()
	for i := h.commit + 1; i <= st.Commit; i++ {
		term := s.loggedTerm(h, i)
		if known, ok := s.committed[i]; ok && term != 0 && known != term {
			s.failf("committed entry lost: host %d commits term %d at %d, was %d", h.id, term, i, known)
		}
		if st.Role == consensus.Leader {
			s.checkDurable(st, i, term)
			s.committed[i] = term
			if s.committedBy[i] == 0 {
				s.committedBy[i] = st.Term
			}
			s.top = max(s.top, i)
		}
	}
	h.commit = max(h.commit, st.Commit)
}

func (s *sim) checkDurable(st consensus.Status, index, term uint64) {
	copies := 0
	for _, id := range st.Members.Voters {
		d := s.host(id).disk
		if d.Snapshot.Index >= index || s.loggedTerm(s.host(id), index) == term {
			copies++
		}
	}
	// Disks that were lost after they had acknowledged do not count here; the
	// schedules lose one disk at a time.
	if copies+s.lostVoters(st) <= len(st.Members.Voters)/2 {
		s.failf("durability: leader %d commits %d with %d copies of %d", st.ID, index, copies, len(st.Members.Voters))
	}
}

func (s *sim) lostVoters(st consensus.Status) int {
	return s.countVoters(st, func(h *host) bool { return h.lost })
}

func (s *sim) countVoters(st consensus.Status, f func(*host) bool) int {
	count := 0
	for _, id := range st.Members.Voters {
		if f(s.host(id)) {
			count++
		}
	}
	return count
}

// checkApplied guards state machine safety: the state after an index is the
// same at every host.
func (s *sim) checkApplied(h *host, index uint64) {
	if known, ok := s.applied[index]; ok && known != h.sum {
		s.failf("state machine safety: host %d differs after index %d", h.id, index)
	}
	s.applied[index] = h.sum
}

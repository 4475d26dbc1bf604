package consensus_test

import "auburnstep.example/auburnstep/internal/consensus"

// checkEntries checks log matching: entries with the same index and term have
// the same content and the same previous term at every host.
func (s *simulation) checkEntries(h *host, r consensus.Ready) {
	prev := uint64(0)
	for i, e := range r.Entries {
		got := content{e.Kind, string(e.Data), prev}
		if i == 0 {
			got.prevTerm = s.termBefore(h, r, e.Index)
		}
		pos := position{e.Index, e.Term}
		if known, ok := s.contentAt[pos]; ok && known != got {
			s.failf("log matching: host %d has %+v at %+v, another host has %+v", h.id, got, pos, known)
		}
		s.contentAt[pos] = got
		prev = e.Term
	}
}

func (s *simulation) termBefore(h *host, r consensus.Ready, index uint64) uint64 {
	d := h.disk
	if r.Snapshot != nil {
		saveSnapshot(&d, *r.Snapshot)
	}
	if index-1 == d.Snapshot.Index {
		return d.Snapshot.Term
	}
	return d.Entries[index-d.Snapshot.Index-2].Term
}

// checkLeader checks election safety, leader completeness and lease
// exclusivity: if a member leads, no other member leads in its term, its log
// contains all entries committed in earlier terms, and no other member holds a
// lease in a lower term.
func (s *simulation) checkLeader(h *host) {
	st := h.node.Status()
	if st.Role != consensus.Leader || s.leaderByTerm[st.Term] == h.id {
		return
	}
	if other, ok := s.leaderByTerm[st.Term]; ok {
		s.failf("election safety: hosts %d and %d lead in term %d", other, h.id, st.Term)
	}
	s.leaderByTerm[st.Term] = h.id
	for i := st.SnapshotIndex + 1; i <= s.maxCommitted; i++ {
		// An election for an older term may end after entries of a later term
		// were committed. Its winner need not have those entries.
		if t := s.loggedTerm(h, i); t != s.committedTerm[i] && s.committerTerm[i] < st.Term {
			s.failf("leader completeness: host %d leads term %d with term %d at %d, committed term is %d",
				h.id, st.Term, t, i, s.committedTerm[i])
		}
	}
	for _, o := range s.hosts {
		if o.node == nil || o == h || o.pausedUntil > s.now {
			continue
		}
		if left := o.node.LeaseTicks(); left > 0 && o.node.Status().Term < st.Term {
			s.failf("lease: host %d leads term %d while host %d holds a lease for %d more ticks", h.id, st.Term, o.id, left)
		}
	}
}

// loggedTerm returns the term of the entry on the disk of the host, or 0 if the
// disk does not have it. The entries of a leader from before its own term are
// all durable.
func (s *simulation) loggedTerm(h *host, index uint64) uint64 {
	i := int(index) - int(h.disk.Snapshot.Index) - 1
	if i < 0 {
		return s.committedTerm[index]
	}
	if i >= len(h.disk.Entries) {
		return 0
	}
	return h.disk.Entries[i].Term
}

// checkCommit records the entries that the host knows to be committed, and
// checks that the entries a leader commits are on the disks of a majority of
// voters.
func (s *simulation) checkCommit(h *host) {
	st := h.node.Status()
	for i := h.commit + 1; i <= st.Commit; i++ {
		term := s.loggedTerm(h, i)
		if known, ok := s.committedTerm[i]; ok && term != 0 && known != term {
			s.failf("committed entry lost: host %d commits term %d at %d, committed term is %d", h.id, term, i, known)
		}
		if st.Role == consensus.Leader {
			s.checkDurable(st, i, term)
			s.committedTerm[i] = term
			if s.committerTerm[i] == 0 {
				s.committerTerm[i] = st.Term
			}
			s.maxCommitted = max(s.maxCommitted, i)
		}
	}
	h.commit = max(h.commit, st.Commit)
}

func (s *simulation) checkDurable(st consensus.Status, index, term uint64) {
	copies := 0
	for _, id := range st.Members.Voters {
		d := s.host(id).disk
		if d.Snapshot.Index >= index || s.loggedTerm(s.host(id), index) == term {
			copies++
		}
	}
	// A disk may be lost after it acknowledged an entry, so every lost voter
	// counts as a copy. The schedules lose one disk at a time.
	if copies+s.lostVoters(st) <= len(st.Members.Voters)/2 {
		s.failf("durability: leader %d commits entry %d with %d copies at %d voters", st.ID, index, copies, len(st.Members.Voters))
	}
}

func (s *simulation) lostVoters(st consensus.Status) int {
	return s.countVoters(st, func(h *host) bool { return h.diskLost })
}

func (s *simulation) countVoters(st consensus.Status, matches func(*host) bool) int {
	count := 0
	for _, id := range st.Members.Voters {
		if matches(s.host(id)) {
			count++
		}
	}
	return count
}

// checkApplied checks state machine safety: the state after an index is the
// same at every host.
func (s *simulation) checkApplied(h *host, index uint64) {
	if known, ok := s.digestAt[index]; ok && known != h.digest {
		s.failf("state machine safety: state of host %d after index %d differs from that of another host", h.id, index)
	}
	s.digestAt[index] = h.digest
}

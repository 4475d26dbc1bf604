package consensus

// HasReady reports whether Ready would return work.
func (n *Node) HasReady() bool {
	return len(n.msgs) > 0 || len(n.reads) > 0 || n.log.restoring ||
		n.log.unstable <= n.log.last() || n.log.commit > n.log.applied ||
		n.hardState() != n.hard || n.softState() != n.soft || n.flushDue()
}

func (n *Node) flushDue() bool {
	if n.role != Leader {
		return false
	}
	reads := n.lead.reads
	return n.lead.appendDue || n.lead.commitDue || len(reads) > 0 && reads[len(reads)-1].round == 0
}

func (n *Node) softState() SoftState { return SoftState{Leader: n.leader, Role: n.role} }

// Ready returns the work for the driver. It must be followed by Advance before
// Ready is called again; Tick, Step and proposals may come in between.
func (n *Node) Ready() Ready {
	if n.waiting {
		panic("consensus: Ready called twice without Advance")
	}
	n.waiting = true
	n.flush()
	r := Ready{Messages: n.msgs, ReadStates: n.reads}
	n.msgs, n.reads = nil, nil
	applied := n.log.applied
	if n.log.restoring {
		s := n.log.snapshot
		r.Snapshot = &s
		applied = s.Index
		n.handed.restored = s.Index
	}
	r.Entries = n.log.between(n.log.unstable, n.log.last())
	// Committed entries that are not durable here yet are in r.Entries as well,
	// and the driver stores those first.
	r.Committed = n.log.between(applied+1, n.log.commit)
	n.handed.applied = max(applied, n.log.commit)
	n.handed.lastIndex, n.handed.lastTerm = n.log.last(), n.log.lastTerm()
	n.handed.hard, n.handed.soft = n.hardState(), n.softState()
	if n.handed.hard != n.hard {
		h := n.handed.hard
		r.HardState = &h
	}
	if n.handed.soft != n.soft {
		s := n.handed.soft
		r.SoftState = &s
	}
	return r
}

// Advance tells that the work of the last Ready is done: everything it lists
// for storing is durable, its messages are sent and its entries are applied.
func (n *Node) Advance() {
	if !n.waiting {
		return
	}
	n.waiting = false
	h := n.handed
	n.handed = handedOut{}
	n.hard, n.soft = h.hard, h.soft
	if h.restored != 0 && h.restored == n.log.snapshot.Index {
		n.log.restoring = false
	}
	n.log.applied = max(n.log.applied, h.applied)
	n.log.stableTo(h.lastIndex, h.lastTerm)
	if n.role == Leader {
		n.maybeCommit()
	}
}

// MakeSnapshot returns a snapshot of the application's state after the applied
// entry index, with the term and membership in force there. The driver saves
// it durably and then calls Compact.
func (n *Node) MakeSnapshot(index uint64, data []byte) (Snapshot, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.applied || index < n.log.snapshot.Index {
		return Snapshot{}, ErrCompacted
	}
	return Snapshot{Index: index, Term: term, Members: n.members.at(index), Data: data}, nil
}

// Compact replaces the snapshot that is sent to lagging members and drops the
// entries that it covers, but for Config.KeepEntries. Older snapshots than the
// present one and snapshots of unapplied entries are ignored.
func (n *Node) Compact(s Snapshot) {
	if s.Index <= n.log.snapshot.Index || s.Index > n.log.applied {
		return
	}
	n.log.compact(s, n.cfg.KeepEntries)
	n.members = n.members.compact(s.Index)
}

// Status returns a copy of the node's state.
func (n *Node) Status() Status {
	s := Status{
		ID: n.cfg.ID, Term: n.term, Leader: n.leader, Role: n.role,
		Commit: n.log.commit, Applied: n.log.applied, Last: n.log.last(),
		SnapshotIndex: n.log.snapshot.Index, Members: n.members.latest(),
		Removed: n.removed, TransferTarget: n.lead.transferee,
	}
	if n.role != Leader {
		return s
	}
	for _, id := range s.Members.all() {
		p := Progress{ID: id, Learner: s.Members.IsLearner(id), Match: n.log.stable(), Active: true}
		if q := n.lead.progress[id]; q != nil {
			p.Match, p.Active, p.InSnapshot = q.match, n.active(q), q.state == snapshotting
		}
		s.Progress = append(s.Progress, p)
	}
	return s
}

package consensus

// HasReady reports whether Ready would return work.
func (n *Node) HasReady() bool {
	return len(n.messages) > 0 || len(n.reads) > 0 || n.log.snapshotPending ||
		n.log.firstUnstable <= n.log.last() || n.log.commit > n.log.applied ||
		n.hardState() != n.reportedHardState || n.softState() != n.reportedSoftState || n.flushDue()
}

func (n *Node) flushDue() bool {
	if n.role != Leader {
		return false
	}
	reads := n.leaderState.reads
	return n.leaderState.appendDue || n.leaderState.commitDue || len(reads) > 0 && reads[len(reads)-1].heartbeatRound == 0
}

func (n *Node) softState() SoftState { return SoftState{Leader: n.leaderID, Role: n.role} }

// Ready returns the work for the driver. The driver must call Advance before it
// calls Ready again; it may call Tick, Step and the proposal methods in
// between.
func (n *Node) Ready() Ready {
	if n.awaitingAdvance {
		panic("consensus: Ready called twice without Advance")
	}
	n.awaitingAdvance = true
	n.flush()
	r := Ready{Messages: n.messages, ReadStates: n.reads}
	n.messages, n.reads = nil, nil
	applied := n.log.applied
	if n.log.snapshotPending {
		s := n.log.snapshot
		r.Snapshot = &s
		applied = s.Index
		n.pendingReady.restoredIndex = s.Index
	}
	r.Entries = n.log.entriesBetween(n.log.firstUnstable, n.log.last())
	// Committed entries that are not yet durable at this member are also in
	// r.Entries, which the driver stores before it applies r.Committed.
	r.Committed = n.log.entriesBetween(applied+1, n.log.commit)
	n.pendingReady.applied = max(applied, n.log.commit)
	n.pendingReady.lastIndex, n.pendingReady.lastTerm = n.log.last(), n.log.lastTerm()
	n.pendingReady.reportedHardState, n.pendingReady.reportedSoftState = n.hardState(), n.softState()
	if n.pendingReady.reportedHardState != n.reportedHardState {
		h := n.pendingReady.reportedHardState
		r.HardState = &h
	}
	if n.pendingReady.reportedSoftState != n.reportedSoftState {
		s := n.pendingReady.reportedSoftState
		r.SoftState = &s
	}
	return r
}

// Advance reports that the driver has completed the work of the last Ready: the
// snapshot, hard state and entries are durable, the messages are sent and the
// committed entries are applied.
func (n *Node) Advance() {
	if !n.awaitingAdvance {
		return
	}
	n.awaitingAdvance = false
	record := n.pendingReady
	n.pendingReady = readyRecord{}
	n.reportedHardState, n.reportedSoftState = record.reportedHardState, record.reportedSoftState
	if record.restoredIndex != 0 && record.restoredIndex == n.log.snapshot.Index {
		n.log.snapshotPending = false
	}
	n.log.applied = max(n.log.applied, record.applied)
	n.log.markStable(record.lastIndex, record.lastTerm)
	if n.role == Leader {
		n.maybeCommit()
	}
}

// MakeSnapshot returns a snapshot with the given application state after the
// entry at index, and with the term and membership at index. The driver stores
// it durably and then calls Compact.
func (n *Node) MakeSnapshot(index uint64, data []byte) (Snapshot, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.applied || index < n.log.snapshot.Index {
		return Snapshot{}, ErrCompacted
	}
	return Snapshot{Index: index, Term: term, Members: n.members.at(index), Data: data}, nil
}

// Compact replaces the snapshot that is sent to members that are too far
// behind, and drops the entries that it covers, except for the last
// Config.RetainedEntries and Config.RetainedBytes. It ignores a snapshot that is
// not newer than the current one or that covers unapplied entries.
func (n *Node) Compact(s Snapshot) {
	if s.Index <= n.log.snapshot.Index || s.Index > n.log.applied {
		return
	}
	n.log.compact(s, n.cfg.RetainedEntries, n.cfg.RetainedBytes)
	n.members = n.members.compact(s.Index)
}

// Status returns a copy of the state of the node.
func (n *Node) Status() Status {
	s := Status{
		ID: n.cfg.ID, Term: n.term, Leader: n.leaderID, Role: n.role,
		Commit: n.log.commit, Applied: n.log.applied, Last: n.log.last(),
		SnapshotIndex: n.log.snapshot.Index, Members: n.members.latest(),
		LogBytes: n.log.bytes, Removed: n.removed, TransferTarget: n.leaderState.transferTarget,
	}
	if n.role != Leader {
		return s
	}
	for _, id := range s.Members.memberIDs() {
		p := Progress{ID: id, Learner: s.Members.IsLearner(id), Match: n.log.lastStable(), Active: true}
		if q := n.leaderState.progress[id]; q != nil {
			p.Match, p.Active, p.InSnapshot = q.match, n.recentlyActive(q), q.state == snapshotting
		}
		s.Progress = append(s.Progress, p)
	}
	return s
}

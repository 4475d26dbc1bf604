package consensus

// requireLeader returns nil if this member is the leader. Otherwise, it returns
// ErrLeaderUnknown or ErrNotLeader.
func (n *Node) requireLeader() error {
	switch {
	case n.role == Leader:
		return nil
	case n.leaderID == 0:
		return ErrLeaderUnknown
	}
	return ErrNotLeader
}

// Propose appends an entry to the log of the leader and returns its index. The
// entry may still be lost: it is committed only if Ready.Committed contains an
// entry with this index and the term in which it was proposed.
func (n *Node) Propose(data []byte) (index uint64, err error) {
	return n.propose(EntryNormal, data)
}

func (n *Node) propose(kind EntryKind, data []byte) (uint64, error) {
	if err := n.requireLeader(); err != nil {
		return 0, err
	}
	if n.leaderState.transferTarget != 0 || n.leaderState.leaseRevoked {
		return 0, ErrTransferring
	}
	if n.log.last()-n.log.commit >= uint64(n.cfg.MaxUncommitted) || kind == EntryNormal && !n.hasRoom() {
		return 0, ErrBusy
	}
	index := n.log.last() + 1
	n.log.append(Entry{Index: index, Term: n.term, Kind: kind, Data: data})
	n.leaderState.appendDue = true
	return index, nil
}

// hasRoom reports whether the log has room for another entry. Its size does not matter: a large
// entry would otherwise never be accepted among many small ones.
func (n *Node) hasRoom() bool {
	return n.log.uncommittedBytes < n.cfg.MaxUncommittedBytes && n.log.committedBytes() < n.cfg.MaxLogBytes
}

// ProposeMembership appends a change of one member to the log of the leader.
// The new membership is in force as soon as the entry is appended. A change is
// accepted only if all earlier changes are committed and the leader has
// committed an entry of its own term. Otherwise, two leaders could use
// memberships whose majorities do not intersect.
func (n *Node) ProposeMembership(c MembershipChange) error {
	if err := n.requireLeader(); err != nil {
		return err
	}
	if n.log.commit < n.leaderState.termStart || n.members.latestIndex() > n.log.commit {
		return ErrChangePending
	}
	members, err := n.members.latest().Apply(c)
	if err != nil {
		return err
	}
	if c.Kind == RemoveMember && c.ID == n.cfg.ID {
		return ErrIsLeader
	}
	// A member votes only if its own log contains its ID as a member. A learner
	// whose log lacks the entry that added it would become a voter that cannot
	// vote.
	if c.Kind == PromoteLearner && (!n.caughtUp(c.ID) || n.leaderState.progress[c.ID].match < n.members.latestIndex()) {
		return ErrNotCaughtUp
	}
	index, err := n.propose(EntryConfig, EncodeChange(c))
	if err != nil {
		return err
	}
	n.members = append(n.members, indexedMembership{index, members})
	n.syncProgress()
	n.maybeCommit()
	return nil
}

// recentlyActive reports whether the member responded within the election
// timeout.
func (n *Node) recentlyActive(p *progress) bool {
	return n.ticks-p.lastContactTick < int64(n.cfg.ElectionTicks)
}

func (n *Node) caughtUp(id uint64) bool {
	p := n.leaderState.progress[id]
	return p.match > 0 && n.recentlyActive(p) && p.match+uint64(n.cfg.MaxPromoteLag) >= n.log.last()
}

// TransferLeadership starts to transfer the leadership to a voter. Proposals
// fail with ErrTransferring until the transfer has ended. If the target does
// not become leader within the election timeout, the transfer is aborted: this
// member accepts proposals again or, if the target was already asked to
// campaign, starts an election itself.
func (n *Node) TransferLeadership(to uint64) error {
	if err := n.requireLeader(); err != nil {
		return err
	}
	if n.leaderState.transferTarget != 0 || n.leaderState.leaseRevoked {
		return ErrTransferring
	}
	if to == n.cfg.ID || !n.members.latest().IsVoter(to) {
		return ErrInvalidChange
	}
	if !n.caughtUp(to) {
		return ErrNotCaughtUp
	}
	n.leaderState.transferTarget, n.leaderState.transferTicks = to, 0
	n.leaderState.appendDue = true
	n.maybeSendTimeoutNow()
	return nil
}

// maybeSendTimeoutNow asks the transfer target to campaign once its log is
// complete. This revokes the lease for the rest of the term.
func (n *Node) maybeSendTimeoutNow() {
	p := n.leaderState.progress[n.leaderState.transferTarget]
	if p == nil || n.leaderState.leaseRevoked || p.match < n.log.last() {
		return
	}
	n.leaderState.leaseRevoked = true
	n.send(Message{Type: MsgTimeoutNow, To: n.leaderState.transferTarget})
}

// abortTransfer ends a transfer that timed out. If the target was already asked
// to campaign, the lease is revoked and can be regained only in a new term, so
// this member campaigns. The other members may vote immediately, because no
// leader holds a lease.
func (n *Node) abortTransfer() {
	if n.leaderState.leaseRevoked {
		n.campaign(ContextTransfer)
		return
	}
	n.leaderState.transferTarget = 0
}

package consensus

// mustLead returns nil at the leader, else the error that names the reason.
func (n *Node) mustLead() error {
	switch {
	case n.role == Leader:
		return nil
	case n.leader == 0:
		return ErrLeaderUnknown
	}
	return ErrNotLeader
}

// Propose appends an entry to the leader's log and returns its index. The
// entry may still be lost: it took effect only if Ready.Committed holds an
// entry with this index and the term in which it was proposed.
func (n *Node) Propose(data []byte) (index uint64, err error) {
	return n.propose(EntryNormal, data)
}

func (n *Node) propose(kind EntryKind, data []byte) (uint64, error) {
	if err := n.mustLead(); err != nil {
		return 0, err
	}
	if n.lead.transferee != 0 || n.lead.leaseVoid {
		return 0, ErrTransferring
	}
	if n.log.last()-n.log.commit >= uint64(n.cfg.MaxUncommitted) {
		return 0, ErrBusy
	}
	index := n.log.last() + 1
	n.log.append(Entry{Index: index, Term: n.term, Kind: kind, Data: data})
	n.lead.appendDue = true
	return index, nil
}

// ProposeMembership appends a change of one member to the leader's log. It is
// in force as soon as it is appended. Only one change may be uncommitted, and
// only after the leader committed an entry of its term: otherwise two leaders
// could use memberships whose majorities do not intersect.
func (n *Node) ProposeMembership(c MembershipChange) error {
	if err := n.mustLead(); err != nil {
		return err
	}
	if n.log.commit < n.lead.start || n.members.latestIndex() > n.log.commit {
		return ErrChangePending
	}
	members, err := n.members.latest().Apply(c)
	if err != nil {
		return err
	}
	if c.Kind == RemoveMember && c.ID == n.cfg.ID {
		return ErrIsLeader
	}
	// A member votes only if its log names it. A learner that lacks the entry
	// which added it would be a voter that cannot vote.
	if c.Kind == PromoteLearner && (!n.caughtUp(c.ID) || n.lead.progress[c.ID].match < n.members.latestIndex()) {
		return ErrNotCaughtUp
	}
	index, err := n.propose(EntryConfig, EncodeChange(c))
	if err != nil {
		return err
	}
	n.members = append(n.members, membershipAt{index, members})
	n.syncProgress()
	n.maybeCommit()
	return nil
}

// active reports whether the member answered within the election timeout.
func (n *Node) active(p *progress) bool {
	return n.ticks-p.heard < int64(n.cfg.ElectionTicks)
}

func (n *Node) caughtUp(id uint64) bool {
	p := n.lead.progress[id]
	return p.match > 0 && n.active(p) && p.match+uint64(n.cfg.MaxPromoteLag) >= n.log.last()
}

// TransferLeadership hands the leadership over to a voter. Proposals fail with
// ErrTransferring until the transfer has ended. If the target does not take
// over within the election timeout, this member starts a new term itself.
func (n *Node) TransferLeadership(to uint64) error {
	if err := n.mustLead(); err != nil {
		return err
	}
	if n.lead.transferee != 0 || n.lead.leaseVoid {
		return ErrTransferring
	}
	if to == n.cfg.ID || !n.members.latest().IsVoter(to) {
		return ErrInvalidChange
	}
	if !n.caughtUp(to) {
		return ErrNotCaughtUp
	}
	n.lead.transferee, n.lead.transferTicks = to, 0
	n.lead.appendDue = true
	n.maybeTimeoutNow()
	return nil
}

// maybeTimeoutNow asks the target of a transfer to campaign once its log is
// complete. The lease ends for the rest of the term.
func (n *Node) maybeTimeoutNow() {
	p := n.lead.progress[n.lead.transferee]
	if p == nil || n.lead.leaseVoid || p.match < n.log.last() {
		return
	}
	n.lead.leaseVoid = true
	n.send(Message{Type: MsgTimeoutNow, To: n.lead.transferee})
}

// abortTransfer resumes work after a transfer that did not succeed. If the
// target was already asked to campaign, the lease can only be regained in a
// new term; the others may vote at once, since this leader has no lease.
func (n *Node) abortTransfer() {
	if n.lead.leaseVoid {
		n.campaign(ContextTransfer)
		return
	}
	n.lead.transferee = 0
}

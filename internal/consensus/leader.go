package consensus

// snapshotRetryFactor times the election timeout is the wait for a member to
// install a snapshot before the leader probes it again.
const snapshotRetryFactor = 2

// leadership is the state that exists only while a member leads.
type leadership struct {
	progress map[uint64]*progress
	// start is the index of the no-op entry of this term.
	start uint64
	// appendDue and commitDue ask flush for append messages.
	appendDue, commitDue bool
	round                uint64
	rounds               []round
	reads                []pendingRead
	// transferee is the target of a leadership transfer and transferTicks the
	// time since it began.
	transferee    uint64
	transferTicks int
	// leaseVoid is set for the rest of the term once MsgTimeoutNow was sent:
	// the message may be delivered late, and the election it starts bypasses
	// the stickiness on which the lease rests.
	leaseVoid bool
}

func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.cfg.ID
	n.votes = nil
	n.elapsed = 0
	n.lead = leadership{progress: map[uint64]*progress{}, start: n.log.last() + 1}
	n.syncProgress()
	n.log.append(Entry{Index: n.lead.start, Term: n.term, Kind: EntryNoop})
	n.lead.appendDue = true
	n.startRound()
}

// loseLeadership drops the leader's state and fails its pending reads.
func (n *Node) loseLeadership() {
	for _, r := range n.lead.reads {
		n.reads = append(n.reads, ReadState{Context: r.context, Lost: true})
	}
	n.lead = leadership{}
}

// syncProgress makes the progress table match the latest membership.
func (n *Node) syncProgress() {
	members := n.members.latest()
	for id := range n.lead.progress {
		if !members.Has(id) {
			delete(n.lead.progress, id)
		}
	}
	for _, id := range members.all() {
		if id != n.cfg.ID && n.lead.progress[id] == nil {
			n.lead.progress[id] = &progress{next: n.log.last() + 1, heard: n.ticks, ackTick: leaseNever}
		}
	}
	if !members.Has(n.lead.transferee) {
		n.lead.transferee = 0
	}
}

// tickLeader sends heartbeats, steps down without a quorum and ends a
// transfer that takes too long.
func (n *Node) tickLeader() {
	if n.ticks-n.quorumHeard() >= int64(n.cfg.ElectionTicks) {
		n.becomeFollower(n.term, 0)
		return
	}
	if n.lead.transferee != 0 {
		n.lead.transferTicks++
		if n.lead.transferTicks >= n.cfg.ElectionTicks {
			n.abortTransfer()
			return
		}
	}
	if n.elapsed >= n.cfg.HeartbeatTicks {
		n.startRound()
	}
}

// quorumHeard returns the latest tick since which a majority was heard.
func (n *Node) quorumHeard() int64 {
	return kthLargest(collect(n, n.ticks, func(p *progress) int64 { return p.heard }), n.members.latest().quorum())
}

// collect returns one value per voter, own for this member.
func collect[T any](n *Node, own T, value func(*progress) T) []T {
	voters := n.members.latest().Voters
	values := make([]T, len(voters))
	for i, id := range voters {
		if values[i] = own; id != n.cfg.ID {
			values[i] = value(n.lead.progress[id])
		}
	}
	return values
}

// handleToLeader handles answers of members to this leader.
func (n *Node) handleToLeader(m Message) error {
	p := n.lead.progress[m.From]
	if n.role != Leader || p == nil {
		return nil
	}
	p.heard = n.ticks
	if m.Type == MsgHeartbeatResponse {
		return n.handleHeartbeatResponse(m, p)
	}
	return n.handleAppendResponse(m, p)
}

func (n *Node) handleAppendResponse(m Message, p *progress) error {
	if m.Reject {
		hint := m.RejectHint
		if m.LogTerm > 0 {
			hint, _ = n.log.hint(m.RejectHint, m.LogTerm)
		}
		p.rejected(m.Index, hint)
		n.lead.appendDue = true
		return nil
	}
	if m.Index > n.log.last() {
		return Error.Wrap(errDiverged)
	}
	if p.accepted(m.Index) {
		n.maybeCommit()
		n.maybeTimeoutNow()
	}
	n.lead.appendDue = true
	return nil
}

func (n *Node) handleHeartbeatResponse(m Message, p *progress) error {
	if m.Context > n.lead.round {
		return ErrInvalidMessage
	}
	n.acknowledgeRound(m.Context, p)
	p.probeSent = false
	if p.state == replicating && p.paused(n.cfg.MaxInflight) {
		p.inflight = p.inflight[1:]
	}
	wait := int64(snapshotRetryFactor * n.cfg.ElectionTicks)
	if p.state == snapshotting && n.ticks-p.snapshotTick >= wait {
		p.probe()
	}
	if p.match < n.log.last() {
		p.nudge = true
		n.lead.appendDue = true
	}
	return nil
}

// maybeCommit commits what a majority holds durably. Entries of earlier terms
// are committed only by one of the current term (Raft, section 5.4.2).
func (n *Node) maybeCommit() {
	matches := collect(n, n.log.stable(), func(p *progress) uint64 { return p.match })
	index := kthLargest(matches, n.members.latest().quorum())
	if index > n.log.commit && n.log.matches(index, n.term) {
		n.commitTo(index)
		n.lead.commitDue = true
	}
}

// flush turns the work that piled up since the last Ready into messages, so
// that proposals and reads made in between share them.
func (n *Node) flush() {
	if n.role != Leader {
		return
	}
	n.flushReads()
	if !n.lead.appendDue && !n.lead.commitDue {
		return
	}
	for _, id := range n.members.latest().all() {
		if p := n.lead.progress[id]; p != nil {
			empty := n.lead.commitDue || p.nudge
			p.nudge = false
			for n.sendAppend(id, p, empty) {
				empty = false
			}
		}
	}
	n.lead.appendDue, n.lead.commitDue = false, false
}

// sendAppend sends the next append message or a snapshot, if the member may
// get one. It reports whether entries were sent.
func (n *Node) sendAppend(id uint64, p *progress, empty bool) bool {
	if p.paused(n.cfg.MaxInflight) {
		return false
	}
	term, ok := n.log.term(p.next - 1)
	if !ok {
		n.sendSnapshot(id, p)
		return false
	}
	entries := n.log.slice(p.next, n.cfg.MaxEntriesPerMessage, n.cfg.MaxBytesPerMessage)
	if len(entries) == 0 && !empty {
		return false
	}
	n.send(Message{
		Type: MsgAppend, To: id, Index: p.next - 1, LogTerm: term,
		Commit: n.log.commit, Entries: entries,
	})
	p.sent(len(entries))
	return len(entries) > 0
}

func (n *Node) sendSnapshot(id uint64, p *progress) {
	s := n.log.snapshot
	p.snapshot(s.Index, n.ticks)
	n.send(Message{Type: MsgSnapshot, To: id, Snapshot: &s})
}

package consensus

// snapshotRetryFactor is the number of election timeouts that the leader waits
// for a member to install a snapshot before it probes the member again.
const snapshotRetryFactor = 2

// volatileLeaderState is the state that exists only while this member is the
// leader.
type volatileLeaderState struct {
	progress map[uint64]*progress
	// termStart is the index of the no-op entry that starts this term.
	termStart uint64
	// appendDue and commitDue make the next flush send append messages with new
	// entries and with a new commit index, respectively.
	appendDue, commitDue bool
	// heartbeatRound is the number of the latest heartbeat round. rounds lists
	// the rounds that are recent enough to extend a lease.
	heartbeatRound uint64
	rounds         []heartbeatRound
	reads          []pendingRead
	// transferTarget is the target of a leadership transfer, and transferTicks
	// the number of ticks since the transfer began.
	transferTarget uint64
	transferTicks  int
	// leaseRevoked is set for the rest of the term once MsgTimeoutNow was sent.
	// That message may be delivered late, and members vote in the election that
	// it starts even if they acknowledged the lease.
	leaseRevoked bool
}

func (n *Node) becomeLeader() {
	n.role, n.leaderID = Leader, n.cfg.ID
	n.votes = nil
	n.elapsedTicks = 0
	n.leaderState = volatileLeaderState{progress: map[uint64]*progress{}, termStart: n.log.last() + 1}
	n.syncProgress()
	n.log.append(Entry{Index: n.leaderState.termStart, Term: n.term, Kind: EntryNoop})
	n.leaderState.appendDue = true
	n.startHeartbeatRound()
}

// loseLeadership discards the leader state and fails all pending reads.
func (n *Node) loseLeadership() {
	for _, r := range n.leaderState.reads {
		n.reads = append(n.reads, ReadState{Context: r.context, LeadershipLost: true})
	}
	n.leaderState = volatileLeaderState{}
}

// syncProgress updates the progress table to the latest membership.
func (n *Node) syncProgress() {
	members := n.members.latest()
	for id := range n.leaderState.progress {
		if !members.Has(id) {
			delete(n.leaderState.progress, id)
		}
	}
	for _, id := range members.memberIDs() {
		if id != n.cfg.ID && n.leaderState.progress[id] == nil {
			n.leaderState.progress[id] = &progress{next: n.log.last() + 1, lastContactTick: n.ticks, ackedRoundStart: neverAcked}
		}
	}
	if !members.Has(n.leaderState.transferTarget) {
		n.leaderState.transferTarget = 0
	}
}

// tickLeader sends heartbeats, steps down if a majority has not responded
// within the election timeout, and aborts a transfer that exceeds it.
func (n *Node) tickLeader() {
	if n.ticks-n.quorumContactTick() >= int64(n.cfg.ElectionTicks) {
		n.becomeFollower(n.term, 0)
		return
	}
	if n.leaderState.transferTarget != 0 {
		n.leaderState.transferTicks++
		if n.leaderState.transferTicks >= n.cfg.ElectionTicks {
			n.abortTransfer()
			return
		}
	}
	if n.elapsedTicks >= n.cfg.HeartbeatTicks {
		n.startHeartbeatRound()
	}
}

// quorumContactTick returns the latest tick since which a majority of the
// voters, including this member, has sent a message.
func (n *Node) quorumContactTick() int64 {
	return kthLargest(voterValues(n, n.ticks, func(p *progress) int64 { return p.lastContactTick }), n.members.latest().quorum())
}

// voterValues returns one value per voter; own is the value for this member.
func voterValues[T any](n *Node, own T, value func(*progress) T) []T {
	voters := n.members.latest().Voters
	values := make([]T, len(voters))
	for i, id := range voters {
		if values[i] = own; id != n.cfg.ID {
			values[i] = value(n.leaderState.progress[id])
		}
	}
	return values
}

// handleFromFollower handles the responses of voters and learners to this
// leader.
func (n *Node) handleFromFollower(m Message) error {
	p := n.leaderState.progress[m.From]
	if n.role != Leader || p == nil {
		return nil
	}
	p.lastContactTick = n.ticks
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
		p.recordRejected(m.Index, hint)
		n.leaderState.appendDue = true
		return nil
	}
	if m.Index > n.log.last() {
		return Error.Wrap(errDiverged)
	}
	if p.recordAccepted(m.Index) {
		n.maybeCommit()
		n.maybeSendTimeoutNow()
	}
	n.leaderState.appendDue = true
	return nil
}

func (n *Node) handleHeartbeatResponse(m Message, p *progress) error {
	if m.Context > n.leaderState.heartbeatRound {
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
		p.forceAppend = true
		n.leaderState.appendDue = true
	}
	return nil
}

// maybeCommit commits the entries that are durable at a majority of the voters.
// Entries of earlier terms are committed only together with a later entry of
// the current term (Raft, section 5.4.2).
func (n *Node) maybeCommit() {
	matches := voterValues(n, n.log.lastStable(), func(p *progress) uint64 { return p.match })
	index := kthLargest(matches, n.members.latest().quorum())
	if index > n.log.commit && n.log.matches(index, n.term) {
		n.commitTo(index)
		n.leaderState.commitDue = true
	}
}

// flush sends the messages for all proposals and reads accepted since the last
// Ready, so that they share messages.
func (n *Node) flush() {
	if n.role != Leader {
		return
	}
	n.startReadRound()
	if !n.leaderState.appendDue && !n.leaderState.commitDue {
		return
	}
	for _, id := range n.members.latest().memberIDs() {
		if p := n.leaderState.progress[id]; p != nil {
			empty := n.leaderState.commitDue || p.forceAppend
			p.forceAppend = false
			for n.sendAppend(id, p, empty) {
				empty = false
			}
		}
	}
	n.leaderState.appendDue, n.leaderState.commitDue = false, false
}

// sendAppend sends the next append message or a snapshot, unless the progress
// of the member is paused. If empty is set, it sends an append message even
// without entries. It reports whether entries were sent.
func (n *Node) sendAppend(id uint64, p *progress, empty bool) bool {
	if p.paused(n.cfg.MaxInflight) {
		return false
	}
	term, ok := n.log.term(p.next - 1)
	if !ok {
		n.sendSnapshot(id, p)
		return false
	}
	entries := n.log.entriesFrom(p.next, n.cfg.MaxEntriesPerMessage, n.cfg.MaxBytesPerMessage)
	if len(entries) == 0 && !empty {
		return false
	}
	n.send(Message{
		Type: MsgAppend, To: id, Index: p.next - 1, LogTerm: term,
		Commit: n.log.commit, Entries: entries,
	})
	p.recordSent(len(entries))
	return len(entries) > 0
}

func (n *Node) sendSnapshot(id uint64, p *progress) {
	s := n.log.snapshot
	p.snapshot(s.Index, n.ticks)
	n.send(Message{Type: MsgSnapshot, To: id, Snapshot: &s})
}

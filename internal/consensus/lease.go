package consensus

// heartbeatRound is a set of heartbeats sent to all members at once. startTick
// is the tick at which they were sent.
type heartbeatRound struct {
	number    uint64
	startTick int64
}

// pendingRead is a read that waits until a majority acknowledges a heartbeat
// round that was started after the read arrived. heartbeatRound is 0 until that
// round is started.
type pendingRead struct {
	context, index, heartbeatRound uint64
}

// startHeartbeatRound sends a heartbeat to every member. The commit index in it
// is limited to the entries that the member is known to have.
func (n *Node) startHeartbeatRound() {
	n.elapsedTicks = 0
	n.leaderState.heartbeatRound++
	n.dropExpiredRounds()
	n.leaderState.rounds = append(n.leaderState.rounds, heartbeatRound{n.leaderState.heartbeatRound, n.ticks})
	for _, id := range n.members.latest().memberIDs() {
		if p := n.leaderState.progress[id]; p != nil {
			n.send(Message{
				Type: MsgHeartbeat, To: id, Context: n.leaderState.heartbeatRound,
				Commit: min(n.log.commit, p.match),
			})
		}
	}
}

// dropExpiredRounds drops the rounds that are too old to extend a lease.
func (n *Node) dropExpiredRounds() {
	kept := n.leaderState.rounds
	for len(kept) > 0 && n.ticks-kept[0].startTick >= int64(n.cfg.ElectionTicks) {
		kept = kept[1:]
	}
	n.leaderState.rounds = kept
}

func (n *Node) acknowledgeRound(number uint64, p *progress) {
	if number <= p.ackedRound {
		return
	}
	p.ackedRound = number
	if len(n.leaderState.rounds) > 0 && number >= n.leaderState.rounds[0].number {
		p.ackedRoundStart = n.leaderState.rounds[number-n.leaderState.rounds[0].number].startTick
	}
	n.completeReads()
}

// LeaseTicks returns the number of ticks during which no other member can
// become leader. It returns 0 if this member is not the leader, has not
// committed an entry of its term, or holds no lease. The lease counts from the
// start of the latest heartbeat round that a majority of the current voters
// acknowledged, because each of them refuses to vote for ElectionTicks after it
// received the heartbeat.
//
// While the result is positive, the state applied up to Status.Commit is
// current.
func (n *Node) LeaseTicks() int {
	if n.role != Leader || n.leaderState.leaseRevoked || n.log.commit < n.leaderState.termStart {
		return 0
	}
	leaseStart := kthLargest(voterValues(n, n.ticks, func(p *progress) int64 { return p.ackedRoundStart }), n.members.latest().quorum())
	remaining := leaseStart + int64(n.cfg.ElectionTicks-n.cfg.LeaseMarginTicks) - n.ticks
	return int(max(remaining, 0))
}

// ReadIndex requests a linearizable read. The result is returned as a ReadState
// with the same context, after a majority has confirmed the leadership of this
// member.
func (n *Node) ReadIndex(context uint64) error {
	if err := n.requireLeader(); err != nil {
		return err
	}
	// Entries that earlier leaders committed have indexes below the start of
	// this term.
	index := max(n.log.commit, n.leaderState.termStart)
	n.leaderState.reads = append(n.leaderState.reads, pendingRead{context: context, index: index})
	return nil
}

// startReadRound starts one heartbeat round for all pending reads that have
// none.
func (n *Node) startReadRound() {
	reads := n.leaderState.reads
	if len(reads) == 0 || reads[len(reads)-1].heartbeatRound != 0 {
		return
	}
	n.startHeartbeatRound()
	for i := len(reads) - 1; i >= 0 && reads[i].heartbeatRound == 0; i-- {
		reads[i].heartbeatRound = n.leaderState.heartbeatRound
	}
	n.completeReads()
}

// completeReads returns the results of the reads whose round a majority
// acknowledged.
func (n *Node) completeReads() {
	ackedRounds := voterValues(n, n.leaderState.heartbeatRound, func(p *progress) uint64 { return p.ackedRound })
	quorumRound := kthLargest(ackedRounds, n.members.latest().quorum())
	for len(n.leaderState.reads) > 0 {
		read := n.leaderState.reads[0]
		if read.heartbeatRound == 0 || read.heartbeatRound > quorumRound {
			return
		}
		n.reads = append(n.reads, ReadState{Context: read.context, Index: read.index})
		n.leaderState.reads = n.leaderState.reads[1:]
	}
}

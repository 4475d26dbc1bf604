package consensus

// round is a heartbeat round and the tick at which it was started.
type round struct {
	number uint64
	tick   int64
}

// pendingRead waits until a round that started after it is acknowledged; its
// round is 0 until then.
type pendingRead struct {
	context, index, round uint64
}

// startRound sends a heartbeat to every member. The commit index sent is
// bounded by what the member is known to hold.
func (n *Node) startRound() {
	n.elapsed = 0
	n.lead.round++
	n.trimRounds()
	n.lead.rounds = append(n.lead.rounds, round{n.lead.round, n.ticks})
	for _, id := range n.members.latest().all() {
		if p := n.lead.progress[id]; p != nil {
			n.send(Message{
				Type: MsgHeartbeat, To: id, Context: n.lead.round,
				Commit: min(n.log.commit, p.match),
			})
		}
	}
}

// trimRounds forgets rounds that are too old to count for a lease.
func (n *Node) trimRounds() {
	r := n.lead.rounds
	for len(r) > 0 && n.ticks-r[0].tick >= int64(n.cfg.ElectionTicks) {
		r = r[1:]
	}
	n.lead.rounds = r
}

func (n *Node) acknowledgeRound(number uint64, p *progress) {
	if number <= p.ackRound {
		return
	}
	p.ackRound = number
	if len(n.lead.rounds) > 0 && number >= n.lead.rounds[0].number {
		p.ackTick = n.lead.rounds[number-n.lead.rounds[0].number].tick
	}
	n.releaseReads()
}

// LeaseTicks returns the number of ticks for which no other member can become
// leader, or 0 if this member does not lead, has not committed an entry of its
// term, or holds no lease. The lease counts from the start of the latest
// heartbeat round that a majority of the current voters acknowledged: each of
// them refuses to vote for ElectionTicks after it received the heartbeat.
//
// While it is positive, the state applied up to Status.Commit is current.
func (n *Node) LeaseTicks() int {
	if n.role != Leader || n.lead.leaseVoid || n.log.commit < n.lead.start {
		return 0
	}
	base := kthLargest(collect(n, n.ticks, func(p *progress) int64 { return p.ackTick }), n.members.latest().quorum())
	left := base + int64(n.cfg.ElectionTicks-n.cfg.LeaseMarginTicks) - n.ticks
	return int(max(left, 0))
}

// ReadIndex asks for a linearizable read. The answer comes as a ReadState with
// the same context, after a majority confirmed this member's leadership.
func (n *Node) ReadIndex(context uint64) error {
	if err := n.mustLead(); err != nil {
		return err
	}
	// Entries committed by earlier leaders lie below the start of the term.
	index := max(n.log.commit, n.lead.start)
	n.lead.reads = append(n.lead.reads, pendingRead{context: context, index: index})
	return nil
}

// flushReads starts one heartbeat round for all reads that lack one.
func (n *Node) flushReads() {
	reads := n.lead.reads
	if len(reads) == 0 || reads[len(reads)-1].round != 0 {
		return
	}
	n.startRound()
	for i := len(reads) - 1; i >= 0 && reads[i].round == 0; i-- {
		reads[i].round = n.lead.round
	}
	n.releaseReads()
}

// releaseReads answers the reads whose round a majority acknowledged.
func (n *Node) releaseReads() {
	rounds := collect(n, n.lead.round, func(p *progress) uint64 { return p.ackRound })
	acknowledged := kthLargest(rounds, n.members.latest().quorum())
	for len(n.lead.reads) > 0 {
		r := n.lead.reads[0]
		if r.round == 0 || r.round > acknowledged {
			return
		}
		n.reads = append(n.reads, ReadState{Context: r.context, Index: r.index})
		n.lead.reads = n.lead.reads[1:]
	}
}

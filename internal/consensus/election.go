package consensus

// canVote reports whether this member may grant votes. A member whose log
// names no membership with its ID has an empty or foreign log; it must not
// vote, since it cannot know what it promised before.
func (n *Node) canVote() bool { return !n.removed && n.members.latest().Has(n.cfg.ID) }

func (n *Node) canCampaign() bool { return !n.removed && n.members.latest().IsVoter(n.cfg.ID) }

// preCampaign asks whether an election could be won, without entering a new
// term. An isolated member thus cannot disturb the group when it returns.
func (n *Node) preCampaign() {
	if !n.canCampaign() || n.sinceLeader < n.cfg.ElectionTicks {
		return
	}
	n.role, n.leader = PreCandidate, 0
	n.votes = map[uint64]bool{n.cfg.ID: true}
	// The next attempt comes sooner than a full timeout: members that refused
	// because they heard the old leader a little later agree by then.
	n.timeout = n.cfg.ElectionTicks/2 + n.rng.IntN(n.cfg.ElectionTicks/2+1) + 1
	if n.countVotes() {
		n.campaign(0)
		return
	}
	n.requestVotes(MsgPreVote, n.term+1, 0)
}

// campaign enters a new term and asks for votes. The context ContextTransfer
// is allowed only when the leader of the present term has given up its lease.
func (n *Node) campaign(context uint64) {
	if n.role == Leader {
		n.loseLeadership()
	}
	n.term++
	n.vote = n.cfg.ID
	n.role, n.leader = Candidate, 0
	n.votes = map[uint64]bool{n.cfg.ID: true}
	n.resetTimeout()
	if n.countVotes() {
		n.becomeLeader()
		return
	}
	n.requestVotes(MsgVote, n.term, context)
}

func (n *Node) requestVotes(t MessageType, term, context uint64) {
	for _, id := range n.members.latest().Voters {
		if id != n.cfg.ID {
			n.send(Message{
				Type: t, To: id, Term: term, Context: context,
				Index: n.log.last(), LogTerm: n.log.lastTerm(),
			})
		}
	}
}

// countVotes reports whether a majority of the current voters granted a vote.
// Votes of learners, removed and unknown IDs do not count.
func (n *Node) countVotes() bool {
	members, granted := n.members.latest(), 0
	for _, id := range members.Voters {
		if n.votes[id] {
			granted++
		}
	}
	return granted >= members.quorum()
}

func (n *Node) handlePreVote(m Message) {
	granted := m.Term > n.term && n.canVote() && !n.sticky() && n.log.upToDate(m.Index, m.LogTerm)
	r := Message{Type: MsgPreVoteResponse, To: m.From, Reject: !granted}
	if granted {
		r.Term = m.Term
	}
	n.send(r)
}

func (n *Node) handleVote(m Message) {
	free := n.vote == m.From || n.vote == 0 && n.leader == 0
	granted := free && n.canVote() && n.log.upToDate(m.Index, m.LogTerm)
	if granted {
		n.vote = m.From
		n.resetTimeout()
	}
	n.send(Message{Type: MsgVoteResponse, To: m.From, Reject: !granted})
}

func (n *Node) handlePreVoteResponse(m Message) {
	if n.role != PreCandidate || m.Reject || m.Term != n.term+1 {
		return
	}
	n.votes[m.From] = true
	if n.countVotes() {
		n.campaign(0)
	}
}

func (n *Node) handleVoteResponse(m Message) {
	if n.role != Candidate || m.Reject || m.Term != n.term {
		return
	}
	n.votes[m.From] = true
	if n.countVotes() {
		n.becomeLeader()
	}
}

func (n *Node) handleTimeoutNow(m Message) {
	if n.role == Follower && n.leader == m.From && n.canCampaign() {
		n.campaign(ContextTransfer)
	}
}

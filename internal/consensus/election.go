package consensus

// splitVoteTicks is the number of ticks after which one of two competing candidates tries again.
const splitVoteTicks = 2

// canVote reports whether this member may grant votes. If the membership in its
// log does not contain its ID, the log is empty or belongs to another member.
// The member must not vote then, because it cannot know which votes and leases
// it granted before.
func (n *Node) canVote() bool { return !n.removed && n.members.latest().Has(n.cfg.ID) }

func (n *Node) canCampaign() bool { return !n.removed && n.members.latest().IsVoter(n.cfg.ID) }

// preCampaign asks the voters whether they would grant a vote, without entering
// a new term. An isolated member therefore does not disrupt the group when it
// reconnects.
func (n *Node) preCampaign() {
	if !n.canCampaign() || n.ticksSinceLeader < n.cfg.ElectionTicks {
		return
	}
	n.role, n.leaderID = PreCandidate, 0
	n.votes = map[uint64]bool{n.cfg.ID: true}
	// The next attempt follows after less than a full election timeout. Members
	// that refused because their last contact with the old leader was slightly
	// later will grant the vote by then.
	n.electionTimeout = n.cfg.ElectionTicks/2 + n.rng.IntN(n.cfg.ElectionTicks/2+1) + 1
	if n.countVotes() {
		n.campaign(0)
		return
	}
	n.requestVotes(MsgPreVote, n.term+1, 0)
}

// campaign enters a new term and requests votes. ContextTransfer is allowed as
// context only if the leader of the current term has given up its lease.
func (n *Node) campaign(context uint64) {
	if n.role == Leader {
		n.loseLeadership()
	}
	n.term++
	n.vote = n.cfg.ID
	n.role, n.leaderID = Candidate, 0
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

// countVotes reports whether a majority of the current voters granted their
// votes. Votes of learners, removed members and unknown IDs are not counted.
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
	granted := m.Term > n.term && n.canVote() && !n.leaderMayHoldLease() && n.log.upToDate(m.Index, m.LogTerm)
	response := Message{Type: MsgPreVoteResponse, To: m.From, Reject: !granted}
	if granted {
		response.Term = m.Term
	}
	n.send(response)
}

func (n *Node) handleVote(m Message) {
	voteAvailable := n.vote == m.From || n.vote == 0 && n.leaderID == 0
	granted := voteAvailable && n.canVote() && n.log.upToDate(m.Index, m.LogTerm)
	if granted {
		n.vote = m.From
		n.resetTimeout()
	}
	if n.role == Candidate && m.From < n.cfg.ID {
		// Both members have voted for themselves, so that neither may win. The one with the
		// higher ID tries again at once, unless it hears from a leader before.
		n.elapsedTicks = max(n.elapsedTicks, n.electionTimeout-splitVoteTicks)
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
	if n.role == Follower && n.leaderID == m.From && n.canCampaign() {
		n.campaign(ContextTransfer)
	}
}

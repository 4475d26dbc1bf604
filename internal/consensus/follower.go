package consensus

import "errors"

// errDiverged means that the logs of two members contradict each other: for
// example, a leader contradicts entries that this member knows to be committed.
// One of the two members has lost durable state.
var errDiverged = errors.New("leader contradicts committed entries")

// handleFromLeader handles the message types that only the leader of the
// current term sends.
func (n *Node) handleFromLeader(m Message) error {
	if n.role == Leader {
		return Error.Wrap(errDiverged)
	}
	if n.role != Follower || n.leaderID != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.elapsedTicks, n.ticksSinceLeader = 0, 0
	switch m.Type {
	case MsgAppend:
		return n.handleAppend(m)
	case MsgHeartbeat:
		return n.handleHeartbeat(m)
	}
	return n.handleSnapshot(m)
}

func (n *Node) handleHeartbeat(m Message) error {
	if m.Commit > n.log.last() {
		return Error.Wrap(errDiverged)
	}
	n.commitTo(m.Commit)
	n.send(Message{Type: MsgHeartbeatResponse, To: m.From, Context: m.Context})
	return nil
}

func (n *Node) handleAppend(m Message) error {
	if !validEntries(m) {
		return ErrInvalidMessage
	}
	if m.Index < n.log.commit {
		n.send(Message{Type: MsgAppendResponse, To: m.From, Index: n.log.commit})
		return nil
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		hint, term := n.log.hint(m.Index, m.LogTerm)
		n.send(Message{
			Type: MsgAppendResponse, To: m.From, Reject: true,
			Index: m.Index, RejectHint: hint, LogTerm: term,
		})
		return nil
	}
	if len(m.Entries) > 0 && n.log.committedBytes() >= n.cfg.MaxLogBytes {
		// The leader repeats the message once it finds that the entries are missing.
		n.commitTo(min(m.Commit, m.Index))
		return ErrBusy
	}
	if err := n.appendMissing(m.Entries); err != nil {
		return err
	}
	last := m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, last))
	n.send(Message{Type: MsgAppendResponse, To: m.From, Index: last})
	return nil
}

// validEntries reports whether the entries directly follow (Index, LogTerm) and
// their terms neither decrease nor exceed the term of the message.
func validEntries(m Message) bool {
	term := m.LogTerm
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 || e.Term < term || e.Term > m.Term {
			return false
		}
		term = e.Term
	}
	return true
}

// appendMissing appends the entries that the log does not have yet. It first
// truncates entries that conflict with those of the leader, and reverts the
// memberships that they established.
func (n *Node) appendMissing(entries []Entry) error {
	for len(entries) > 0 && n.log.matches(entries[0].Index, entries[0].Term) {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	if first <= n.log.commit {
		return Error.Wrap(errDiverged)
	}
	members, err := n.members.truncate(first).extend(entries)
	if err != nil {
		return err
	}
	if first <= n.log.last() {
		n.log.truncate(first)
	}
	n.log.append(entries...)
	n.members = members
	return nil
}

func (n *Node) handleSnapshot(m Message) error {
	if m.Snapshot == nil || m.Snapshot.Index == 0 || m.Snapshot.Term > m.Term {
		return ErrInvalidMessage
	}
	s := *m.Snapshot
	switch {
	case s.Index <= n.log.commit:
	case n.log.matches(s.Index, s.Term):
		n.commitTo(s.Index)
	default:
		n.log.restore(s)
		n.members = membershipHistory{{s.Index, s.Members}}
		n.detectRemoval()
	}
	n.send(Message{Type: MsgAppendResponse, To: m.From, Index: n.log.commit})
	return nil
}

// commitTo advances the commit index. The commit index never decreases.
func (n *Node) commitTo(index uint64) {
	if n.log.commitTo(index) {
		n.detectRemoval()
	}
}

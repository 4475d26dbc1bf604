// Package wire converts consensus messages to and from protocol buffers.
package wire

import (
	"auburnstep.example/auburnstep/internal/consensus"
	"auburnstep.example/auburnstep/internal/rpc/consensusv1"
)

// FromMessage returns the protobuf form of m. Byte slices are shared, not
// copied.
func FromMessage(m consensus.Message) *consensusv1.Message {
	p := &consensusv1.Message{
		Type: int32(m.Type), From: m.From, To: m.To, Term: m.Term, LogTerm: m.LogTerm,
		Index: m.Index, Commit: m.Commit, Reject: m.Reject, RejectHint: m.RejectHint,
		Context: m.Context, Entries: FromEntries(m.Entries),
	}
	if m.Snapshot != nil {
		p.Snapshot = FromSnapshot(*m.Snapshot)
	}
	return p
}

// ToMessage returns the message that p describes. It fails if the message type
// or the kind of an entry is unknown, which happens if the sender runs a newer
// version.
func ToMessage(p *consensusv1.Message) (consensus.Message, error) {
	t := p.GetType()
	if t < int32(consensus.MsgPreVote) || t > int32(consensus.MsgRemoved) {
		return consensus.Message{}, consensus.ErrInvalidMessage
	}
	entries, err := ToEntries(p.GetEntries())
	if err != nil {
		return consensus.Message{}, err
	}
	m := consensus.Message{
		Type: consensus.MessageType(t), From: p.GetFrom(), To: p.GetTo(), Term: p.GetTerm(),
		LogTerm: p.GetLogTerm(), Index: p.GetIndex(), Commit: p.GetCommit(), Reject: p.GetReject(),
		RejectHint: p.GetRejectHint(), Context: p.GetContext(), Entries: entries,
	}
	if p.GetSnapshot() != nil {
		s := ToSnapshot(p.GetSnapshot())
		m.Snapshot = &s
	}
	return m, nil
}

// FromEntries returns the protobuf form of the entries.
func FromEntries(entries []consensus.Entry) []*consensusv1.Entry {
	if len(entries) == 0 {
		return nil
	}
	out := make([]*consensusv1.Entry, len(entries))
	for i, e := range entries {
		out[i] = &consensusv1.Entry{Index: e.Index, Term: e.Term, Kind: int32(e.Kind), Data: e.Data}
	}
	return out
}

// ToEntries returns the entries that p describes. It fails if the kind of an
// entry is unknown.
func ToEntries(p []*consensusv1.Entry) ([]consensus.Entry, error) {
	if len(p) == 0 {
		return nil, nil
	}
	out := make([]consensus.Entry, len(p))
	for i, e := range p {
		if k := e.GetKind(); k < int32(consensus.EntryNormal) || k > int32(consensus.EntryNoop) {
			return nil, consensus.ErrInvalidMessage
		}
		out[i] = consensus.Entry{
			Index: e.GetIndex(), Term: e.GetTerm(), Kind: consensus.EntryKind(e.GetKind()), Data: e.GetData(),
		}
	}
	return out, nil
}

// FromSnapshot returns the protobuf form of s.
func FromSnapshot(s consensus.Snapshot) *consensusv1.Snapshot {
	return &consensusv1.Snapshot{
		Index: s.Index, Term: s.Term, Data: s.Data,
		Members: &consensusv1.Membership{
			Voters: s.Members.Voters, Learners: s.Members.Learners, Removed: s.Members.Removed,
		},
	}
}

// ToSnapshot returns the snapshot that p describes.
func ToSnapshot(p *consensusv1.Snapshot) consensus.Snapshot {
	m := p.GetMembers()
	return consensus.Snapshot{
		Index: p.GetIndex(), Term: p.GetTerm(), Data: p.GetData(),
		Members: consensus.Membership{
			Voters: m.GetVoters(), Learners: m.GetLearners(), Removed: m.GetRemoved(),
		},
	}
}

package consensus

import (
	"encoding/binary"
	"slices"
)

// changeSize is the length of an encoded MembershipChange: one byte for the
// kind and eight for the ID.
const changeSize = 1 + 8

// Has reports whether id is a voter or a learner.
func (m Membership) Has(id uint64) bool { return m.IsVoter(id) || m.IsLearner(id) }

// IsVoter reports whether id is a voter.
func (m Membership) IsVoter(id uint64) bool { return contains(m.Voters, id) }

// IsLearner reports whether id is a learner.
func (m Membership) IsLearner(id uint64) bool { return contains(m.Learners, id) }

// IsRemoved reports whether id is a former member that was removed.
func (m Membership) IsRemoved(id uint64) bool { return contains(m.Removed, id) }

// quorum returns the number of voters that form a majority.
func (m Membership) quorum() int { return len(m.Voters)/2 + 1 }

// memberIDs returns the IDs of all voters and learners in ascending order.
func (m Membership) memberIDs() []uint64 {
	ids := append(slices.Clone(m.Voters), m.Learners...)
	slices.Sort(ids)
	return ids
}

// Apply returns the membership after the change. It fails if the change does
// not apply to m, which ensures that no ID is used twice and that at least one
// voter remains.
func (m Membership) Apply(c MembershipChange) (Membership, error) {
	if c.ID == 0 {
		return m, ErrInvalidChange
	}
	if m.IsRemoved(c.ID) {
		return m, ErrRemovedID
	}
	switch {
	case c.Kind == AddLearner && !m.Has(c.ID):
		m.Learners = insertID(m.Learners, c.ID)
	case c.Kind == PromoteLearner && m.IsLearner(c.ID):
		m.Learners = removeID(m.Learners, c.ID)
		m.Voters = insertID(m.Voters, c.ID)
	case c.Kind == RemoveMember && m.Has(c.ID) && !(len(m.Voters) == 1 && m.IsVoter(c.ID)):
		m.Voters = removeID(m.Voters, c.ID)
		m.Learners = removeID(m.Learners, c.ID)
		m.Removed = insertID(m.Removed, c.ID)
	default:
		return m, ErrInvalidChange
	}
	return m, nil
}

// EncodeChange encodes a change as the data of an EntryConfig entry.
func EncodeChange(c MembershipChange) []byte {
	b := make([]byte, 0, changeSize)
	b = append(b, byte(c.Kind))
	return binary.BigEndian.AppendUint64(b, c.ID)
}

// DecodeChange decodes the data of an EntryConfig entry.
func DecodeChange(data []byte) (MembershipChange, error) {
	if len(data) != changeSize {
		return MembershipChange{}, ErrInvalidChange
	}
	return MembershipChange{Kind: ChangeKind(data[0]), ID: binary.BigEndian.Uint64(data[1:])}, nil
}

// Bootstrap returns the initial state of the voters of a new cluster. The
// driver stores the snapshot and the hard state before it calls New. Members
// that join later start with an empty disk and are added as learners.
func Bootstrap(voters ...uint64) Restored {
	m := Membership{Voters: slices.Clone(voters)}
	slices.Sort(m.Voters)
	return Restored{
		HardState: HardState{Term: 1, Commit: 1},
		Snapshot:  Snapshot{Index: 1, Term: 1, Members: m},
	}
}

func contains(ids []uint64, id uint64) bool {
	_, ok := slices.BinarySearch(ids, id)
	return ok
}

func insertID(ids []uint64, id uint64) []uint64 {
	i, _ := slices.BinarySearch(ids, id)
	return slices.Insert(slices.Clone(ids), i, id)
}

func removeID(ids []uint64, id uint64) []uint64 {
	i, ok := slices.BinarySearch(ids, id)
	if !ok {
		return ids
	}
	return slices.Delete(slices.Clone(ids), i, i+1)
}

// indexedMembership is a membership and the index of the entry that established
// it.
type indexedMembership struct {
	index   uint64
	members Membership
}

// membershipHistory holds the membership in force at the latest snapshot and
// all later ones. A membership is in force as soon as its entry is appended; if
// the entry is truncated, the previous membership is in force again.
type membershipHistory []indexedMembership

func (h membershipHistory) latest() Membership { return h[len(h)-1].members }

func (h membershipHistory) latestIndex() uint64 { return h[len(h)-1].index }

// at returns the membership in force at the given index.
func (h membershipHistory) at(index uint64) Membership {
	for i := len(h) - 1; i > 0; i-- {
		if h[i].index <= index {
			return h[i].members
		}
	}
	return h[0].members
}

// extend returns the history after the given entries are appended.
func (h membershipHistory) extend(entries []Entry) (membershipHistory, error) {
	for _, e := range entries {
		if e.Kind != EntryConfig {
			continue
		}
		change, err := DecodeChange(e.Data)
		if err != nil {
			return h, err
		}
		m, err := h.latest().Apply(change)
		if err != nil {
			return h, err
		}
		h = append(h, indexedMembership{e.Index, m})
	}
	return h, nil
}

// truncate drops the memberships established by entries from index on.
func (h membershipHistory) truncate(index uint64) membershipHistory {
	n := len(h)
	for n > 1 && h[n-1].index >= index {
		n--
	}
	return h[:n:n]
}

// compact drops the memberships that were superseded at or before index.
func (h membershipHistory) compact(index uint64) membershipHistory {
	i := len(h) - 1
	for i > 0 && h[i].index > index {
		i--
	}
	return slices.Clone(h[i:])
}

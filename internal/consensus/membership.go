package consensus

import (
	"encoding/binary"
	"slices"
)

// changeSize is the length of an encoded MembershipChange: kind and ID.
const changeSize = 1 + 8

// Has reports whether id is a voter or learner.
func (m Membership) Has(id uint64) bool { return m.IsVoter(id) || m.IsLearner(id) }

// IsVoter reports whether id has a vote.
func (m Membership) IsVoter(id uint64) bool { return contains(m.Voters, id) }

// IsLearner reports whether id is a learner.
func (m Membership) IsLearner(id uint64) bool { return contains(m.Learners, id) }

// IsRemoved reports whether id was a member before and was removed.
func (m Membership) IsRemoved(id uint64) bool { return contains(m.Removed, id) }

// quorum is the number of voters that make a majority.
func (m Membership) quorum() int { return len(m.Voters)/2 + 1 }

// all returns voters and learners in order of ID.
func (m Membership) all() []uint64 {
	ids := append(slices.Clone(m.Voters), m.Learners...)
	slices.Sort(ids)
	return ids
}

// Apply returns the membership after the change. It fails on a change that
// does not fit, so that no ID is used twice and a voter always remains.
func (m Membership) Apply(c MembershipChange) (Membership, error) {
	if c.ID == 0 {
		return m, ErrInvalidChange
	}
	if m.IsRemoved(c.ID) {
		return m, ErrRemovedID
	}
	switch {
	case c.Kind == AddLearner && !m.Has(c.ID):
		m.Learners = with(m.Learners, c.ID)
	case c.Kind == PromoteLearner && m.IsLearner(c.ID):
		m.Learners = without(m.Learners, c.ID)
		m.Voters = with(m.Voters, c.ID)
	case c.Kind == RemoveMember && m.Has(c.ID) && !(len(m.Voters) == 1 && m.IsVoter(c.ID)):
		m.Voters = without(m.Voters, c.ID)
		m.Learners = without(m.Learners, c.ID)
		m.Removed = with(m.Removed, c.ID)
	default:
		return m, ErrInvalidChange
	}
	return m, nil
}

// EncodeChange returns the data of an EntryConfig entry.
func EncodeChange(c MembershipChange) []byte {
	b := make([]byte, 0, changeSize)
	b = append(b, byte(c.Kind))
	return binary.BigEndian.AppendUint64(b, c.ID)
}

// DecodeChange reads the data of an EntryConfig entry.
func DecodeChange(data []byte) (MembershipChange, error) {
	if len(data) != changeSize {
		return MembershipChange{}, ErrInvalidChange
	}
	return MembershipChange{Kind: ChangeKind(data[0]), ID: binary.BigEndian.Uint64(data[1:])}, nil
}

// Bootstrap returns the state with which every initial voter of a new cluster
// starts. Drivers save the snapshot and the hard state before calling New.
// Later members start from an empty disk and are added as learners.
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

func with(ids []uint64, id uint64) []uint64 {
	i, _ := slices.BinarySearch(ids, id)
	return slices.Insert(slices.Clone(ids), i, id)
}

func without(ids []uint64, id uint64) []uint64 {
	i, ok := slices.BinarySearch(ids, id)
	if !ok {
		return ids
	}
	return slices.Delete(slices.Clone(ids), i, i+1)
}

// membershipAt is a membership and the index of the entry that made it.
type membershipAt struct {
	index   uint64
	members Membership
}

// history holds the memberships from the latest snapshot on. A membership is
// in force from the moment its entry is appended; truncating the entry returns
// to the one before.
type history []membershipAt

func (h history) latest() Membership { return h[len(h)-1].members }

func (h history) latestIndex() uint64 { return h[len(h)-1].index }

// at returns the membership in force at index.
func (h history) at(index uint64) Membership {
	for i := len(h) - 1; i > 0; i-- {
		if h[i].index <= index {
			return h[i].members
		}
	}
	return h[0].members
}

// extend returns the history after the given entries.
func (h history) extend(entries []Entry) (history, error) {
	for _, e := range entries {
		if e.Kind != EntryConfig {
			continue
		}
		c, err := DecodeChange(e.Data)
		if err != nil {
			return h, err
		}
		m, err := h.latest().Apply(c)
		if err != nil {
			return h, err
		}
		h = append(h, membershipAt{e.Index, m})
	}
	return h, nil
}

// truncate drops the memberships made by entries from index on.
func (h history) truncate(index uint64) history {
	n := len(h)
	for n > 1 && h[n-1].index >= index {
		n--
	}
	return h[:n:n]
}

// compact drops memberships that were replaced at or before index.
func (h history) compact(index uint64) history {
	i := len(h) - 1
	for i > 0 && h[i].index > index {
		i--
	}
	return slices.Clone(h[i:])
}

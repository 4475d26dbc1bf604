package wire_test

import (
	"testing"

	"auburnstep.example/auburnstep/internal/consensus"
	"auburnstep.example/auburnstep/internal/consensus/wire"
	"auburnstep.example/auburnstep/internal/rpc/consensusv1"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
)

// TestRoundTrip guards against a message field that the conversion drops.
func TestRoundTrip(t *testing.T) {
	c := qt.New(t)
	m := consensus.Message{
		Type: consensus.MsgSnapshot, From: 1, To: 2, Term: 3, LogTerm: 4, Index: 5, Commit: 6,
		Reject: true, RejectHint: 7, Context: 8,
		Entries: []consensus.Entry{{Index: 9, Term: 10, Kind: consensus.EntryConfig, Data: []byte("d")}},
		Snapshot: &consensus.Snapshot{
			Index: 11, Term: 12, Data: []byte("s"),
			Members: consensus.Membership{Voters: []uint64{1, 2}, Learners: []uint64{3}, Removed: []uint64{4}},
		},
	}
	b, err := proto.Marshal(wire.FromMessage(m))
	c.Assert(err, qt.IsNil)
	var p consensusv1.Message
	c.Assert(proto.Unmarshal(b, &p), qt.IsNil)
	got, err := wire.ToMessage(&p)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, m)
}

// TestRejectsUnknownKinds guards against a message whose type or entry kind is
// unknown, or is mistaken for a known one because it is truncated to eight
// bits.
func TestRejectsUnknownKinds(t *testing.T) {
	tests := []struct {
		name string
		m    *consensusv1.Message
	}{
		{"empty", &consensusv1.Message{}},
		{"type of a newer version", &consensusv1.Message{Type: 200}},
		{"type out of range", &consensusv1.Message{Type: 256 + int32(consensus.MsgVote)}},
		{"entry kind", &consensusv1.Message{Type: 5, Entries: []*consensusv1.Entry{{Kind: 256}}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := wire.ToMessage(test.m)
			qt.New(t).Assert(err, qt.ErrorIs, consensus.ErrInvalidMessage)
		})
	}
}

// Package feed is an instance's side of the control members: a client that
// keeps the settings, the group assignments and the entry list current, and a
// client for booking records.
package feed

import (
	"encoding/binary"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// Error is the class of errors of this package.
var Error = errs.Class("feed")

const (
	// FreshFor is how long an answer of the leader is valid, counted from the
	// moment the poll was sent.
	FreshFor = 3 * time.Second
	// GroupLease is how long an answer that names this instance as holder of a
	// group lets it act as such, counted in the same way.
	GroupLease = 2 * time.Second
	// PollInterval is the mean time between polls.
	PollInterval = 250 * time.Millisecond
)

// DirectoryVersion identifies the assignments, entries and members of an
// answer. The leader leaves them out for a receiver that has them. entries is
// EntriesVersion of the entries, which the leader computes less often.
func DirectoryVersion(r *controlv1.FeedResponse, entries uint64) uint64 {
	h := xxhash.New()
	add(h, r.GetAssignments())
	_, _ = h.WriteString(strings.Join(r.GetMembers(), "\x00"))
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, entries))
	return h.Sum64()
}

// EntriesVersion identifies a list of entries.
func EntriesVersion(entries []*controlv1.EntryInfo) uint64 {
	h := xxhash.New()
	add(h, entries)
	return h.Sum64()
}

func add[M proto.Message](h *xxhash.Digest, messages []M) {
	var buf []byte
	for _, m := range messages {
		buf, _ = proto.MarshalOptions{Deterministic: true}.MarshalAppend(buf[:0], m)
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(buf))))
		_, _ = h.Write(buf)
	}
}

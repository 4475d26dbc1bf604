// Package feed is the client side of the control members on an instance: a client
// that keeps the settings, the routing table, the group assignments and the entry
// list up to date, and a client for booking records.
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
	// FreshFor is how long a poll response is valid, counted from the time at which
	// the poll was sent.
	FreshFor = 3 * time.Second
	// GroupLease is how long an instance may act as the holder of a group after a
	// response that assigns the group to it, counted from the time at which the poll
	// was sent.
	GroupLease = 2 * time.Second
	// PollInterval is the mean time between polls.
	PollInterval = 250 * time.Millisecond
)

// DirectoryVersion returns a hash of the assignments, entries and members of a
// response. A member omits them if the instance already has the same version.
// entries is the EntriesVersion of the entries; the leader computes it less often
// than DirectoryVersion.
func DirectoryVersion(r *controlv1.FeedResponse, entries uint64) uint64 {
	h := xxhash.New()
	hashMessages(h, r.GetAssignments())
	_, _ = h.WriteString(strings.Join(r.GetMembers(), "\x00"))
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, entries))
	return h.Sum64()
}

// EntriesVersion returns a hash of a list of entries.
func EntriesVersion(entries []*controlv1.EntryInfo) uint64 {
	h := xxhash.New()
	hashMessages(h, entries)
	return h.Sum64()
}

func hashMessages[M proto.Message](h *xxhash.Digest, messages []M) {
	var buf []byte
	for _, m := range messages {
		buf, _ = proto.MarshalOptions{Deterministic: true}.MarshalAppend(buf[:0], m)
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(buf))))
		_, _ = h.Write(buf)
	}
}

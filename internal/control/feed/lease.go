// Package feed is an instance's side of the control members: a client that
// keeps the settings, the group assignments and the entry list current, and a
// client for booking records.
package feed

import (
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
// answer. The leader leaves them out for a receiver that has them.
func DirectoryVersion(r *controlv1.FeedResponse) uint64 {
	h := xxhash.New()
	var buf []byte
	add := func(m proto.Message) {
		buf, _ = proto.MarshalOptions{Deterministic: true}.MarshalAppend(buf[:0], m)
		_, _ = h.Write(append(buf, 0xff))
	}
	for _, a := range r.GetAssignments() {
		add(a)
	}
	for _, e := range r.GetEntries() {
		add(e)
	}
	_, _ = h.WriteString(strings.Join(r.GetMembers(), "\x00"))
	return h.Sum64()
}

// Package directory discovers endpoints and entries. Endpoints announce themselves to
// any control member. Each member keeps the announcements that it received in a
// Registry, and each entry polls all members and merges their registries. Members need
// neither each other nor a leader for this, so discovery continues while there is no
// leader.
package directory

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
	"auburnstep.example/auburnstep/internal/text"
)

// Error is the class of errors of this package.
var Error = errs.Class("directory")

const (
	// announceLease is how long an endpoint counts as alive after an announcement.
	// Endpoints announce themselves about once a second, so that three announcements
	// may be lost.
	announceLease = 4 * time.Second
	// recordRetention is how long the record of a silent or gone endpoint is kept, so
	// that a delayed announcement does not make the endpoint usable again.
	recordRetention = 2 * time.Minute
	// entryLease is how long an entry is listed after its last poll. Entries
	// poll every PollInterval; four polls in a row may be lost.
	entryLease = 1500 * time.Millisecond
	// senderLease is how long an entry counts as one that sends to endpoints after its last
	// poll. An entry that polls no member uses no slack of retry budgets after this time.
	senderLease = dispatch.MaxContactAge
	// maxEndpoints bounds the endpoint records of one member: eight times the 600
	// endpoints of the two-year target, at about 300 bytes each.
	maxEndpoints = 4800
)

// Registry holds the announcements and polls that one member received. It does no I/O,
// takes the time as an argument, and is not safe for concurrent use.
type Registry struct {
	epoch     uint64
	revision  uint64
	endpoints map[string]*endpointRecord
	entries   map[string]*entryRecord
	loads     loadSums
}

type endpointRecord struct {
	endpoint *directoryv1.Endpoint
	// revision is the registry's revision at the last change other than a renewal.
	revision uint64
	lastSeen time.Time
	// confirmed is set once a majority of the members has stored the endpoint's departure.
	confirmed bool
}

type entryRecord struct {
	entry    *directoryv1.Entry
	loads    map[uint32]dispatch.Load
	lastSeen time.Time
}

// NewRegistry returns an empty registry. The epoch distinguishes two starts of a member.
func NewRegistry(epoch uint64) *Registry {
	return &Registry{
		epoch: epoch, endpoints: make(map[string]*endpointRecord), entries: make(map[string]*entryRecord),
		loads: loadSums{sums: make(map[uint32]*loadSum)},
	}
}

// Effect is what an announcement changed in a registry.
type Effect int

// Effects of Announce.
const (
	Renewed Effect = iota
	Changed
	// Stale announcements are older than the recorded one, or come from an
	// incarnation that has left.
	Stale
	// Full means that the registry holds maxEndpoints endpoints.
	Full
	// Malformed announcements name something that cannot be sent on; see isWellFormed.
	Malformed
)

// isWellFormed reports whether an endpoint can be sent to entries and members, and named in
// requests. Announcements are checked where they come in; this keeps what an earlier version has
// accepted, on another member or in the data directory, out of the messages with all others.
func isWellFormed(e *directoryv1.Endpoint) bool {
	optional := func(s string) bool { return s == "" || text.IsName(s) }
	return text.IsName(e.GetId()) && optional(e.GetService()) && optional(e.GetAddress()) && optional(e.GetFailureDomain())
}

// Announce records an announcement. Announcements may be delayed, so it ignores those of
// an earlier incarnation and those with a lower sequence number than the recorded one. It
// also ignores all announcements of an incarnation that has left.
func (r *Registry) Announce(now time.Time, e *directoryv1.Endpoint) Effect {
	if !isWellFormed(e) {
		return Malformed
	}
	rec := r.endpoints[e.Id]
	if rec == nil {
		if len(r.endpoints) >= maxEndpoints {
			return Full
		}
		rec = &endpointRecord{endpoint: &directoryv1.Endpoint{Id: e.Id, Incarnation: -1}}
		r.endpoints[e.Id] = rec
	}
	known := rec.endpoint
	switch {
	case e.Incarnation < known.Incarnation,
		e.Incarnation == known.Incarnation && (known.Gone || e.Sequence < known.Sequence):
		return Stale
	}
	rec.lastSeen = now
	changed := announcesChange(known, e)
	rec.endpoint = e
	if !changed {
		return Renewed
	}
	r.bumpRevision(rec)
	return Changed
}

// announcesChange reports whether two announcements differ. It ignores the sequence
// number, and compares the remaining warm-up time only as zero or above zero.
func announcesChange(a, b *directoryv1.Endpoint) bool {
	x, y := proto.CloneOf(a), proto.CloneOf(b)
	x.Sequence, y.Sequence = 0, 0
	x.WarmupMs, y.WarmupMs = min(x.WarmupMs, 1), min(y.WarmupMs, 1)
	return !proto.Equal(x, y)
}

// Leave marks an incarnation of an endpoint as gone; incarnation 0 stands for the
// current one. An unknown endpoint is recorded as gone too, because it may have
// announced itself to other members only. Leave reports whether anything changed.
func (r *Registry) Leave(now time.Time, id string, incarnation int64) bool {
	if !text.IsName(id) {
		return false
	}
	rec := r.endpoints[id]
	if rec == nil {
		if len(r.endpoints) >= maxEndpoints {
			return false
		}
		rec = &endpointRecord{endpoint: &directoryv1.Endpoint{Id: id, Incarnation: incarnation}}
		r.endpoints[id] = rec
	}
	known := rec.endpoint
	if known.Gone && known.Incarnation >= incarnation || incarnation != 0 && incarnation < known.Incarnation {
		return false
	}
	rec.endpoint = proto.CloneOf(known)
	rec.endpoint.Gone = true
	rec.endpoint.Incarnation = max(incarnation, known.Incarnation)
	rec.lastSeen = now
	r.bumpRevision(rec)
	return true
}

// RecordDeparture records that an endpoint is draining or gone, as another member knows it.
// It is Stale if this member knows as much or more.
func (r *Registry) RecordDeparture(now time.Time, e *directoryv1.Endpoint) Effect {
	rec := r.endpoints[e.Id]
	switch {
	case !isWellFormed(e):
		return Malformed
	case !e.Gone && !e.Draining:
		return Stale
	case rec == nil && len(r.endpoints) >= maxEndpoints:
		return Full
	case e.Gone && e.Incarnation == 0:
		if !r.Leave(now, e.Id, 0) {
			return Stale
		}
		return Changed
	case rec == nil:
		rec = &endpointRecord{}
		r.endpoints[e.Id] = rec
	case resolve(rec.endpoint, e) != e:
		return Stale
	}
	rec.endpoint, rec.lastSeen = e, now
	r.bumpRevision(rec)
	return Changed
}

// Departures returns the endpoints that are draining or gone.
func (r *Registry) Departures() (out []*directoryv1.Endpoint) {
	for _, rec := range r.endpoints {
		if rec.endpoint.Gone || rec.endpoint.Draining {
			out = append(out, rec.endpoint)
		}
	}
	return out
}

func (r *Registry) bumpRevision(rec *endpointRecord) {
	r.revision++
	rec.revision, rec.confirmed = r.revision, false
}

// Expire marks endpoints without an announcement for announceLease as silent, drops the
// load of entries without a poll for entryLease, and removes the records of both after
// recordRetention. It returns the endpoints that became silent.
func (r *Registry) Expire(now time.Time) (silent []*directoryv1.Endpoint) {
	for id, rec := range r.endpoints {
		age := now.Sub(rec.lastSeen)
		if age > recordRetention {
			delete(r.endpoints, id)
			continue
		}
		if age > announceLease && !rec.endpoint.Silent && !rec.endpoint.Gone {
			rec.endpoint = proto.CloneOf(rec.endpoint)
			rec.endpoint.Silent = true
			r.bumpRevision(rec)
			silent = append(silent, rec.endpoint)
		}
	}
	for name, e := range r.entries {
		if age := now.Sub(e.lastSeen); age > entryLease {
			r.loads.replace(e.loads, nil)
			e.loads = nil
			if age > recordRetention {
				delete(r.entries, name)
			}
		}
	}
	return silent
}

// Sync records the poll of an entry and returns the changes since its cursors. It fails
// if the poll is malformed.
func (r *Registry) Sync(now time.Time, req *directoryv1.SyncRequest) (*directoryv1.SyncResponse, error) {
	loads, err := unpackLoads(req.GetLoads())
	if err != nil {
		return nil, err
	}
	if self := req.GetSelf(); self.GetInstance() != "" {
		rec := r.entries[self.Instance]
		if rec == nil {
			rec = &entryRecord{}
			r.entries[self.Instance] = rec
		}
		r.loads.replace(rec.loads, loads)
		keepRoom(self, rec.entry, req.GetEpoch() == r.epoch)
		rec.entry, rec.loads, rec.lastSeen = self, loads, now
	}
	cursor, loadsCursor := req.GetCursor(), req.GetLoadsCursor()
	if req.GetEpoch() != r.epoch {
		cursor, loadsCursor = 0, 0
	}
	res := &directoryv1.SyncResponse{Epoch: r.epoch, Cursor: r.revision, Entries: r.countSenders(now)}
	if r.revision > cursor {
		for _, rec := range r.endpoints {
			if rec.revision > cursor {
				res.Endpoints = append(res.Endpoints, rec.endpoint)
			}
		}
	}
	slices.SortFunc(res.Endpoints, func(a, b *directoryv1.Endpoint) int { return cmp.Compare(a.Id, b.Id) })
	if req.GetWantLoads() {
		changed, whole := r.loads.since(loadsCursor)
		res.Loads, res.LoadsWhole, res.LoadsCursor = packLoads(changed), whole, r.loads.revision
	}
	return res, nil
}

// countSenders returns the number of entries that may still send to endpoints, with those
// that are draining.
func (r *Registry) countSenders(now time.Time) (n uint32) {
	for _, e := range r.entries {
		if now.Sub(e.lastSeen) <= senderLease {
			n++
		}
	}
	return n
}

// isListed reports whether the list of entries for callers includes the entry.
func (e *entryRecord) isListed(now time.Time) bool {
	return now.Sub(e.lastSeen) <= entryLease && !e.entry.GetDraining() && e.entry.GetAddress() != ""
}

// Entries returns the live entries that accept new callers, sorted by instance.
func (r *Registry) Entries(now time.Time) []*directoryv1.Entry {
	var out []*directoryv1.Entry
	for _, name := range slices.Sorted(maps.Keys(r.entries)) {
		if e := r.entries[name]; e.isListed(now) {
			out = append(out, e.entry)
		}
	}
	return out
}

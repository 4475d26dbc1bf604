// Package directory finds endpoints and entries. Endpoints announce themselves
// to any control member; each member keeps what it heard in a Registry, and
// each entry polls all members and merges their registries. No member needs the
// others or a leader for it, so that discovery goes on while there is none.
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
)

// Error is the class of errors of this package.
var Error = errs.Class("directory")

const (
	// announceLease is how long an endpoint counts as heard of after an
	// announcement. Endpoints announce about once a second; three may be lost.
	announceLease = 4 * time.Second
	// forgetAfter is how long the record of a silent or gone endpoint is kept, so
	// that a delayed announcement does not bring it back.
	forgetAfter = 2 * time.Minute
	// entryLease is how long an entry is listed after its last poll. Entries
	// poll every PollInterval; four polls in a row may be lost.
	entryLease = 1500 * time.Millisecond
	// maxEndpoints bounds the records of one member: eight times the 600 of the
	// two-year target, at about 300 bytes each.
	maxEndpoints = 4800
)

// Registry is what one member has heard. It is pure and not safe for concurrent use.
type Registry struct {
	epoch     uint64
	revision  uint64
	endpoints map[string]*endpointRecord
	entries   map[string]*entryRecord
	loads     loadSums
}

type endpointRecord struct {
	endpoint *directoryv1.Endpoint
	// revision is that of the last change other than a renewal.
	revision uint64
	heard    time.Time
}

type entryRecord struct {
	entry *directoryv1.Entry
	loads map[uint32]dispatch.Load
	heard time.Time
}

// NewRegistry returns an empty registry. The epoch tells apart two starts of a member.
func NewRegistry(epoch uint64) *Registry {
	return &Registry{
		epoch: epoch, endpoints: make(map[string]*endpointRecord), entries: make(map[string]*entryRecord),
		loads: loadSums{sums: make(map[uint32]*loadSum)},
	}
}

// Effect tells what an announcement changed.
type Effect int

// Outcomes of Announce.
const (
	Renewed Effect = iota
	Changed
	// Stale announcements are older than what is known, or come from an
	// incarnation that has left.
	Stale
	// Full means that the registry holds as many endpoints as it may.
	Full
)

// Announce records an announcement. Announcements of one incarnation count only
// in rising order, since a delayed one may arrive after its successor, and none
// counts after the incarnation has left.
func (r *Registry) Announce(now time.Time, e *directoryv1.Endpoint) Effect {
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
	rec.heard = now
	changed := differs(known, e)
	rec.endpoint = e
	if !changed {
		return Renewed
	}
	r.touch(rec)
	return Changed
}

// differs compares all but the sequence, and the cold time only between zero
// and more.
func differs(a, b *directoryv1.Endpoint) bool {
	x, y := proto.CloneOf(a), proto.CloneOf(b)
	x.Sequence, y.Sequence = 0, 0
	x.WarmupMs, y.WarmupMs = min(x.WarmupMs, 1), min(y.WarmupMs, 1)
	return !proto.Equal(x, y)
}

// Leave marks an incarnation of an endpoint as gone; incarnation 0 stands for
// the present one. An unknown endpoint is remembered as gone as well, because
// its announcements may have gone to other members. It reports whether anything
// changed.
func (r *Registry) Leave(now time.Time, id string, incarnation int64) bool {
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
	rec.heard = now
	r.touch(rec)
	return true
}

func (r *Registry) touch(rec *endpointRecord) {
	r.revision++
	rec.revision = r.revision
}

// Expire marks endpoints that were not heard of for their lease as silent and
// forgets those without a sign for long. It returns the newly silent ones.
func (r *Registry) Expire(now time.Time) (silent []*directoryv1.Endpoint) {
	for id, rec := range r.endpoints {
		age := now.Sub(rec.heard)
		if age > forgetAfter {
			delete(r.endpoints, id)
			continue
		}
		if age > announceLease && !rec.endpoint.Silent && !rec.endpoint.Gone {
			rec.endpoint = proto.CloneOf(rec.endpoint)
			rec.endpoint.Silent = true
			r.touch(rec)
			silent = append(silent, rec.endpoint)
		}
	}
	for name, e := range r.entries {
		if age := now.Sub(e.heard); age > entryLease {
			r.loads.replace(e.loads, nil)
			e.loads = nil
			if age > forgetAfter {
				delete(r.entries, name)
			}
		}
	}
	return silent
}

// Sync records the poll of an entry and returns what changed since its cursor. It
// fails if the poll is malformed.
func (r *Registry) Sync(now time.Time, q *directoryv1.SyncRequest) (*directoryv1.SyncResponse, error) {
	loads, err := unpackLoads(q.GetLoads())
	if err != nil {
		return nil, err
	}
	if self := q.GetSelf(); self.GetInstance() != "" {
		rec := r.entries[self.Instance]
		if rec == nil {
			rec = &entryRecord{}
			r.entries[self.Instance] = rec
		}
		r.loads.replace(rec.loads, loads)
		rec.entry, rec.loads, rec.heard = self, loads, now
	}
	cursor, loadsCursor := q.GetCursor(), q.GetLoadsCursor()
	if q.GetEpoch() != r.epoch {
		cursor, loadsCursor = 0, 0
	}
	out := &directoryv1.SyncResponse{Epoch: r.epoch, Cursor: r.revision, Entries: r.live(now)}
	if r.revision > cursor {
		for _, rec := range r.endpoints {
			if rec.revision > cursor {
				out.Endpoints = append(out.Endpoints, rec.endpoint)
			}
		}
	}
	slices.SortFunc(out.Endpoints, func(a, b *directoryv1.Endpoint) int { return cmp.Compare(a.Id, b.Id) })
	if q.GetWantLoads() {
		changed, whole := r.loads.since(loadsCursor)
		out.Loads, out.LoadsWhole, out.LoadsCursor = packLoads(changed), whole, r.loads.revision
	}
	return out, nil
}

// live returns the number of live entries that take new callers.
func (r *Registry) live(now time.Time) (n uint32) {
	for _, e := range r.entries {
		if e.listed(now) {
			n++
		}
	}
	return n
}

// listed reports whether callers are told of an entry.
func (e *entryRecord) listed(now time.Time) bool {
	return now.Sub(e.heard) <= entryLease && !e.entry.GetDraining() && e.entry.GetAddress() != ""
}

// Entries returns the live entries that take new callers, by instance.
func (r *Registry) Entries(now time.Time) []*directoryv1.Entry {
	var out []*directoryv1.Entry
	for _, name := range slices.Sorted(maps.Keys(r.entries)) {
		if e := r.entries[name]; e.listed(now) {
			out = append(out, e.entry)
		}
	}
	return out
}

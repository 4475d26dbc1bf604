package directory

import (
	"maps"
	"slices"

	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
)

// Snapshot is an entry's view of all endpoints. It is immutable.
type Snapshot struct {
	// Endpoints holds the endpoints that have not left, by id.
	Endpoints map[string]*directoryv1.Endpoint
	// Entries is the number of entries that may send to endpoints, at least 1.
	Entries int
}

// view is the state that one member reported in its responses.
type view struct {
	epoch, cursor uint64
	endpoints     map[string]*directoryv1.Endpoint
	entries       uint32
	// loads holds the load sums over all entries, as of loadsCursor.
	loads       map[uint32]dispatch.Load
	loadsCursor uint64
}

// apply updates the view from a response and reports whether anything changed.
func (v *view) apply(r *directoryv1.SyncResponse) bool {
	changed := v.epoch != r.Epoch || len(r.Endpoints) > 0 || v.entries != r.Entries
	if v.epoch != r.Epoch {
		v.endpoints = make(map[string]*directoryv1.Endpoint)
	}
	v.epoch, v.cursor, v.entries = r.Epoch, r.Cursor, r.Entries
	for _, e := range r.Endpoints {
		if isWellFormed(e) {
			v.endpoints[e.Id] = e
		}
	}
	return changed
}

// otherLoads updates the load sums from a response. It returns the load of the other
// entries: the sums minus own, the load that this entry sent in the same poll.
func (v *view) otherLoads(r *directoryv1.SyncResponse, own map[uint32]dispatch.Load) (map[uint32]dispatch.Load, error) {
	sums, err := unpackLoads(r.GetLoads())
	if err != nil {
		return nil, err
	}
	if v.loads == nil || r.LoadsWhole {
		v.loads = make(map[uint32]dispatch.Load, len(sums))
	}
	maps.Copy(v.loads, sums)
	v.loadsCursor = r.LoadsCursor
	out := maps.Clone(v.loads)
	for key, l := range own {
		out[key] = out[key].Minus(l)
	}
	return out, nil
}

// merge combines the views of several members. For each endpoint the latest
// incarnation counts, and the latest announcement of that incarnation. An endpoint has
// left if any member knows that it left, and is silent only if no member receives its
// announcements. Of two endpoints with the same address only the one that started
// later can exist.
func merge(views []*view) *Snapshot {
	all := make(map[string]*directoryv1.Endpoint)
	entries := uint32(1)
	for _, v := range views {
		entries = max(entries, v.entries)
		for id, e := range v.endpoints {
			all[id] = resolve(all[id], e)
		}
	}
	out := &Snapshot{Endpoints: make(map[string]*directoryv1.Endpoint, len(all)), Entries: int(entries)}
	byAddress := make(map[string]string, len(all))
	for _, id := range slices.Sorted(maps.Keys(all)) {
		e := all[id]
		if e.Gone {
			continue
		}
		if other, taken := byAddress[e.Address]; taken {
			if all[other].Incarnation > e.Incarnation {
				continue
			}
			delete(out.Endpoints, other)
		}
		byAddress[e.Address] = id
		out.Endpoints[id] = e
	}
	return out
}

// resolve returns the one of two announcements of an endpoint that takes precedence;
// see merge.
func resolve(a, b *directoryv1.Endpoint) *directoryv1.Endpoint {
	switch {
	case a == nil:
		return b
	case a.Gone && a.Incarnation == 0:
		return a // The endpoint left at a member that had received no announcement of it.
	case b.Gone && b.Incarnation == 0:
		return b
	case a.Incarnation != b.Incarnation:
		if a.Incarnation > b.Incarnation {
			return a
		}
		return b
	case a.Gone != b.Gone:
		if a.Gone {
			return a
		}
		return b
	case a.Silent != b.Silent:
		if a.Silent {
			return b
		}
		return a
	case a.Sequence >= b.Sequence:
		return a
	}
	return b
}

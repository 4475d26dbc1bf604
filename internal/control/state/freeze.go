package state

import (
	"maps"
	"slices"
)

// Frozen is a read-only copy of the state at one log index. Commands applied
// later do not change it, and another goroutine may use it while they are applied.
type Frozen struct{ state State }

// Index returns the index of the last log entry that the copy includes.
func (f *Frozen) Index() uint64 { return f.state.index }

// Snapshot encodes the copy; see State.Snapshot.
func (f *Frozen) Snapshot() []byte { return f.state.Snapshot() }

// Freeze copies the parts of the state that commands modify in place and shares
// the rest. The settings tree, operations, outcomes, hashes, usage windows and map values can be
// shared because commands replace them instead of writing to them.
func (s *State) Freeze() *Frozen {
	f := &Frozen{state: *s}
	f.state.history = slices.Clone(s.history)
	f.state.results = results{byID: maps.Clone(s.results.byID), order: slices.Clone(s.results.order), next: s.results.next}
	f.state.groups = maps.Clone(s.groups)
	f.state.members = maps.Clone(s.members)
	f.state.bookings = s.bookings.freeze()
	return f
}

// freeze copies the fields that bookings.encode reads.
func (b *bookings) freeze() bookings {
	out := *b
	out.customers = make(map[string]*customer, len(b.customers))
	for name, c := range b.customers {
		out.customers[name] = &customer{tombstones: maps.Clone(c.tombstones)}
	}
	records := make([]record, 0, len(b.queue)-b.removed)
	out.queue, out.removed = make([]*record, 0, cap(records)), 0
	for _, r := range b.queue {
		if !r.removed {
			records = append(records, *r)
			out.queue = append(out.queue, &records[len(records)-1])
		}
	}
	return out
}

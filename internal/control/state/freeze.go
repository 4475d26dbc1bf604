package state

import (
	"maps"
	"slices"
)

// Frozen is the state at one index. It does not change when commands are
// applied, and may be used by another goroutine meanwhile.
type Frozen struct{ state State }

// Index returns the index of the last entry that it covers.
func (f *Frozen) Index() uint64 { return f.state.index }

// Snapshot encodes the state; see State.Snapshot.
func (f *Frozen) Snapshot() []byte { return f.state.Snapshot() }

// Freeze copies what commands change in place and shares the rest: the tree,
// operations, outcomes, hashes and the values of maps are replaced and never
// written to.
func (s *State) Freeze() *Frozen {
	f := &Frozen{state: *s}
	f.state.history = slices.Clone(s.history)
	f.state.results = results{byID: maps.Clone(s.results.byID), order: slices.Clone(s.results.order), next: s.results.next}
	f.state.groups = maps.Clone(s.groups)
	f.state.members = maps.Clone(s.members)
	f.state.bookings = s.bookings.freeze()
	return f
}

// freeze copies what the encoding of bookings reads.
func (b *bookings) freeze() bookings {
	out := *b
	out.customers = make(map[string]*customer, len(b.customers))
	for name, c := range b.customers {
		out.customers[name] = &customer{tombstones: maps.Clone(c.tombstones)}
	}
	records := make([]record, 0, len(b.queue)-b.gone)
	out.queue, out.gone = make([]*record, 0, cap(records)), 0
	for _, r := range b.queue {
		if !r.gone {
			records = append(records, *r)
			out.queue = append(out.queue, &records[len(records)-1])
		}
	}
	return out
}

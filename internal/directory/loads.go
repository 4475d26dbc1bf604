package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
)

// Loads is the load of the other entries, as told by one member at a moment.
type Loads struct {
	At    time.Time
	byKey map[uint32]dispatch.Load
}

// Of returns the load at an endpoint.
func (l *Loads) Of(id string) dispatch.Load { return l.byKey[loadKey(id)] }

// loadKey identifies an endpoint in messages about load, which are sent often
// and would mostly consist of ids.
func loadKey(id string) uint32 { return uint32(xxhash.Sum64String(id) >> 32) }

// packLoads returns the message for loads, in the order of their keys.
func packLoads(loads map[uint32]dispatch.Load) *directoryv1.Loads {
	out := &directoryv1.Loads{}
	column := func(n int) uint32 { return uint32(max(0, n)) }
	for _, key := range slices.Sorted(maps.Keys(loads)) {
		l := loads[key]
		out.Endpoints = append(out.Endpoints, key)
		out.Requests = append(out.Requests, column(l.Requests))
		out.PromptTokens = append(out.PromptTokens, column(l.PromptTokens))
		out.LateTokens = append(out.LateTokens, column(l.LateTokens))
		out.Light = append(out.Light, column(l.Light))
		out.Late = append(out.Late, column(l.Late))
		out.MemoryTokens = append(out.MemoryTokens, column(l.MemoryTokens))
	}
	return out
}

// unpackLoads reads a message. It fails if its columns differ in length.
func unpackLoads(m *directoryv1.Loads) (map[uint32]dispatch.Load, error) {
	n := len(m.GetEndpoints())
	for _, column := range [][]uint32{m.GetRequests(), m.GetPromptTokens(), m.GetLateTokens(), m.GetLight(), m.GetLate(), m.GetMemoryTokens()} {
		if len(column) != n {
			return nil, Error.New("loads of %d endpoints have a column of %d", n, len(column))
		}
	}
	out := make(map[uint32]dispatch.Load, n)
	for i, key := range m.GetEndpoints() {
		out[key] = out[key].Plus(dispatch.Load{
			Requests: int(m.Requests[i]), PromptTokens: int(m.PromptTokens[i]), LateTokens: int(m.LateTokens[i]),
			Light: int(m.Light[i]), Late: int(m.Late[i]), MemoryTokens: int(m.MemoryTokens[i]),
		})
	}
	return out, nil
}

// loadSums holds the sums of the loads of all entries that poll a member. It is
// pure. Its invariant: each sum is that of the loads that were put in and not yet
// taken out.
type loadSums struct {
	revision uint64
	// floor is the revision up to which sums that are zero were forgotten.
	floor uint64
	sums  map[uint32]*loadSum
}

type loadSum struct {
	load     dispatch.Load
	revision uint64
}

// replace takes out the former loads of an entry and puts in the present ones.
func (t *loadSums) replace(former, present map[uint32]dispatch.Load) {
	t.revision++
	for key, l := range present {
		if l != former[key] {
			t.add(key, l.Minus(former[key]))
		}
	}
	for key, l := range former {
		if _, ok := present[key]; !ok {
			t.add(key, dispatch.Load{}.Minus(l))
		}
	}
	if len(t.sums) > 2*maxEndpoints {
		t.floor = t.revision
		maps.DeleteFunc(t.sums, func(_ uint32, s *loadSum) bool { return s.load == dispatch.Load{} })
	}
}

func (t *loadSums) add(key uint32, l dispatch.Load) {
	s := t.sums[key]
	if s == nil {
		s = &loadSum{}
		t.sums[key] = s
	}
	s.load, s.revision = s.load.Plus(l), t.revision
}

// since returns the sums that changed since a revision, or all that are not zero
// if it is 0 or too old to tell which are zero now.
func (t *loadSums) since(cursor uint64) (changed map[uint32]dispatch.Load, whole bool) {
	whole = cursor == 0 || cursor < t.floor
	changed = make(map[uint32]dispatch.Load)
	for key, s := range t.sums {
		if whole && s.load != (dispatch.Load{}) || !whole && s.revision > cursor {
			changed[key] = s.load
		}
	}
	return changed, whole
}

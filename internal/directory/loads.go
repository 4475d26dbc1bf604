package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
)

// Loads is the load of the other entries, as one member reported it at time At.
type Loads struct {
	At time.Time
	// PolledAt is when the member was polled, as a time of package clock.
	PolledAt time.Time
	byKey    map[uint32]dispatch.Load
}

// Of returns the load of the other entries at an endpoint.
func (l *Loads) Of(id string) dispatch.Load { return l.byKey[loadKey(id)] }

// loadKey identifies an endpoint in load messages. A hash replaces the id because
// the messages are sent often and would mostly consist of ids.
func loadKey(id string) uint32 { return uint32(xxhash.Sum64String(id) >> 32) }

// packLoads encodes loads as a message, sorted by key.
func packLoads(loads map[uint32]dispatch.Load) *directoryv1.Loads {
	message := &directoryv1.Loads{}
	nonNegative := func(n int) uint32 { return uint32(max(0, n)) }
	for _, key := range slices.Sorted(maps.Keys(loads)) {
		l := loads[key]
		message.Endpoints = append(message.Endpoints, key)
		message.Requests = append(message.Requests, nonNegative(l.Requests))
		message.PromptTokens = append(message.PromptTokens, nonNegative(l.PromptTokens))
		message.LateTokens = append(message.LateTokens, nonNegative(l.LateTokens))
		message.Light = append(message.Light, nonNegative(l.Light))
		message.Late = append(message.Late, nonNegative(l.Late))
		message.MemoryTokens = append(message.MemoryTokens, nonNegative(l.MemoryTokens))
	}
	return message
}

// unpackLoads decodes a message. It fails if the columns differ in length.
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

// loadSums holds, for each endpoint, the sum of the loads of all entries that poll a
// member. It does no I/O. Each sum is always the total of the loads that were added
// and not yet subtracted.
type loadSums struct {
	revision uint64
	// compactedRevision is the last revision at which sums of zero were removed.
	compactedRevision uint64
	sums              map[uint32]*loadSum
}

type loadSum struct {
	load     dispatch.Load
	revision uint64
}

// replace subtracts the previous loads of an entry and adds the current ones.
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
		t.compactedRevision = t.revision
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

// since returns the sums that changed after the revision cursor. If cursor is 0, or
// sums of zero were removed after it and can no longer be reported, since returns all
// sums that are not zero and whole is true.
func (t *loadSums) since(cursor uint64) (changed map[uint32]dispatch.Load, whole bool) {
	whole = cursor == 0 || cursor < t.compactedRevision
	changed = make(map[uint32]dispatch.Load)
	for key, s := range t.sums {
		if whole && s.load != (dispatch.Load{}) || !whole && s.revision > cursor {
			changed[key] = s.load
		}
	}
	return changed, whole
}

package router

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
)

// demandCounts counts the demand for a service at this entry since the process started.
type demandCounts struct {
	offered, refused, promptTokens atomic.Uint64
	busy                           atomic.Int64 // in nanoseconds
	inFlight, waiting              atomic.Int32
}

// begin counts a request that is sent to an endpoint.
func (d *demandCounts) begin() { d.inFlight.Add(1) }

// end counts the end of a request that took a time at an endpoint.
func (d *demandCounts) end(took time.Duration) {
	d.inFlight.Add(-1)
	d.busy.Add(int64(took))
}

// demand returns the counts of all services, sorted by name.
func (r *registry) demand() (out []*directoryv1.ServiceDemand) {
	states := *r.byName.Load()
	for _, name := range slices.Sorted(maps.Keys(states)) {
		d := states[name].demand
		out = append(out, &directoryv1.ServiceDemand{
			Service: name, Offered: d.offered.Load(), Refused: d.refused.Load(), PromptTokens: d.promptTokens.Load(),
			BusyMs: uint64(time.Duration(d.busy.Load()).Milliseconds()), InFlight: uint32(max(0, d.inFlight.Load())), Waiting: uint32(max(0, d.waiting.Load())),
		})
	}
	return out
}

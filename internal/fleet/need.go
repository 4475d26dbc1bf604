package fleet

import (
	"math"
	"slices"
	"time"

	"auburnstep.example/auburnstep/internal/directory"
)

// load is the work of a service at a time, in endpoints that do nothing else.
type load struct {
	at    time.Time
	units float64
	// steady is the number of endpoints that the usual load needs with its waves and a burst,
	// and current the number that the load of the last seconds needs.
	steady, current float64
}

// need tracks how many endpoints a service needs. It covers bursts, but not the loss of a
// failure domain.
type need struct {
	history []load
	// since is the time from which demand has been known without a gap, and partialAt when
	// too many entries were missing last.
	since, partialAt time.Time
	// level is the number of endpoints that is planned for. It follows the steady need with a
	// dead band, so that the noise of the load causes no orders.
	level float64
	// refusedFactor raises the need while requests are refused.
	refusedFactor float64
	refusedAt     time.Time
}

// units returns the work of a service in endpoints that do nothing else. Prefill and slots
// are used side by side, so the scarcer one counts.
func units(d directory.ServiceDemand, engine bool, slots float64) float64 {
	busy := max(d.BusySlots, float64(d.InFlight)) / slots
	if !engine {
		return busy
	}
	return max(busy, d.PromptTokens/1000/prefillTokensPerMs)
}

// isRefusing reports whether more requests are refused than the limits of single callers
// explain.
func isRefusing(d directory.ServiceDemand) bool {
	return d.Refused > refusedPerS && d.Refused > refusedShare*d.Offered
}

// observe adds a second of demand. partial is set if too many entries are missing, and settle
// is the time that new endpoints need.
func (n *need) observe(now time.Time, units float64, refused, partial bool, settle time.Duration) {
	if len(n.history) > 0 && now.Sub(n.history[len(n.history)-1].at) > maxObservationGap {
		n.history = nil
	}
	if len(n.history) == 0 {
		n.since = now
	}
	if partial {
		n.partialAt = now
	}
	n.observeRefusals(now, refused, settle)
	n.history = append(n.history, load{at: now, units: units})
	for now.Sub(n.history[0].at) > historySeconds*time.Second {
		n.history = n.history[1:]
	}
	last := &n.history[len(n.history)-1]
	last.current = n.current() * n.refusedFactor / usableShare
	last.steady = max(minEndpoints, last.current)
	if n.covers(now, reduceAfter) { // Before, a burst cannot be told from the usual load.
		last.steady = max(minEndpoints, n.usual(now)*waveFactor*burstFactor*n.refusedFactor/usableShare)
	}
	n.updateLevel(now, last.steady)
}

// observeRefusals raises refusedFactor at most once in the time that new endpoints need, and
// lowers it once no requests were refused for lowerSeconds.
func (n *need) observeRefusals(now time.Time, refused bool, settle time.Duration) {
	n.refusedFactor = max(1, n.refusedFactor)
	switch {
	case refused:
		if n.refusedFactor == 1 || now.Sub(n.refusedAt) > settle {
			n.refusedFactor, n.refusedAt = min(maxRefusedFactor, n.refusedFactor*refusedStep), now
		}
	case now.Sub(n.refusedAt) > lowerSeconds*time.Second:
		n.refusedFactor = 1
	}
}

// updateLevel moves the level to the steady need if it left the dead band.
func (n *need) updateLevel(now time.Time, latest float64) {
	highest, _ := n.highest(now)
	switch {
	case latest > n.level:
		n.level = latest * levelSlack
	case highest < n.level*levelDrop && n.covers(now, lowerSeconds*time.Second):
		n.level = highest * levelSlack
	}
}

// highest returns the highest needs of the last lowerSeconds.
func (n *need) highest(now time.Time) (steady, current float64) {
	for _, l := range n.history {
		if now.Sub(l.at) <= lowerSeconds*time.Second {
			steady, current = max(steady, l.steady), max(current, l.current)
		}
	}
	return steady, current
}

// now returns the endpoints that are needed at once: those planned for, or more if the load
// has grown beyond a burst.
func (n *need) now() float64 { return max(n.level, n.history[len(n.history)-1].current) }

// covers reports whether demand has been known for a time.
func (n *need) covers(now time.Time, d time.Duration) bool {
	return now.Sub(n.since) >= d && now.Sub(n.partialAt) >= d
}

// usual returns the median load, or that of the last seconds if the load has grown. While the history is short, a burst may fill most of it, so
// the load is taken to be at most that of which the lowest second is the trough of a wave.
func (n *need) usual(now time.Time) float64 {
	sorted := make([]float64, len(n.history))
	for i, l := range n.history {
		sorted[i] = l.units
	}
	slices.Sort(sorted)
	median := (sorted[(len(sorted)-1)/2] + sorted[len(sorted)/2]) / 2
	const trough = 2 - waveFactor
	if !n.covers(now, lowerSeconds*time.Second) {
		return min(median, sorted[0]/trough)
	}
	lowest := math.Inf(1)
	for _, l := range n.history {
		if now.Sub(l.at) <= growthSeconds*time.Second {
			lowest = min(lowest, l.units)
		}
	}
	if lowest > median { // Neither a burst nor a wave: the load has grown.
		return lowest / trough
	}
	return median
}

// current returns the mean load of the last seconds.
func (n *need) current() (sum float64) {
	recent := n.history[max(0, len(n.history)-currentSeconds):]
	for _, l := range recent {
		sum += l.units
	}
	return sum / float64(len(recent))
}

// known reports whether demand is known well enough to add endpoints, and settled whether it
// is to reduce them.
func (n *need) known(now time.Time) (known, settled bool) {
	if len(n.history) < currentSeconds {
		return false, false
	}
	age := now.Sub(n.history[len(n.history)-1].at)
	return age <= maxObservationGap, age <= maxReduceAge && n.covers(now, reduceAfter)
}

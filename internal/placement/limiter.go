package placement

import "time"

// rateWindow is the period over which starts of loads are counted.
const rateWindow = time.Minute

// limits bounds the loads from the weight store in the entire cluster.
type limits struct{ atOnce, perMinute int }

// loadKey identifies a load.
type loadKey struct{ service, endpoint, model string }

// load is a load from the weight store that may be running.
type load struct {
	// owned reports whether a task of this holder waits for the load.
	owned bool
	// sent reports whether an order for the load may have reached the engine.
	sent bool
	// started is the latest time at which the weight store can have seen the start
	// of the load. It is zero while that is unknown, because the response to the
	// order is outstanding or lost.
	started time.Time
}

// limiter counts loads so that the limits hold at the weight store even if
// responses to orders are late or lost. A load counts from its reservation; for
// the limit per minute it counts from its latest possible start.
type limiter struct {
	loads  map[loadKey]*load
	starts []time.Time // starts of the loads that have ended, in the order of their ends
	// noLoadsBefore is when the unknown loads of a former holder no longer count
	// towards the limit per minute. No load is reserved before then.
	noLoadsBefore time.Time
}

func newLimiter(noLoadsBefore time.Time) *limiter {
	return &limiter{loads: make(map[loadKey]*load), noLoadsBefore: noLoadsBefore}
}

// reserve reserves a load if the limits allow one more. It returns false for a
// load that is counted already.
func (lim *limiter) reserve(now time.Time, key loadKey, l limits) bool {
	if _, ok := lim.loads[key]; ok || now.Before(lim.noLoadsBefore) {
		return false
	}
	if len(lim.loads) >= l.atOnce || lim.recentStarts(now) >= l.perMinute {
		return false
	}
	lim.loads[key] = &load{owned: true}
	return true
}

// recentStarts counts the loads that may have started within the last minute and
// the reserved loads that have yet to start.
func (lim *limiter) recentStarts(now time.Time) int {
	n := 0
	for len(lim.starts) > 0 && now.Sub(lim.starts[0]) >= rateWindow {
		lim.starts = lim.starts[1:]
	}
	for _, at := range lim.starts {
		if now.Sub(at) < rateWindow {
			n++
		}
	}
	for _, l := range lim.loads {
		if l.started.IsZero() || now.Sub(l.started) < rateWindow {
			n++
		}
	}
	return n
}

// markSending records that an order for the load is about to be sent.
func (lim *limiter) markSending(key loadKey) {
	if l := lim.loads[key]; l != nil {
		l.sent = true
	}
}

// markUnsent records that no order for the load has reached the engine.
func (lim *limiter) markUnsent(key loadKey) {
	if l := lim.loads[key]; l != nil {
		l.sent = false
	}
}

// confirmStart records that the load has started at or before now.
func (lim *limiter) confirmStart(now time.Time, key loadKey) {
	if l := lim.loads[key]; l != nil && l.started.IsZero() {
		l.sent, l.started = true, now
	}
}

// end records that a load has ended or will not start. A load that may have
// started still counts towards the limit per minute.
func (lim *limiter) end(now time.Time, key loadKey) {
	l := lim.loads[key]
	if l == nil {
		return
	}
	delete(lim.loads, key)
	if l.sent {
		if l.started.IsZero() {
			l.started = now
		}
		lim.starts = append(lim.starts, l.started)
	}
}

// detach records that no task waits for the load any more. From then on only the
// announcements of its engine decide when it ends.
func (lim *limiter) detach(key loadKey) {
	if l := lim.loads[key]; l != nil {
		l.owned = false
	}
}

// observeLoads updates the loads from what engines announce. Complete reports
// whether the fleet state contains all endpoints of a service.
func (lim *limiter) observeLoads(now time.Time, announced map[loadKey]bool, complete func(service string) bool) {
	for key := range announced {
		if lim.loads[key] == nil {
			lim.loads[key] = &load{}
		}
		lim.confirmStart(now, key)
	}
	for key, l := range lim.loads {
		if !l.owned && !announced[key] && complete(key.service) {
			lim.end(now, key)
		}
	}
}

package placement

import "time"

// minute is the span in which loads are counted.
const minute = time.Minute

// limits bound the loads from the weight store in the whole cluster.
type limits struct{ atOnce, perMinute int }

// loadKey names a load.
type loadKey struct{ service, endpoint, model string }

// load is one load from the weight store that may be running.
type load struct {
	// own says that a task of this holder waits for it.
	own bool
	// sent says that an order for it may have reached the engine.
	sent bool
	// started is the latest moment at which the store can have seen its start;
	// zero while that is not known, because the answer is outstanding or lost.
	started time.Time
}

// weights counts loads so that the limits hold at the weight store, whatever
// happens to answers. A load counts from its reservation on; within the minute
// it counts from the latest possible start.
type weights struct {
	loads  map[loadKey]*load
	starts []time.Time // of loads that have ended, oldest first
	// closed is when the loads of a former holder no longer count for the
	// minute, though none of its orders is known.
	closed time.Time
}

func newWeights(closed time.Time) *weights {
	return &weights{loads: make(map[loadKey]*load), closed: closed}
}

// reserve takes a place for a load, if the limits have one.
func (w *weights) reserve(now time.Time, key loadKey, l limits) bool {
	if _, ok := w.loads[key]; ok || now.Before(w.closed) {
		return false
	}
	if len(w.loads) >= l.atOnce || w.recent(now) >= l.perMinute {
		return false
	}
	w.loads[key] = &load{own: true}
	return true
}

// recent counts the loads that may have started within the last minute or are
// yet to start.
func (w *weights) recent(now time.Time) int {
	n := 0
	for len(w.starts) > 0 && now.Sub(w.starts[0]) >= minute {
		w.starts = w.starts[1:]
	}
	for _, at := range w.starts {
		if now.Sub(at) < minute {
			n++
		}
	}
	for _, l := range w.loads {
		if l.started.IsZero() || now.Sub(l.started) < minute {
			n++
		}
	}
	return n
}

// sending notes that an order for the load is about to be sent.
func (w *weights) sending(key loadKey) {
	if l := w.loads[key]; l != nil {
		l.sent = true
	}
}

// unsent notes that no order for the load has reached the engine.
func (w *weights) unsent(key loadKey) {
	if l := w.loads[key]; l != nil {
		l.sent = false
	}
}

// confirmed notes that the load has started by now.
func (w *weights) confirmed(now time.Time, key loadKey) {
	if l := w.loads[key]; l != nil && l.started.IsZero() {
		l.sent, l.started = true, now
	}
}

// end notes that a load is over or will not begin.
func (w *weights) end(now time.Time, key loadKey) {
	l := w.loads[key]
	if l == nil {
		return
	}
	delete(w.loads, key)
	if l.sent {
		if l.started.IsZero() {
			l.started = now
		}
		w.starts = append(w.starts, l.started)
	}
}

// disown leaves a load to the announcements of its engine.
func (w *weights) disown(key loadKey) {
	if l := w.loads[key]; l != nil {
		l.own = false
	}
}

// observe takes over what engines announce. Whole reports whether all endpoints
// of a service are in the fleet state.
func (w *weights) observe(now time.Time, announced map[loadKey]bool, whole func(service string) bool) {
	for key := range announced {
		if w.loads[key] == nil {
			w.loads[key] = &load{}
		}
		w.confirmed(now, key)
	}
	for key, l := range w.loads {
		if !l.own && !announced[key] && whole(key.service) {
			w.end(now, key)
		}
	}
}

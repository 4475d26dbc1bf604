package scheduler

import "time"

const (
	// faultsToEject is the number of consecutive faults that eject an endpoint.
	faultsToEject = 3
	// ejectableDivisor limits the endpoints that may be ejected for faults to 1
	// in 3 of the live ones. If more of them fail, the cause is more likely
	// common to all endpoints. Endpoints that refuse connections cannot serve
	// at all and do not count.
	ejectableDivisor = 3
	// firstEjection is the duration of the first ejection. The duration doubles
	// with each further ejection without a success in between, up to
	// maxEjection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
)

// health tracks the faults of an endpoint. An ejected endpoint gets no requests
// until ejectedUntil, then one repeatable request as a probe.
type health struct {
	faults         int // consecutive
	ejected        bool
	connectRefused bool
	ejectedUntil   time.Time
	ejections      int // since the last success or restart
	probing        bool
}

// admits reports whether the endpoint may get a request.
func (h *health) admits(now time.Time, mayRepeat bool) bool {
	if !h.ejected {
		return true
	}
	return mayRepeat && !h.probing && !now.Before(h.ejectedUntil)
}

// onRestart is called for a new incarnation. An ejected endpoint may then be
// probed at once.
func (h *health) onRestart() {
	h.ejectedUntil, h.ejections, h.faults, h.probing = time.Time{}, 0, 0, false
}

// eject ejects the endpoint. Each ejection since the last success doubles the
// duration, up to maxEjection.
func (h *health) eject(now time.Time, connectRefused bool) {
	wait := min(firstEjection<<min(h.ejections, 10), maxEjection)
	h.ejections++
	*h = health{ejected: true, connectRefused: connectRefused, ejectedUntil: now.Add(wait), ejections: h.ejections}
}

// updateHealth applies the outcome of a grant to the health of its endpoint.
func (c *Core) updateHealth(now time.Time, ep *endpoint, o Outcome, probe bool) {
	h := &ep.health
	if probe {
		h.probing = false
	}
	switch {
	case o.ConnectRefused, o.Crashed:
		h.eject(now, true)
	case o.EndpointFault:
		h.faults++
		if h.ejected {
			if probe {
				h.eject(now, h.connectRefused)
			}
		} else if h.faults >= faultsToEject && c.mayEject(now) {
			h.eject(now, false)
		}
	case !o.Failed && !o.Unused:
		if !h.ejected || probe {
			*h = health{}
		}
	}
}

// mayEject reports whether one more endpoint may be ejected for faults.
func (c *Core) mayEject(now time.Time) bool {
	live, ejected := 0, 0
	for _, ep := range c.endpointOrder {
		if !ep.live(now) {
			continue
		}
		live++
		if ep.health.ejected && !ep.health.connectRefused {
			ejected++
		}
	}
	return (ejected+1)*ejectableDivisor <= live
}

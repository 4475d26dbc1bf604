package scheduler

import "time"

const (
	// faultsToEject is the number of faults in a row that eject an endpoint.
	faultsToEject = 3
	// ejectedShare is the largest part of a service that faults may eject.
	// Beyond it the cause is more likely common to all endpoints. Endpoints
	// that refuse connections can not serve at all and do not count.
	ejectedShare = 3
	ejectFirst   = time.Second
	ejectMost    = 30 * time.Second
)

// health tracks faults of an endpoint. An ejected endpoint gets nothing until
// its time is over, then one repeatable request as a probe.
type health struct {
	faults   int // in a row
	ejected  bool
	refusing bool
	until    time.Time
	times    int // ejections without a success in between
	probing  bool
}

func (h *health) admits(now time.Time, mayRepeat bool) bool {
	if !h.ejected {
		return true
	}
	return mayRepeat && !h.probing && !now.Before(h.until)
}

// restarted is called for a new incarnation, which is probed at once.
func (h *health) restarted() {
	h.until, h.times, h.faults, h.probing = time.Time{}, 0, 0, false
}

func (h *health) eject(now time.Time, refusing bool) {
	wait := min(ejectFirst<<min(h.times, 10), ejectMost)
	h.times++
	*h = health{ejected: true, refusing: refusing, until: now.Add(wait), times: h.times}
}

// observe learns from the end of a grant.
func (c *Core) observe(now time.Time, ep *endpoint, o Outcome, probe bool) {
	h := &ep.health
	if probe {
		h.probing = false
	}
	switch {
	case o.ConnectRefused:
		h.eject(now, true)
	case o.EndpointFault:
		h.faults++
		if h.ejected {
			if probe {
				h.eject(now, h.refusing)
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
		if ep.health.ejected && !ep.health.refusing {
			ejected++
		}
	}
	return (ejected+1)*ejectedShare <= live
}

package scheduler

import (
	"math"
	"time"
)

const (
	// reservedOf is the part of the slots in the reserved lane: 1 in 20.
	reservedOf = 20
	// reservedFrom is the number of slots from which the lane has slots of its
	// own. Smaller groups share slots over time.
	reservedFrom = 8
	// laneLeast is the least share of a small group's slot time that the lane
	// may use, in slots. Two starved classes with services of 5 s need 10 s of
	// every minute, a sixth of a slot; the rest covers the time until a slot is
	// free. 1 in 20 of a single slot would be 3 s.
	laneLeast = 0.25
)

// reservedLane returns the size of the lane in slots: whole ones from
// reservedFrom slots on, else a share of the time of all slots.
func reservedLane(slots int) float64 {
	switch {
	case slots >= reservedFrom:
		return float64(max(1, slots/reservedOf))
	case slots > 0:
		return max(laneLeast, float64(slots)/reservedOf)
	}
	return 0
}

// lane accounts for the slot time that the lane of a small group uses. It is a
// leaky bucket that saves nothing: within any time t the lane uses reservedLane
// of t and one service more at most.
type lane struct {
	// debt is the slot time used in excess of the share, in seconds.
	debt float64
	at   time.Time
	// held is the latest grant from the lane while it lasts.
	held *grant
}

// pay reduces the debt by the share of the time since the last call.
func (l *lane) pay(now time.Time, share float64) {
	if d := now.Sub(l.at); d > 0 {
		l.debt = max(0, l.debt-share*d.Seconds())
		l.at = now
	}
}

// endLane charges a grant from the lane that is over. What the lane was entitled
// to meanwhile is paid at once.
func (c *Core) endLane(now time.Time, g *grant) {
	share := math.Min(1, reservedLane(c.slots(now, nil)))
	c.lane.pay(now, share)
	g.class.hold = now.Sub(g.granted).Seconds()
	c.lane.debt += g.class.hold * (1 - share)
	if c.lane.held == g {
		c.lane.held = nil
	}
}

// laneOpen reports whether a starved class may get a slot. In a small group the
// lane holds one slot at a time, and none before its debt is paid.
func (c *Core) laneOpen(now time.Time) bool {
	slots := c.slots(now, nil)
	share := reservedLane(slots)
	c.lane.pay(now, share)
	if slots >= reservedFrom {
		return float64(c.reservedInFlight) < share
	}
	return c.reservedInFlight == 0 && c.lane.debt == 0
}

// laneDelay returns the seconds by which a grant from the lane of a small group
// may delay a request that would start after the given time, beyond the lane's
// share. Counting it at admission keeps the lane from taking a slot that an
// admitted request needs to meet its deadline. One grant counts: the next one
// waits until the share has paid for it.
func (c *Core) laneDelay(now time.Time, w *waiter, slots int, start float64) float64 {
	if slots >= reservedFrom {
		return 0
	}
	all := c.slots(now, nil)
	if all >= reservedFrom {
		return 0
	}
	hold := 0.0
	if g := c.lane.held; g != nil {
		hold = g.class.holds(g.work)
		if age := now.Sub(g.granted).Seconds(); age < hold {
			hold -= age
		}
	} else {
		hold = c.nextHold(now, w, reservedLane(all), start)
	}
	delay := hold / float64(all)
	if all > 1 {
		// The other slots go on meanwhile.
		delay = math.Min(delay, start/float64(all-1))
	}
	return delay
}

// nextHold returns how long a grant from the lane to a class of a lower tier may
// take that is given before the request would start.
func (c *Core) nextHold(now time.Time, w *waiter, share, start float64) float64 {
	c.lane.pay(now, share)
	hold := 0.0
	for _, cl := range c.classOrder {
		if cl.tier <= w.request.Tier || cl.waiting.count == 0 {
			continue
		}
		starved := cl.unserved.Add(c.classPolicy(cl.name).StarvationBound).Sub(now).Seconds()
		if start >= math.Max(starved, c.lane.debt/share) {
			hold = math.Max(hold, cl.holds(cl.waiting.head.work))
		}
	}
	return hold
}

// holds returns the expected time of a grant from the lane. Estimates lean
// towards the mean of all classes, which a rarely served class may be far from.
func (cl *class) holds(estimate float64) float64 { return math.Max(cl.hold, estimate) }

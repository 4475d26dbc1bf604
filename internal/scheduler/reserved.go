package scheduler

import (
	"math"
	"time"
)

const (
	// reservedDivisor sets the share of the slots that is reserved for starved
	// classes: 1 in 20.
	reservedDivisor = 20
	// largeGroupSlots is the number of slots from which a group reserves whole
	// slots. Smaller groups reserve a share of the time of all their slots.
	largeGroupSlots = 8
	// minReservedShare is the smallest share of slot time that a small group
	// reserves, in slots. Two starved classes with requests of 5 s need 10 s of
	// every minute, a sixth of a slot; the rest covers the time until a slot is
	// free. 1 in 20 of a single slot would be only 3 s of every minute.
	minReservedShare = 0.25
)

// reservedSlots returns how much of a group's slots is reserved for starved
// classes: whole slots from largeGroupSlots on, else a share of the time of all
// slots, in slots.
func reservedSlots(slots int) float64 {
	switch {
	case slots >= largeGroupSlots:
		return float64(max(1, slots/reservedDivisor))
	case slots > 0:
		return max(minReservedShare, float64(slots)/reservedDivisor)
	}
	return 0
}

// reservedTime accounts for the reserved slot time that a small group uses. It
// is a leaky bucket that does not accumulate unused time: within any period,
// reserved grants take at most the reserved share of it and the time of one
// more request.
type reservedTime struct {
	// debt is the slot time used beyond the reserved share, in seconds.
	debt float64
	at   time.Time // of the last update of debt
	// current is the latest reserved grant while it is in use.
	current *grant
}

// reduceDebt subtracts the reserved share of the time since the last call from
// the debt.
func (l *reservedTime) reduceDebt(now time.Time, share float64) {
	if d := now.Sub(l.at); d > 0 {
		l.debt = max(0, l.debt-share*d.Seconds())
		l.at = now
	}
}

// chargeReserved adds the time of an ended reserved grant to the debt, less the
// reserved share of that time.
func (c *Core) chargeReserved(now time.Time, g *grant) {
	share := math.Min(1, reservedSlots(c.slots(now, nil)))
	c.reservedTime.reduceDebt(now, share)
	g.class.lastReservedSeconds = now.Sub(g.granted).Seconds()
	c.reservedTime.debt += g.class.lastReservedSeconds * (1 - share)
	if c.reservedTime.current == g {
		c.reservedTime.current = nil
	}
}

// reservedAvailable reports whether a starved class may get a reserved slot. A
// small group has one reserved grant at a time, and none while it has a debt.
func (c *Core) reservedAvailable(now time.Time) bool {
	slots := c.slots(now, nil)
	share := reservedSlots(slots)
	c.reservedTime.reduceDebt(now, share)
	if slots >= largeGroupSlots {
		return float64(c.reservedInFlight) < share
	}
	return c.reservedInFlight == 0 && c.reservedTime.debt == 0
}

// reservedDelay returns the seconds by which a reserved grant of a small group
// may delay a request that would start after the given time, beyond the
// reserved share. Admission counts this delay, so that a reserved grant does
// not take a slot that an admitted request needs to meet its deadline. One
// grant counts, because the next one has to wait until the debt is zero.
func (c *Core) reservedDelay(now time.Time, w *waiter, slots int, start float64) float64 {
	if slots >= largeGroupSlots {
		return 0
	}
	all := c.slots(now, nil)
	if all >= largeGroupSlots {
		return 0
	}
	busySeconds := 0.0
	if g := c.reservedTime.current; g != nil {
		busySeconds = g.class.reservedSeconds(g.work)
		if age := now.Sub(g.granted).Seconds(); age < busySeconds {
			busySeconds -= age
		}
	} else {
		busySeconds = c.nextReservedSeconds(now, w, reservedSlots(all), start)
	}
	delay := busySeconds / float64(all)
	if all > 1 {
		// The other slots serve requests during the reserved grant.
		delay = math.Min(delay, start/float64(all-1))
	}
	return delay
}

// nextReservedSeconds returns the longest expected time of a reserved grant
// that a class of a lower tier may get before the request would start.
func (c *Core) nextReservedSeconds(now time.Time, w *waiter, share, start float64) float64 {
	c.reservedTime.reduceDebt(now, share)
	busySeconds := 0.0
	for _, cl := range c.classOrder {
		if cl.tier <= w.request.Tier || cl.waiting.count == 0 {
			continue
		}
		starved := cl.unservedSince.Add(c.classPolicy(cl.name).StarvationBound).Sub(now).Seconds()
		if start >= math.Max(starved, c.reservedTime.debt/share) {
			busySeconds = math.Max(busySeconds, cl.reservedSeconds(cl.waiting.head.work))
		}
	}
	return busySeconds
}

// reservedSeconds returns the expected time of a reserved grant of the class:
// the given estimate, or the time of the class's latest reserved grant if that
// was longer. Estimates tend towards the mean of all classes, which may be far
// off for a rarely served class.
func (cl *class) reservedSeconds(estimate float64) float64 {
	return math.Max(cl.lastReservedSeconds, estimate)
}

package scheduler

import (
	"math"
	"net/http"
	"time"

	"auburnstep.example/auburnstep/internal/verdict"
)

const (
	retryAfterLeast = time.Second
	retryAfterMost  = time.Minute
	// higherMost bounds the part of the slots that work of higher tiers is
	// assumed to take, since estimates of a burst overshoot.
	higherMost = 0.95
	// shedPerTick bounds the work of one Tick.
	shedPerTick = 64
)

// refuseAtOnce returns why a request can not even wait, or nil.
func (c *Core) refuseAtOnce(now time.Time, w *waiter) *verdict.Error {
	if len(w.request.Avoid) > 0 && (!w.customer.retry.Allowed() || !c.retry.Allowed()) {
		return verdict.Overloaded("retry_budget_exhausted", "too many recent attempts have failed", 2*time.Second)
	}
	if wait := w.customer.rate.Wait(now, w.customer.tokensPerSecond()); wait > 0 {
		err := verdict.Refused(http.StatusTooManyRequests, "rate_limit_exceeded", "the token rate limit of the customer is used up")
		err.RetryAfter = clampRetry(wait)
		return err
	}
	if !c.serveable(w) && now.Sub(c.started) > settle {
		return verdict.Overloaded("no_endpoint", "no endpoint serves this request at present", 2*time.Second)
	}
	if !now.Before(w.deadline) {
		return verdict.Overloaded("deadline_exceeded", "the deadline has passed", retryAfterLeast)
	}
	return nil
}

// serveable reports whether any known endpoint could serve the request, now or
// after recovery.
func (c *Core) serveable(w *waiter) bool {
	p := pool{key: keyOf(&w.request)}
	for _, ep := range c.endpointOrder {
		if ep.known && !ep.spec.Leaving && ep.serves(&p) {
			return true
		}
	}
	return false
}

// admit decides whether a request that found no free slot may stay in the
// queue, and sheds for it where the queue is full. The protected request of a
// class always stays.
func (c *Core) admit(now time.Time, w *waiter, out []Decision) []Decision {
	policy := c.classPolicy(w.request.Class)
	if !w.protected() {
		if w.class.waiting.count-1 > policy.QueueMax {
			return c.shed(now, w, out, "queue_full", "the queue of the class is full")
		}
		if predicted, ok := c.predict(now, w); ok && now.Add(predicted).After(w.deadline) {
			return c.shed(now, w, out, "deadline_unreachable", "the deadline can not be met under the present load")
		}
	}
	most := c.policy.QueueMax
	if most <= 0 {
		most = DefaultQueueMax
	}
	for len(c.waiting)-c.protectedCount() > most {
		victim := c.victim()
		if victim == nil {
			break
		}
		out = c.shed(now, victim, out, "queue_full", "the queue is full")
	}
	return out
}

func (c *Core) protectedCount() int {
	n := 0
	for _, cl := range c.classOrder {
		if cl.waiting.count > 0 {
			n++
		}
	}
	return n
}

// victim returns the newest unprotected request of the lowest tier that has
// one.
func (c *Core) victim() *waiter {
	for t := Tiers - 1; t >= 0; t-- {
		for w := c.tiers[t].waiting.tail; w != nil; w = w.tierLinks.prev {
			if !w.protected() {
				return w
			}
		}
	}
	return nil
}

func (c *Core) shed(now time.Time, w *waiter, out []Decision, code, message string) []Decision {
	after := c.retryAfter(now, w)
	c.leave(now, w)
	err := verdict.Overloaded(code, message, after)
	c.unserved(now, w, err)
	return c.refuse(w, out, err)
}

// shedHopeless refuses waiting requests of the lowest tier that can no longer
// meet their deadline, newest first, so that callers learn it early.
func (c *Core) shedHopeless(now time.Time, out []Decision) []Decision {
	for range shedPerTick {
		w := c.victim()
		if w == nil {
			return out
		}
		predicted, ok := c.predict(now, w)
		if !ok || !now.Add(predicted).After(w.deadline) {
			return out
		}
		out = c.shed(now, w, out, "deadline_unreachable", "the deadline can not be met under the present load")
	}
	return out
}

// predict returns the expected time until the start of a request that is last
// in its tier, over the ordinary slots only. It counts waiting work of its
// own and higher tiers, and what higher tiers have been adding lately; work of
// lower tiers never counts, since it would be shed first. It returns false
// while nothing is known about capacity.
func (c *Core) predict(now time.Time, w *waiter) (time.Duration, bool) {
	if c.config.Successor && now.Sub(c.started) < WarmUp {
		return 0, false
	}
	p := w.account.pool
	all := c.slots(now, p)
	slots := float64(all) - reservedLane(all)
	if slots <= 0 {
		return 0, false
	}
	t := w.request.Tier
	higher, rate := 0.0, 0.0
	for above := range t {
		higher += p.demand.work[above]
		rate += c.tiers[above].offered.perSecond(now)
	}
	own := p.demand.work[t]
	share := c.tiers[t].fair.ShareIf(&w.customer.flows[t], w.customer.limits.Weight)
	own = math.Min(own, w.customer.work[t]/share)
	left := 1 - math.Min(rate/slots, higherMost)
	seconds := (higher + own) / (slots * left)
	seconds += c.laneDelay(now, w, all, seconds)
	if most := w.customer.concurrency(); most > 0 {
		seconds = math.Max(seconds, w.customer.work[t]/float64(most))
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// retryAfter returns when the request would have a chance again.
func (c *Core) retryAfter(now time.Time, w *waiter) time.Duration {
	if w.account == nil {
		return retryAfterLeast
	}
	predicted, ok := c.predict(now, w)
	if !ok {
		return retryAfterLeast
	}
	return clampRetry(predicted - w.deadline.Sub(now))
}

func clampRetry(d time.Duration) time.Duration {
	return min(max(d, retryAfterLeast), retryAfterMost)
}

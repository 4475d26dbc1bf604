package scheduler

import (
	"math"
	"net/http"
	"time"

	"auburnstep.example/auburnstep/internal/verdict"
)

const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	// maxHigherTierLoad bounds the fraction of the slots that new work of higher
	// tiers is assumed to take, since estimates made in a burst are too high.
	maxHigherTierLoad = 0.95
	// maxShedPerTick bounds the requests that one Tick sheds, and so its running
	// time.
	maxShedPerTick = 64
)

// immediateRefusal returns the error that refuses a request before it is queued,
// or nil if the request may be queued.
func (c *Core) immediateRefusal(now time.Time, w *waiter) *verdict.Error {
	if refusal := c.quarantined(w); refusal != nil {
		return refusal
	}
	if len(w.request.Avoid) > 0 && (!w.customer.retry.Allowed() || !c.retry.Allowed()) {
		return verdict.Overloaded("retry_budget_exhausted", "too many recent attempts have failed", 2*time.Second)
	}
	if wait := w.customer.rate.Wait(now, w.customer.tokensPerSecond()); wait > 0 {
		err := verdict.Refused(http.StatusTooManyRequests, "rate_limit_exceeded", "the token rate limit of the customer is used up")
		err.RetryAfter = clampRetryAfter(wait)
		return err
	}
	if !c.anyEndpointServes(w) && now.Sub(c.started) > announceGrace {
		return verdict.Overloaded("no_endpoint", "no endpoint serves this request at present", 2*time.Second)
	}
	if !now.Before(w.deadline) {
		return verdict.Overloaded("deadline_exceeded", "the deadline has passed", minRetryAfter)
	}
	return nil
}

// anyEndpointServes reports whether any known endpoint could serve the request,
// now or after it has recovered.
func (c *Core) anyEndpointServes(w *waiter) bool {
	p := pool{key: keyOf(&w.request)}
	for _, ep := range c.endpointOrder {
		if ep.announced && !ep.spec.Leaving && ep.serves(&p) {
			return true
		}
	}
	return false
}

// admit decides whether a request that found no free slot may stay in the queue.
// If the queue of the group is full, it sheds requests to make room. The
// protected request of a class always stays.
func (c *Core) admit(now time.Time, w *waiter, out []Decision) []Decision {
	policy := c.classPolicy(w.request.Class)
	if !w.protected() {
		if w.class.waiting.count-1 > policy.QueueMax {
			return c.shed(now, w, out, "queue_full", "the queue of the class is full")
		}
		if predicted, ok := c.predictWait(now, w); ok && now.Add(predicted).After(w.deadline) {
			return c.shed(now, w, out, "deadline_unreachable", "the deadline can not be met under the present load")
		}
	}
	queueMax := c.policy.QueueMax
	if queueMax <= 0 {
		queueMax = DefaultQueueMax
	}
	for len(c.waiting)-c.protectedCount() > queueMax {
		victim := c.victim()
		if victim == nil {
			break
		}
		out = c.shed(now, victim, out, "queue_full", "the queue is full")
	}
	return out
}

// protectedCount returns the number of protected requests: one for each class
// with waiting requests.
func (c *Core) protectedCount() int {
	n := 0
	for _, cl := range c.classOrder {
		if cl.waiting.count > 0 {
			n++
		}
	}
	return n
}

// victim returns the request to shed next: the newest unprotected request
// of the lowest tier that has one, or nil.
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

// shed removes a waiting request from the queue and refuses it as overloaded.
func (c *Core) shed(now time.Time, w *waiter, out []Decision, code, message string) []Decision {
	after := c.retryAfter(now, w)
	c.withdraw(now, w)
	err := verdict.Overloaded(code, message, after)
	c.recordCapacityRefusal(now, w, err)
	return c.refuse(w, out, err)
}

// shedUnreachable refuses waiting requests of the lowest tier that can no longer
// meet their deadline, newest first, so that their callers get the refusal before
// the deadline.
func (c *Core) shedUnreachable(now time.Time, out []Decision) []Decision {
	for range maxShedPerTick {
		w := c.victim()
		if w == nil {
			return out
		}
		predicted, ok := c.predictWait(now, w)
		if !ok || !now.Add(predicted).After(w.deadline) {
			return out
		}
		out = c.shed(now, w, out, "deadline_unreachable", "the deadline can not be met under the present load")
	}
	return out
}

// predictWait returns the expected time until a request that is last in its tier
// starts on a slot that is not reserved. It counts the waiting work of the
// request's own and of higher tiers, and the rate at which higher tiers have
// added work recently. Work of lower tiers never counts, since it would be shed
// first. The second result is false while the capacity is unknown.
func (c *Core) predictWait(now time.Time, w *waiter) (time.Duration, bool) {
	if c.config.Successor && now.Sub(c.started) < WarmUp {
		return 0, false
	}
	p := w.queue.pool
	totalSlots := c.slots(now, p)
	slots := float64(totalSlots) - reservedSlots(totalSlots)
	if slots <= 0 {
		return 0, false
	}
	t := w.request.Tier
	higherWork, higherLoad := 0.0, 0.0
	for above := range t {
		higherWork += p.backlog.work[above]
		higherLoad += c.tiers[above].offeredLoad.perSecond(now)
	}
	ownWork := p.backlog.work[t]
	share := c.tiers[t].fair.ShareIfActive(&w.customer.flows[t], w.customer.limits.Weight)
	ownWork = math.Min(ownWork, w.customer.work[t]/share)
	available := 1 - math.Min(higherLoad/slots, maxHigherTierLoad)
	seconds := (higherWork + ownWork) / (slots * available)
	seconds += c.reservedDelay(now, w, totalSlots, seconds)
	if maxInFlight := w.customer.concurrency(); maxInFlight > 0 {
		seconds = math.Max(seconds, w.customer.work[t]/float64(maxInFlight))
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// retryAfter returns the time after which the request could be expected to meet
// its deadline.
func (c *Core) retryAfter(now time.Time, w *waiter) time.Duration {
	if w.queue == nil {
		return minRetryAfter
	}
	predicted, ok := c.predictWait(now, w)
	if !ok {
		return minRetryAfter
	}
	return clampRetryAfter(predicted - w.deadline.Sub(now))
}

func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

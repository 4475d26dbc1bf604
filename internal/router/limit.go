package router

import (
	"context"
	"time"

	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/event"
)

// recordLimit records the limit that a response named, nil for none.
func (q *request) recordLimit(c *dispatch.Choice, perSecond *float64) {
	var limit dispatch.Limit
	changed := false
	q.withBalancer(func(b *dispatch.Balancer) { limit, changed = b.RecordLimit(time.Now(), c, perSecond) })
	if !changed {
		return
	}
	q.server.options.Limits.Observe(c.Endpoint, limit)
	if perSecond == nil {
		q.server.options.Events.Emit(eventLimitEnded, event.Request(q.call.ID), event.F("endpoint", c.Endpoint.ID))
		return
	}
	q.server.options.Events.Emit(eventLimitNamed, event.Request(q.call.ID), event.F("endpoint", c.Endpoint.ID), event.F("per_second", *perSecond))
}

// maxPermitRequests bounds the permits that are asked for before a placement avoids
// endpoints with limits.
const maxPermitRequests = 3

// placeWithPermit places the next attempt. If the chosen endpoint names a limit, it
// acquires a permit. Endpoints whose permits are used up are left out.
func (q *request) placeWithPermit(ctx context.Context) placement {
	q.demand.AvoidLimited = false
	for n := 1; ; n++ {
		p := q.tryPlace()
		if p.decision != dispatch.Send || p.choice.Limit.PerSecond == 0 {
			return p
		}
		granted, wait := q.server.options.Limits.Acquire(ctx, p.choice.Endpoint, p.choice.Limit)
		q.withBalancer(func(b *dispatch.Balancer) {
			if granted {
				b.RecordSent(time.Now(), &p.choice, q.demand)
			} else {
				b.RecordBlocked(time.Now(), &p.choice, wait)
			}
		})
		if granted {
			return p
		}
		q.demand.AvoidLimited = n >= maxPermitRequests
	}
}

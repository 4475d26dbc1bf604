package router

import (
	"time"

	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/event"
)

// recordLimit records the limit that a response named, nil for none.
func (q *request) recordLimit(c *dispatch.Choice, perSecond *float64) {
	changed := false
	q.withBalancer(func(b *dispatch.Balancer) { changed = b.RecordLimit(time.Now(), c, perSecond) })
	if !changed {
		return
	}
	if perSecond == nil {
		q.server.options.Events.Emit(eventLimitEnded, event.Request(q.call.ID), event.F("endpoint", c.Endpoint.ID))
		return
	}
	q.server.options.Events.Emit(eventLimitNamed, event.Request(q.call.ID), event.F("endpoint", c.Endpoint.ID), event.F("per_second", *perSecond))
}

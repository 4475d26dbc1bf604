package router

import (
	"time"

	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/event"
)

// recordLeaving records that an endpoint has said in an answer that it is leaving. Requests
// that run there go on.
func (q *request) recordLeaving(c *dispatch.Choice) {
	isNew, left := false, 0
	q.withBalancer(func(b *dispatch.Balancer) {
		now := time.Now()
		isNew, left = b.RecordLeaving(now, c), b.Available(now)
	})
	if isNew {
		q.server.options.Events.Emit(eventEndpointLeaving, event.Request(q.call.ID), event.F("endpoint", c.Endpoint.ID),
			event.F("address", c.Endpoint.Address), event.F("service", q.service), event.F("endpoints_left", left))
	}
}

package router

import (
	"time"

	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/event"
)

// recordEndpointLeaving records that an endpoint has said in an answer that it is leaving. Requests
// that run there go on.
func (q *request) recordEndpointLeaving(c *dispatch.Choice) {
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

// recordEndpointPause records that an endpoint has turned a request away and named a time for which
// it wants no others.
func (q *request) recordEndpointPause(c *dispatch.Choice, pause time.Duration) {
	q.withBalancer(func(b *dispatch.Balancer) { b.RecordPause(time.Now(), c, pause) })
	q.server.options.Events.Emit(eventEndpointPaused, event.Request(q.call.ID), event.F("endpoint", c.Endpoint.ID),
		event.F("service", q.service), event.F("pause_ms", pause.Milliseconds()))
}

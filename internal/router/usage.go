package router

import "auburnstep.example/auburnstep/internal/clock"

// countUsage counts the request as one that an endpoint began to run. Only the first call of
// a request counts, because a stream may resume, and a request may be repeated, at another
// endpoint.
func (q *request) countUsage() {
	counter := q.server.options.Usage
	if counter == nil || q.customer == nil || q.usageCounted {
		return
	}
	q.usageCounted = true
	counter.Begin(q.customer.Name, clock.Now())
}

package router

import (
	"math/rand/v2"

	"auburnstep.example/auburnstep/internal/clock"
	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/fairshare"
)

const reasonExcess = "the customer exceeds its usual load while the service is overloaded"

// competition is what decides whether a request is refused for the excess of its customer.
type competition struct {
	key fairshare.Key
	// random is drawn once, so that a request that waits is not tried again and again.
	random float64
	// counted is set once the work of the request is part of the customer's rate.
	counted bool
	// refused is set if the request is refused for the excess of its customer.
	refused bool
}

// competes reports whether the capacity of services is divided among customers that exceed
// their usual load and others.
func (q *request) competes() bool {
	o := &q.server.options
	return o.Customers != nil && q.customer != nil && (o.Usage != nil || q.server.registry.paced.Load())
}

// countDemand adds the work of the request to the rate of its customer, once.
func (q *request) countDemand(c *dispatch.Choice) {
	if q.competition.counted || !q.competes() {
		return
	}
	q.competition = competition{key: fairshare.KeyOf(q.service, q.customer.Name), random: rand.Float64(), counted: true}
	q.server.options.Customers.Count(clock.Now(), q.competition.key, float64(max(1, c.Uncached)))
}

// refusedForExcess reports whether the first attempt of a request is refused because its
// customer exceeds its usual load.
func (q *request) refusedForExcess(c *dispatch.Choice) bool {
	if !q.competition.counted || q.attemptCount > 0 {
		return false
	}
	share := q.server.options.Customers.Share(clock.Now(), q.competition.key)
	q.competition.refused = fairshare.Refuses(share, c.Overload, c.Protected, q.competition.random)
	return q.competition.refused
}

// excessFields returns the event fields of a refusal for excess, none for others.
func (q *request) excessFields() []event.Field {
	if !q.competition.refused {
		return nil
	}
	q.server.options.Scope.Counter("fairshare_refused").Inc(1)
	return []event.Field{event.F("customer", q.customer.Name), event.F("customer_hash", q.competition.key.CustomerHash()), event.F("service_hash", q.competition.key.ServiceHash())}
}

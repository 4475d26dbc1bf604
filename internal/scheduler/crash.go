package scheduler

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"auburnstep.example/auburnstep/internal/quarantine"
	"auburnstep.example/auburnstep/internal/verdict"
)

// suspects returns the ids of what may make a request crash endpoints: prefixes of its
// prompt, and the request as a whole.
func suspects(prefixes []uint64, fingerprint string) []string {
	out := make([]string, 0, len(prefixes)+1)
	for _, p := range prefixes {
		out = append(out, strconv.FormatUint(p, 16))
	}
	if fingerprint != "" {
		out = append(out, quarantine.RequestPrefix+fingerprint)
	}
	return out
}

// trackCrashes records the outcome of a grant with respect to the request: a crash of the
// endpoint speaks against it, a complete response for it. Prefixes of the prompt are blamed
// only if the answer had begun: all requests that wait at an endpoint lose their answers
// before that, and many of them share prefixes.
func (c *Core) trackCrashes(now time.Time, g *grant, o Outcome) []Decision {
	switch {
	case len(g.suspects) == 0 || o.Unused:
		return nil
	case !o.Failed:
		c.crashes.RecordAnswered(now, g.suspects)
		return nil
	case !o.Crashed:
		return nil
	}
	request := g.requestID
	if i := strings.LastIndexByte(request, '-'); i > 0 { // Entries append the number of the attempt.
		request = request[:i]
	}
	blamed := g.suspects
	if o.CrashedBeforeHead {
		blamed = slices.DeleteFunc(slices.Clone(blamed), func(s string) bool { return !strings.HasPrefix(s, quarantine.RequestPrefix) })
	}
	c.crashes.Add(now, quarantine.Report{
		Endpoint: g.endpoint.spec.ID, Incarnation: int64(g.endpoint.spec.Incarnation), Request: request, Parts: blamed,
		SentAt: g.granted, LostAt: now,
	})
	return c.refuseQuarantined(now, nil)
}

// RecordCrashes records crashes that an entry reports. They include those under grants of
// other groups of the service and of former schedulers.
func (c *Core) RecordCrashes(now time.Time, crashes []Crash) []Decision {
	reports := make([]quarantine.Report, len(crashes))
	for i, r := range crashes {
		reports[i] = quarantine.Report{
			Endpoint: r.Endpoint, Incarnation: int64(r.Incarnation), Request: r.Request, Parts: suspects(r.Prefixes, r.Fingerprint),
			SentAt: r.SentAt, LostAt: r.LostAt,
		}
	}
	if !c.crashes.Merge(now, reports...) {
		return nil
	}
	return c.refuseQuarantined(now, nil)
}

// refuseQuarantined refuses the waiting requests that the quarantine concerns.
func (c *Core) refuseQuarantined(now time.Time, out []Decision) []Decision {
	if !c.crashes.Any() {
		return out
	}
	var found []*waiter
	for _, w := range c.waiting {
		if c.quarantined(w) != nil {
			found = append(found, w)
		}
	}
	slices.SortFunc(found, func(a, b *waiter) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, w := range found {
		c.withdraw(now, w)
		out = c.refuse(w, out, c.quarantined(w))
	}
	return out
}

// quarantined returns the refusal of a request that the quarantine concerns, and nil
// otherwise.
func (c *Core) quarantined(w *waiter) *verdict.Error {
	part, found := c.crashes.Find(w.suspects)
	switch {
	case !found:
		return nil
	case strings.HasPrefix(part, quarantine.RequestPrefix):
		return verdict.Overloaded("request_quarantined", "the request has crashed the endpoints that ran it", maxRetryAfter)
	}
	return verdict.Overloaded("prompt_quarantined", "a part of the prompt has crashed the endpoints that ran it", maxRetryAfter)
}

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

// promptParts returns prefixes of a prompt as parts for the quarantine.
func promptParts(prefixes []uint64) []string {
	parts := make([]string, len(prefixes))
	for i, p := range prefixes {
		parts[i] = strconv.FormatUint(p, 16)
	}
	return parts
}

// trackCrashes records the outcome of a grant with respect to the prefixes of the prompt:
// a crash of the endpoint speaks against them, a complete response for them.
func (c *Core) trackCrashes(now time.Time, g *grant, o Outcome) []Decision {
	switch {
	case len(g.prefixes) == 0 || o.Unused:
		return nil
	case !o.Failed:
		c.crashes.RecordAnswered(now, g.prefixes)
		return nil
	case !o.Crashed:
		return nil
	}
	request := g.requestID
	if i := strings.LastIndexByte(request, '-'); i > 0 { // Entries append the number of the attempt.
		request = request[:i]
	}
	c.crashes.Add(now, quarantine.Report{
		Endpoint: g.endpoint.spec.ID, Incarnation: int64(g.endpoint.spec.Incarnation), Request: request, Parts: g.prefixes,
		SentAt: g.granted, LostAt: now,
	})
	return c.refuseQuarantined(now, nil)
}

// refuseQuarantined refuses the waiting requests with a quarantined prefix.
func (c *Core) refuseQuarantined(now time.Time, out []Decision) []Decision {
	if !c.crashes.Any() {
		return out
	}
	var found []*waiter
	for _, w := range c.waiting {
		if c.isQuarantined(w) {
			found = append(found, w)
		}
	}
	slices.SortFunc(found, func(a, b *waiter) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, w := range found {
		c.withdraw(now, w)
		out = c.refuse(w, out, errQuarantined())
	}
	return out
}

func (c *Core) isQuarantined(w *waiter) bool {
	_, found := c.crashes.Find(w.prefixes)
	return found
}

func errQuarantined() *verdict.Error {
	return verdict.Overloaded("prompt_quarantined", "a part of the prompt has crashed the endpoints that ran it", maxRetryAfter)
}

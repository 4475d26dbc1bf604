package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Endpoints may share their machines with other work. They then report, with each response,
// how long work takes at this moment. That changes several times a second, so that a report
// is of use for the next request only if it is fresh: the candidates for a request are asked
// for their load before the choice, and what is old fades towards the mean.

const (
	// paceFresh is the age up to which a reported pace is used as it is: that of an answer to a
	// question that the entry has just asked.
	paceFresh = 40 * time.Millisecond
	// paceFade is the time in which an older report loses most of its weight. Other work slows
	// a machine for some hundred ms at a time.
	paceFade = 300 * time.Millisecond
	// paceMeanGain is the weight of a report in the mean pace.
	paceMeanGain = 0.01
	// minReportedPace and maxReportedPace bound what a report may say.
	minReportedPace = 0.1
	maxReportedPace = 20.0
	// maxAsked is the number of candidates that are asked for their load before a choice.
	maxAsked = 2
	// slowStreamPenaltyMs is the penalty for a stream with a short prompt at an endpoint of half
	// the usual speed. Each of its many events takes longer, which the time to the first one
	// does not show.
	slowStreamPenaltyMs = 100
)

// recordPace stores the pace that an endpoint reported. From the first one on, the balancer
// treats its endpoints as uneven.
func (b *Balancer) recordPace(now time.Time, s *endpointState, pace float64) {
	if pace <= 0 {
		return
	}
	pace = min(maxReportedPace, max(minReportedPace, pace))
	if !b.uneven {
		b.uneven, b.meanPace = true, 1
	}
	b.meanPace += paceMeanGain * (pace - b.meanPace)
	s.reportedPace, s.paceAt = pace, now
}

// ReportsPace reports whether an endpoint of the service has reported its pace.
func (b *Balancer) ReportsPace() bool { return b.uneven }

// machinePace returns how much longer than usual work is expected to take at an endpoint now.
func (b *Balancer) machinePace(now time.Time, s *endpointState) float64 {
	if !b.uneven {
		return 1
	}
	age := now.Sub(s.paceAt) - paceFresh
	if age <= 0 {
		return s.reportedPace
	}
	return b.meanPace + (s.reportedPace-b.meanPace)*math.Exp(-float64(age)/float64(paceFade))
}

// RecordLoad stores the load that an endpoint reported when it was asked for it.
func (b *Balancer) RecordLoad(now time.Time, id string, incarnation int64, r Report) {
	if s := b.states[id]; s != nil && s.Incarnation == incarnation {
		b.recordReport(now, s, r)
	}
}

// ToAsk returns the candidates for a request whose load is to be asked for before the
// choice: those of lowest cost, without those that have just reported. It is empty unless
// endpoints report their pace.
func (b *Balancer) ToAsk(now time.Time, d Demand, avoid []string) []Endpoint {
	if !b.uneven {
		return nil
	}
	var out []Endpoint
	for _, s := range b.likely(now, d, avoid) {
		// An endpoint with a limit is not asked, since each request may count.
		if now.Sub(s.paceAt) > paceFresh && s.limit.PerSecond == 0 {
			out = append(out, s.Endpoint)
		}
	}
	return out
}

// likely returns the endpoints of lowest cost for a request.
func (b *Balancer) likely(now time.Time, d Demand, avoid []string) []*endpointState {
	all := b.candidates(now, avoid)
	if b.memory == nil {
		return b.randomSubset(open(now, &d, all), maxAsked)
	}
	q, ok := b.newQuery(now, d, all)
	if !ok {
		return nil
	}
	var out []*endpointState
	if !q.shortPrompt {
		q.preferred = preferredEndpoints(q.pool, d.Prompt.Parts)
		q.source = fetchSource(now, q.otherPool, q.preferred, d.Prompt.Parts)
		out = slices.Clone(open(now, &d, q.preferred))
	}
	if len(out) == maxAsked {
		return out
	}
	var placements []placement
	for _, s := range b.sample(q.open) {
		placements = append(placements, b.estimate(&q, s))
	}
	slices.SortFunc(placements, func(x, y placement) int { return cmp.Compare(x.cost, y.cost) })
	for _, p := range placements {
		if len(out) < maxAsked && !slices.Contains(out, p.endpointState) {
			out = append(out, p.endpointState)
		}
	}
	return out
}

package estimate

import (
	"math"
	"time"
)

const (
	// paceGain weighs a new pace sample; an endpoint that slows down 5 times is
	// seen as 3 times slow after four samples.
	paceGain = 0.25
	// paceForget is the age after which half of a deviation is forgotten, so
	// that an endpoint that gets no requests is tried again.
	paceForget = 20 * time.Second
	// paceTrust is the number of samples before a deviation counts in full.
	paceTrust = 3
	maxSlow   = 20
	minSlow   = 0.5
)

// Pace is how slow one endpoint is relative to its group: 1 is normal, 2 takes
// twice as long. The zero value knows nothing.
type Pace struct {
	log     float64 // logarithm of the slowness
	samples int
	at      time.Time
	seconds float64 // smoothed seconds per token
}

// Add records that the endpoint took actual where the group takes expected.
func (p *Pace) Add(now time.Time, actual, expected float64) {
	if actual <= 0 || expected <= 0 {
		return
	}
	p.log = p.decayed(now)
	p.at = now
	p.samples++
	gain := max(paceGain, 1/float64(p.samples+1))
	p.log += gain * (math.Log(actual/expected) - p.log)
	if p.seconds == 0 {
		p.seconds = actual
	}
	p.seconds += gain * (actual - p.seconds)
}

// Slowness returns the estimate at now, between 0.5 and 20.
func (p *Pace) Slowness(now time.Time) float64 {
	trust := min(1, float64(p.samples)/paceTrust)
	return min(max(math.Exp(p.decayed(now)*trust), minSlow), maxSlow)
}

// Seconds returns the smoothed sample, zero if there is none.
func (p *Pace) Seconds() float64 { return p.seconds }

func (p *Pace) decayed(now time.Time) float64 {
	age := now.Sub(p.at)
	if p.samples == 0 || age <= 0 {
		return p.log
	}
	return p.log * math.Exp2(-age.Seconds()/paceForget.Seconds())
}

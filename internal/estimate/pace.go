package estimate

import (
	"math"
	"time"
)

const (
	// paceGain is the smoothing weight of a new sample. With 0.25, an endpoint that
	// becomes 5 times slower is estimated as 3 times slower after four samples.
	paceGain = 0.25
	// paceHalfLife is the age at which a deviation has decayed by half, so that an
	// endpoint that receives no requests is tried again.
	paceHalfLife = 20 * time.Second
	// fullConfidenceSamples is the number of samples from which a deviation counts in
	// full.
	fullConfidenceSamples = 3
	// maxSlowness and minSlowness bound the result of Slowness; 1 is normal.
	maxSlowness = 20
	minSlowness = 0.5
)

// Pace estimates how slow one endpoint is relative to its group: a slowness of 1 is
// normal, and with 2 the endpoint takes twice as long. The zero value has no samples
// and reports a slowness of 1.
type Pace struct {
	logSlowness     float64
	samples         int
	updatedAt       time.Time
	smoothedSeconds float64 // per token, or per request of a plain service
}

// Add records that the endpoint took actual seconds where the group takes expected
// seconds.
func (p *Pace) Add(now time.Time, actual, expected float64) {
	if actual <= 0 || expected <= 0 {
		return
	}
	p.logSlowness = p.decayedLog(now)
	p.updatedAt = now
	p.samples++
	gain := max(paceGain, 1/float64(p.samples+1))
	p.logSlowness += gain * (math.Log(actual/expected) - p.logSlowness)
	if p.smoothedSeconds == 0 {
		p.smoothedSeconds = actual
	}
	p.smoothedSeconds += gain * (actual - p.smoothedSeconds)
}

// Slowness returns the estimated slowness at now, which is limited to the range
// from 0.5 to 20.
func (p *Pace) Slowness(now time.Time) float64 {
	trust := min(1, float64(p.samples)/fullConfidenceSamples)
	return min(max(math.Exp(p.decayedLog(now)*trust), minSlowness), maxSlowness)
}

// SmoothedSeconds returns the smoothed actual seconds of the samples. It returns
// zero if there are none.
func (p *Pace) SmoothedSeconds() float64 { return p.smoothedSeconds }

// decayedLog returns the logarithm of the slowness, decayed by the age of the
// latest sample.
func (p *Pace) decayedLog(now time.Time) float64 {
	age := now.Sub(p.updatedAt)
	if p.samples == 0 || age <= 0 {
		return p.logSlowness
	}
	return p.logSlowness * math.Exp2(-age.Seconds()/paceHalfLife.Seconds())
}

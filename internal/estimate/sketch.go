// Package estimate estimates output lengths, durations and time per token from
// finished requests. Quantiles come from histograms with logarithmic buckets whose
// contents decay by count and by age, so that an estimate follows a shift within
// some tens of samples. Functions that depend on the time take it as a parameter.
package estimate

import (
	"math"
	"time"
)

const (
	bucketCount = 48
	// bucketsPerOctave gives a resolution of 26% per bucket; interpolation within a
	// bucket halves the error.
	bucketsPerOctave = 3
	// decaySamples is the number of later samples after which the weight of a
	// sample has decayed to 1/e. The median follows a shift within twice this
	// number.
	decaySamples = 32
	// halfLife is the age at which the weight of a sample has decayed by half.
	halfLife = 10 * time.Minute
	// minAgeStep is the minimum time between two decays by age, so that not every
	// sample has to rescale all 48 buckets for its age.
	minAgeStep = 5 * time.Second
)

// Sketch is a decayed histogram of positive values. Values below unit fall into
// the first bucket; the last bucket starts at unit * 2^(47/3), about 52,000
// units. The zero value is empty.
type Sketch struct {
	count  [bucketCount]float32
	mass   float32
	agedAt time.Time // time of the latest decay by age
}

// bucketOf returns the index of the bucket for v.
func bucketOf(v, unit float64) int {
	if !(v > unit) {
		return 0
	}
	return min(int(math.Log2(v/unit)*bucketsPerOctave), bucketCount-1)
}

// add records v with a weight in (0, 1].
func (s *Sketch) add(now time.Time, v, unit, weight float64) {
	s.decayByAge(now)
	factor := float32(1 - weight/decaySamples)
	for i := range s.count {
		s.count[i] *= factor
	}
	s.mass = s.mass*factor + float32(weight)
	s.count[bucketOf(v, unit)] += float32(weight)
}

// decayByAge reduces all counts by the time since the latest decay.
func (s *Sketch) decayByAge(now time.Time) {
	d := now.Sub(s.agedAt)
	if d < minAgeStep {
		return
	}
	if !s.agedAt.IsZero() {
		factor := float32(math.Exp2(-d.Seconds() / halfLife.Seconds()))
		for i := range s.count {
			s.count[i] *= factor
		}
		s.mass *= factor
	}
	s.agedAt = now
}

// quantile returns the value below which a fraction q of the mass lies.
func (s *Sketch) quantile(q, unit float64) float64 {
	remaining := float32(q) * s.mass
	lastFilled := 0
	for i, n := range s.count {
		if n <= 0 {
			continue
		}
		lastFilled = i
		if n >= remaining {
			within := float64(remaining / n)
			return unit * math.Exp2((float64(i)+within)/bucketsPerOctave)
		}
		remaining -= n
	}
	return unit * math.Exp2(float64(lastFilled+1)/bucketsPerOctave)
}

// mean returns the mean of the samples, each counted at the centre of its bucket.
func (s *Sketch) mean(unit float64) float64 {
	if s.mass <= 0 {
		return 0
	}
	sum := 0.0
	for i, n := range s.count {
		if n > 0 {
			sum += float64(n) * bucketCentres[i]
		}
	}
	return unit * sum / float64(s.mass)
}

// bucketCentres holds the centre of each bucket as a multiple of the unit.
var bucketCentres = func() (c [bucketCount]float64) {
	for i := range c {
		c[i] = math.Exp2((float64(i) + 0.5) / bucketsPerOctave)
	}
	return c
}()

// Package estimate learns output lengths, durations and token pace from
// finished requests. Quantiles come from histograms with logarithmic buckets
// whose contents decay by count and by age, so that an estimate follows a shift
// within some tens of samples. Time is a parameter everywhere.
package estimate

import (
	"math"
	"time"
)

const (
	buckets = 48
	// bucketsPerOctave gives a resolution of 26% per bucket; interpolation
	// inside a bucket halves the error.
	bucketsPerOctave = 3
	// memory is the number of samples after which an old one counts 1/e.
	// The median follows a shift within twice this number.
	memory = 32
	// halfLife is the age at which a sample counts half.
	halfLife = 10 * time.Minute
	// ageStep avoids decaying 48 buckets on every sample.
	ageStep = 5 * time.Second
)

// Sketch is a decayed histogram of positive values. Values below unit fall into
// the first bucket; the last bucket starts at unit * 2^(47/3), about 52,000
// units. The zero value is empty.
type Sketch struct {
	count [buckets]float32
	mass  float32
	at    time.Time
}

func bucketOf(v, unit float64) int {
	if !(v > unit) {
		return 0
	}
	return min(int(math.Log2(v/unit)*bucketsPerOctave), buckets-1)
}

// add records v with a weight in (0, 1].
func (s *Sketch) add(now time.Time, v, unit, weight float64) {
	s.age(now)
	keep := float32(1 - weight/memory)
	for i := range s.count {
		s.count[i] *= keep
	}
	s.mass = s.mass*keep + float32(weight)
	s.count[bucketOf(v, unit)] += float32(weight)
}

func (s *Sketch) age(now time.Time) {
	d := now.Sub(s.at)
	if d < ageStep {
		return
	}
	if !s.at.IsZero() {
		keep := float32(math.Exp2(-d.Seconds() / halfLife.Seconds()))
		for i := range s.count {
			s.count[i] *= keep
		}
		s.mass *= keep
	}
	s.at = now
}

// quantile returns the value below which a fraction q of the mass lies.
func (s *Sketch) quantile(q, unit float64) float64 {
	left := float32(q) * s.mass
	last := 0
	for i, n := range s.count {
		if n <= 0 {
			continue
		}
		last = i
		if n >= left {
			within := float64(left / n)
			return unit * math.Exp2((float64(i)+within)/bucketsPerOctave)
		}
		left -= n
	}
	return unit * math.Exp2(float64(last+1)/bucketsPerOctave)
}

// mean returns the mean of the bucket centres.
func (s *Sketch) mean(unit float64) float64 {
	if s.mass <= 0 {
		return 0
	}
	sum := 0.0
	for i, n := range s.count {
		if n > 0 {
			sum += float64(n) * centres[i]
		}
	}
	return unit * sum / float64(s.mass)
}

// centres holds the centre of each bucket in units.
var centres = func() (c [buckets]float64) {
	for i := range c {
		c[i] = math.Exp2((float64(i) + 0.5) / bucketsPerOctave)
	}
	return c
}()

package scheduler

import (
	"math"
	"time"
)

// rateMemory is the time constant of decayed rates: short enough to see a burst
// within seconds, long enough to smooth single requests.
const rateMemory = 10 * time.Second

// rate is an exponentially decayed rate per second.
type rate struct {
	sum float64
	at  time.Time
}

func (r *rate) add(now time.Time, v float64) {
	r.decay(now)
	r.sum += v
}

func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.sum / rateMemory.Seconds()
}

func (r *rate) decay(now time.Time) {
	if d := now.Sub(r.at); d > 0 {
		if !r.at.IsZero() {
			r.sum *= math.Exp(-d.Seconds() / rateMemory.Seconds())
		}
		r.at = now
	}
}

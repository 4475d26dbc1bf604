package scheduler

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the exponential decay: short enough
// to show a burst within seconds, long enough to smooth out single requests.
const rateTimeConstant = 10 * time.Second

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
	return r.sum / rateTimeConstant.Seconds()
}

func (r *rate) decay(now time.Time) {
	if d := now.Sub(r.at); d > 0 {
		if !r.at.IsZero() {
			r.sum *= math.Exp(-d.Seconds() / rateTimeConstant.Seconds())
		}
		r.at = now
	}
}

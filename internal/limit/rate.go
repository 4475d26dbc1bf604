package limit

import "time"

// burstDuration is the time over which an unused token rate accumulates. Even at
// a low rate, the burst must be large enough for a single request of several
// thousand tokens.
const burstDuration = 10 * time.Second

// TokenBucket limits a token rate and may go into debt. Work is charged its
// estimated cost when it starts, and the charge is corrected to the actual cost when
// it ends; new work waits until the debt is paid off. The zero value becomes full at
// its first use.
type TokenBucket struct {
	level     float64
	updatedAt time.Time
}

// Wait returns the time until work may start at the given rate; zero means that
// it may start at once. A rate of zero means unlimited.
func (r *TokenBucket) Wait(now time.Time, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	r.refill(now, perSecond)
	if r.level > 0 {
		return 0
	}
	return time.Duration((1 - r.level) / perSecond * float64(time.Second))
}

// Charge takes tokens from the bucket. A negative number returns tokens to it.
func (r *TokenBucket) Charge(now time.Time, perSecond, tokens float64) {
	if perSecond <= 0 {
		return
	}
	r.refill(now, perSecond)
	r.level = min(r.level-tokens, perSecond*burstDuration.Seconds())
}

func (r *TokenBucket) refill(now time.Time, perSecond float64) {
	capacity := perSecond * burstDuration.Seconds()
	if r.updatedAt.IsZero() {
		r.level, r.updatedAt = capacity, now
		return
	}
	if d := now.Sub(r.updatedAt); d > 0 {
		r.level = min(r.level+perSecond*d.Seconds(), capacity)
		r.updatedAt = now
	}
}

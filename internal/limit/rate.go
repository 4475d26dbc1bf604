package limit

import "time"

// rateBurst is the time for which an unused token rate is saved up. Single
// requests of some thousand tokens must fit into small rates.
const rateBurst = 10 * time.Second

// Rate is a bucket of tokens that may go into debt: work is charged by its
// estimate, corrected by what it really took, and new work waits until the debt
// is paid. The zero value is full at its first use.
type Rate struct {
	level float64
	at    time.Time
}

// Wait returns how long it takes at the given rate until work may start; zero
// means at once. A rate of zero is no limit.
func (r *Rate) Wait(now time.Time, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	r.fill(now, perSecond)
	if r.level > 0 {
		return 0
	}
	return time.Duration((1 - r.level) / perSecond * float64(time.Second))
}

// Charge takes tokens, or returns them if negative.
func (r *Rate) Charge(now time.Time, perSecond, tokens float64) {
	if perSecond <= 0 {
		return
	}
	r.fill(now, perSecond)
	r.level = min(r.level-tokens, perSecond*rateBurst.Seconds())
}

func (r *Rate) fill(now time.Time, perSecond float64) {
	full := perSecond * rateBurst.Seconds()
	if r.at.IsZero() {
		r.level, r.at = full, now
		return
	}
	if d := now.Sub(r.at); d > 0 {
		r.level = min(r.level+perSecond*d.Seconds(), full)
		r.at = now
	}
}

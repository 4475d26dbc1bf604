package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Entry measures the work that customers ask of one entry, and holds the customers that a
// member has named. It is safe for concurrent use.
type Entry struct {
	excess atomic.Pointer[excessList]

	mu    sync.Mutex
	rates map[Key]*decayingRate
}

type excessList struct {
	at     time.Time
	shares map[Key]float64
}

// decayingRate is a sum of work in which each part decays with rateDecay.
type decayingRate struct {
	sum float64
	at  time.Time
}

func (r *decayingRate) decayTo(now time.Time) float64 {
	if age := now.Sub(r.at); age > 0 {
		r.sum *= math.Exp(-age.Seconds() / rateDecay.Seconds())
		r.at = now
	}
	return r.sum
}

// NewEntry returns an entry that has measured nothing.
func NewEntry() *Entry {
	e := &Entry{rates: make(map[Key]*decayingRate)}
	e.excess.Store(&excessList{})
	return e
}

// Count adds the work of one request.
func (e *Entry) Count(now time.Time, k Key, work float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.rates[k]
	if r == nil {
		if len(e.rates) >= maxMeasured {
			return // Report removes customers that send nothing more.
		}
		r = &decayingRate{at: now}
		e.rates[k] = r
	}
	r.decayTo(now)
	r.sum += work
}

// Report returns the customers with most work, relative to all work of their service at this
// entry.
func (e *Entry) Report(now time.Time) []Rate {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Rate, 0, len(e.rates))
	totals := make(map[uint32]float64)
	// Rates below a thousandth are 0 in messages.
	maps.DeleteFunc(e.rates, func(_ Key, r *decayingRate) bool { return r.decayTo(now)/rateDecay.Seconds() < 0.001 })
	for k, r := range e.rates {
		out = append(out, Rate{k, r.sum / rateDecay.Seconds()})
		totals[k.Service] += r.sum
	}
	out = slices.DeleteFunc(out, func(r Rate) bool { return r.PerSecond*rateDecay.Seconds() < minReported*totals[r.Service] })
	slices.SortFunc(out, func(a, b Rate) int {
		return cmp.Or(cmp.Compare(b.PerSecond/totals[b.Service], a.PerSecond/totals[a.Service]), compareKeys(a.Key, b.Key))
	})
	return out[:min(len(out), MaxReported)]
}

// SetExcess replaces the customers that exceed their usual rate.
func (e *Entry) SetExcess(now time.Time, excess []Excess) {
	shares := make(map[Key]float64, len(excess))
	for _, x := range excess {
		shares[x.Key] = min(maxRefused, x.Refuse)
	}
	e.excess.Store(&excessList{now, shares})
}

// Share returns the share of a customer's requests to refuse, 0 once the last answer of a
// member is too old.
func (e *Entry) Share(now time.Time, k Key) float64 {
	l := e.excess.Load()
	if now.Sub(l.at) >= excessTTL {
		return 0
	}
	return l.shares[k]
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Customer, b.Customer))
}

package usage

import (
	"slices"
	"time"
)

const (
	// minSources is the number of wall clocks from which a median is taken. With fewer, one
	// wrong clock may be the median.
	minSources = 3
	// maxSources bounds the sources of an estimate: more than twice the 390 entries of the
	// two-year target.
	maxSources = 1024
	// sourceRetention is how long a source counts after its last observation, as long as
	// enough others are left: an instance may have gone while its clock was wrong.
	sourceRetention = time.Minute
	// With more than eagerSources sources, the median is computed at most once in
	// medianInterval: a member that 300 entries poll would otherwise sort the offsets several
	// hundred times a second.
	eagerSources   = 16
	medianInterval = 100 * time.Millisecond
	// offsetTolerance is the difference of two offsets that delays of messages explain.
	offsetTolerance = 100 * time.Millisecond
)

// Estimate estimates the true time from the wall clocks of several instances. Each source is
// reduced to its offset against the steady clock of this process, and the median of the
// offsets is added to the steady clock. A wall clock that jumps moves one offset only.
// An Estimate is not safe for concurrent use.
type Estimate struct {
	// own is the offset of this instance's wall clock. It takes part in the median if
	// includeOwn is set, or if there are fewer than minSources others.
	own        time.Duration
	includeOwn bool
	sources    map[string]source

	offset     time.Duration
	outdated   bool // an observation is not part of offset
	computedAt time.Time
}

type source struct {
	offset time.Duration
	seenAt time.Time
	// unconfirmed is an offset that was too low to be used at once, if hasUnconfirmed is set.
	unconfirmed    time.Duration
	hasUnconfirmed bool
}

// newEstimate returns an estimate that equals the own wall clock. Steady times are readings
// of internal/clock.
func newEstimate(steady, wall time.Time, includeOwn bool) Estimate {
	e := Estimate{includeOwn: includeOwn, sources: make(map[string]source), computedAt: steady}
	e.ObserveOwn(steady, wall)
	return e
}

// ObserveOwn records a reading of the own wall clock.
func (e *Estimate) ObserveOwn(steady, wall time.Time) {
	e.own, e.outdated = offsetOf(steady, wall), true
}

// Observe records a reading of a source's clock that was taken at a steady time. A message
// that arrives late looks like a clock that was set back, and all messages to an instance that
// was suspended arrive late. So a lower offset is used once the next one confirms it.
func (e *Estimate) Observe(name string, steady, wall time.Time) {
	s, known := e.sources[name]
	if !known && len(e.sources) >= maxSources {
		return
	}
	offset := offsetOf(steady, wall)
	confirmed := s.hasUnconfirmed && (offset-s.unconfirmed).Abs() <= offsetTolerance
	if known && offset < s.offset-offsetTolerance && !confirmed {
		s.unconfirmed, s.hasUnconfirmed = offset, true
		e.sources[name] = s
		return
	}
	e.sources[name] = source{offset: offset, seenAt: steady}
	e.outdated = true
}

// At returns the estimate of the true time at a steady time.
func (e *Estimate) At(steady time.Time) time.Time {
	if e.outdated && (len(e.sources) <= eagerSources || steady.Sub(e.computedAt) >= medianInterval) {
		e.offset, e.outdated, e.computedAt = e.median(steady), false, steady
	}
	return time.Unix(0, steady.UnixNano()+int64(e.offset))
}

// OwnError returns by how much the own wall clock is ahead of the estimate.
func (e *Estimate) OwnError() time.Duration { return e.own - e.offset }

// median returns the median of the offsets, or the own one if there are too few.
func (e *Estimate) median(steady time.Time) time.Duration {
	e.expire(steady)
	offsets := make([]time.Duration, 0, len(e.sources)+1)
	for _, s := range e.sources {
		offsets = append(offsets, s.offset)
	}
	if e.includeOwn || len(offsets) < minSources {
		offsets = append(offsets, e.own)
	}
	if len(offsets) < minSources {
		return e.own
	}
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2]
}

// expire drops the sources past their retention. It keeps all of them if too few others are
// left: the steady clock carries an old median on better than one wall clock could replace it.
func (e *Estimate) expire(steady time.Time) {
	var old []string
	for name, s := range e.sources {
		if steady.Sub(s.seenAt) > sourceRetention {
			old = append(old, name)
		}
	}
	if len(e.sources)-len(old) < minSources {
		return
	}
	for _, name := range old {
		delete(e.sources, name)
	}
}

func offsetOf(steady, wall time.Time) time.Duration {
	return time.Duration(wall.UnixNano() - steady.UnixNano())
}

package directory

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
)

var limitStart = time.Unix(1_700_000_000, 0)

func limitAt(ms int) time.Time { return limitStart.Add(time.Duration(ms) * time.Millisecond) }

// TestPermitsKeepToLimit guards against more permits than a limit allows, in every window
// of 4 s and after any pause, and against permits that are not given although they are due.
func TestPermitsKeepToLimit(t *testing.T) {
	for _, perSecond := range []float64{0.1, 0.7, 1.2, 3, 8.2, 50} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			table, key := newLimitTable(), endpointKey{"e", 1}
			limit := dispatch.Limit{PerSecond: perSecond, At: limitAt(0)}
			var granted []int
			const stepMs, endMs = 5, 60_000
			for ms := 0; ms < endMs; ms += stepMs {
				if ms > 20_000 && ms < 30_000 { // Nobody asks.
					continue
				}
				if ok, wait := table.acquire(limitAt(ms), key, limit); ok {
					granted = append(granted, ms)
				} else {
					qt.Assert(t, wait > 0 && wait <= maxPermitWait, qt.IsTrue, qt.Commentf("%s", wait))
				}
			}
			for i, from := range granted {
				n := 0
				for _, ms := range granted[i:] {
					if ms < from+4000 {
						n++
					}
				}
				qt.Assert(t, float64(n) <= 1.5*perSecond*4+5, qt.IsTrue, qt.Commentf("%d permits in 4 s from %d ms", n, from))
			}
			qt.Check(t, float64(len(granted)) >= 0.9*perSecond*50-1, qt.IsTrue, qt.Commentf("%d permits in 50 s", len(granted)))
		})
	}
}

// TestLatestObservationOfLimitCounts guards against a limit that a delayed message brings
// back after it has ended, or that the loss of a message makes endless.
func TestLatestObservationOfLimitCounts(t *testing.T) {
	table, key := newLimitTable(), endpointKey{"e", 1}
	table.observe(limitAt(1000), key, dispatch.Limit{PerSecond: 2, At: limitAt(900)})
	table.observe(limitAt(2000), key, dispatch.Limit{At: limitAt(1900)})
	table.observe(limitAt(2100), key, dispatch.Limit{PerSecond: 2, At: limitAt(1500)})
	qt.Check(t, table.since(0)[key].PerSecond, qt.Equals, 0.0)
	granted, _ := table.acquire(limitAt(2200), key, dispatch.Limit{PerSecond: 2, At: limitAt(1600)})
	qt.Check(t, granted, qt.IsTrue)
	// A later incarnation has no limit.
	qt.Check(t, table.since(0)[endpointKey{"e", 2}], qt.Equals, dispatch.Limit{})
	table.expire(limitAt(1900).Add(limitRetention + time.Millisecond))
	qt.Check(t, table.limits, qt.HasLen, 0)
}

// TestLimitReachesEveryEntry guards against entries that exceed a limit which only others
// have been told of, and against a restart of the member that has collected it.
func TestLimitReachesEveryEntry(t *testing.T) {
	m := newLocalMember()
	observer, other := newTestEntry("observer"), newTestEntry("other")
	endpoint := dispatch.Endpoint{ID: "e", Incarnation: 7}
	observer.options.Limits.Observe(endpoint, dispatch.Limit{PerSecond: 3, At: time.Now()})
	observer.poll(m)
	other.poll(m)
	qt.Check(t, other.options.Limits.Changed(), qt.IsTrue)
	qt.Check(t, other.options.Limits.Changed(), qt.IsFalse)
	qt.Check(t, other.options.Limits.Of("e", 7).PerSecond, qt.Equals, 3.0)
	qt.Check(t, other.options.Limits.Of("e", 8).PerSecond, qt.Equals, 0.0)

	m.service = NewService(nil, NewCrashes(nil, nil), "")
	observer.poll(m)
	observer.poll(m)
	late := newTestEntry("late")
	late.poll(m)
	qt.Check(t, late.options.Limits.Of("e", 7).PerSecond, qt.Equals, 3.0)

	observer.options.Limits.Observe(endpoint, dispatch.Limit{At: time.Now().Add(time.Second)})
	observer.poll(m)
	late.poll(m)
	qt.Check(t, late.options.Limits.Of("e", 7).PerSecond, qt.Equals, 0.0)
}

// TestEntriesAgreeOnCoordinator guards against permits from two members at the same time,
// and against a coordinator that all endpoints share.
func TestEntriesAgreeOnCoordinator(t *testing.T) {
	members := []*localMember{newLocalMember(), newLocalMember(), newLocalMember()}
	entries := []*testEntry{newTestEntry("a"), newTestEntry("b"), newTestEntry("c")}
	for _, e := range entries {
		for i, m := range members {
			e.poll(m)
			e.Client.pollers[fmt.Sprint("m", i)] = e.pollers[m]
			e.pollers[m].address = fmt.Sprint("m", i)
		}
	}
	count := func() (coordinated []int) {
		for _, m := range members {
			coordinated = append(coordinated, len(m.service.limits.limits))
		}
		return coordinated
	}
	limit := dispatch.Limit{PerSecond: 100, At: time.Now()}
	const endpoints = 60
	for i := range endpoints {
		for _, e := range entries {
			e.options.Limits.Acquire(context.Background(), dispatch.Endpoint{ID: fmt.Sprint("e", i)}, limit)
		}
	}
	sum := 0
	for _, n := range count() {
		qt.Check(t, n >= endpoints/6, qt.IsTrue, qt.Commentf("%v", count()))
		sum += n
	}
	qt.Check(t, sum, qt.Equals, endpoints)
}

// TestSilentCoordinatorIsReplaced guards against requests that each wait for a member that
// does not respond.
func TestSilentCoordinatorIsReplaced(t *testing.T) {
	members := []*localMember{newLocalMember(), newLocalMember()}
	e := newTestEntry("a")
	for i, m := range members {
		e.poll(m)
		e.Client.pollers[fmt.Sprint("m", i)] = e.pollers[m]
		e.pollers[m].address = fmt.Sprint("m", i)
	}
	key, limit := endpointKey{"e", 1}, dispatch.Limit{PerSecond: 100, At: time.Now()}
	coordinator, other := members[0], members[1]
	if coordinatorWeight("m1", key) > coordinatorWeight("m0", key) {
		coordinator, other = other, coordinator
	}
	coordinator.silent = true
	_, _, err := e.acquire(context.Background(), key, limit)
	qt.Check(t, err, qt.IsNotNil)
	_, _, err = e.acquire(context.Background(), key, limit)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, other.service.limits.limits, qt.HasLen, 1)

	coordinator.silent = false
	e.poll(coordinator)
	_, _, err = e.acquire(context.Background(), key, limit)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, coordinator.service.limits.limits, qt.HasLen, 1)
}

// TestPermitsWithoutCoordinator guards against entries that exceed a limit together, or
// send nothing, while no control member responds.
func TestPermitsWithoutCoordinator(t *testing.T) {
	const entries, perSecond = 8, 4.0
	granted := 0
	for range entries {
		l := NewLimits(nil)
		l.entries = func() int { return entries }
		for ms := 0; ms < 10_000; ms += 20 {
			if ok, _ := l.takeAlone(limitAt(ms), endpointKey{"e", 1}, dispatch.Limit{PerSecond: perSecond}); ok {
				granted++
			}
		}
	}
	qt.Check(t, granted >= 24 && granted <= 40, qt.IsTrue, qt.Commentf("%d requests in 10 s", granted))
}

// TestFallbackPermitsAccumulateBetweenOutages guards against entries that, in a short outage
// of the coordinator, all use permits that they have saved while the coordinator gave out
// those of the same time.
func TestFallbackPermitsAccumulateBetweenOutages(t *testing.T) {
	const (
		entries, perSecond = 8, 1.1
		outage             = 200 * time.Millisecond
		// maxExtra is what the users' rule adds to one and a half times the limit.
		maxExtra = 5
	)
	synctest.Test(t, func(t *testing.T) {
		down, granted := true, 0
		var all []*Limits
		for range entries {
			l := NewLimits(nil)
			l.entries = func() int { return entries }
			l.coordinate = func(context.Context, endpointKey, dispatch.Limit) (bool, time.Duration, error) {
				if down {
					return false, 0, Error.New("no response")
				}
				return false, time.Second, nil
			}
			all = append(all, l)
		}
		run := func(length time.Duration) {
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				for _, l := range all {
					if ok, _ := l.Acquire(context.Background(), dispatch.Endpoint{ID: "e", Incarnation: 1}, dispatch.Limit{PerSecond: perSecond}); ok {
						granted++
					}
				}
			}
		}
		for range 3 {
			down, granted = true, 0
			run(outage)
			qt.Check(t, granted <= maxExtra, qt.IsTrue, qt.Commentf("%d requests in %v without a coordinator", granted, outage))
			down = false
			run(20 * time.Second)
		}
	})
}

// TestMalformedLimit guards against a limit that no arithmetic holds for.
func TestMalformedLimit(t *testing.T) {
	for _, perSecond := range []float64{-1, math.NaN(), math.Inf(1)} {
		_, l := unpackLimit(limitAt(0), &directoryv1.EndpointLimit{Endpoint: "e", PerSecond: perSecond})
		qt.Check(t, l.PerSecond, qt.Equals, 0.0)
	}
}

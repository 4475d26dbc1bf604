package feed

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// maxTestWait bounds a call of CurrentView.
const maxTestWait = 10 * time.Second

// currentView returns the result of CurrentView and how long it took.
func currentView(c *Client) (v *View, confirmed bool, took time.Duration) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), maxTestWait)
	defer cancel()
	v, confirmed = c.CurrentView(ctx)
	return v, confirmed, time.Since(began)
}

// TestResumedInstanceUsesOldTable guards against an instance that stood still and serves
// requests that waited meanwhile by the table that it had before.
func TestResumedInstanceUsesOldTable(t *testing.T) {
	for _, silent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			members := newCluster(3)
			c := newClusterClient(members)
			var stoodStill atomic.Int64 // the time that has passed without running timers
			c.options.Clock = func() time.Time { return time.Now().Add(time.Duration(stoodStill.Load())) }
			defer startClient(c)()
			time.Sleep(time.Second)
			for phase := range 8 {
				members.set(func() {
					members.version++
					members.silent[c.selector.pick()] = silent
				})
				stoodStill.Add(int64(3 * time.Second))
				v, confirmed, took := currentView(c)
				qt.Check(t, v.RoutingVersion(), qt.Equals, members.version)
				qt.Check(t, confirmed, qt.IsTrue)
				qt.Check(t, took <= time.Second, qt.IsTrue, qt.Commentf("phase %d: waited %v", phase, took))
				members.set(func() { clear(members.silent) })
				time.Sleep(5*time.Second + time.Duration(phase)*40*time.Millisecond)
			}
		})
	}
}

// TestCurrentViewOfInstanceInTouch guards against requests that wait though members answer.
func TestCurrentViewOfInstanceInTouch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterClient(newCluster(3))
		defer startClient(c)()
		time.Sleep(time.Second)
		for range 1000 {
			_, confirmed, took := currentView(c)
			qt.Assert(t, confirmed, qt.IsTrue)
			qt.Assert(t, took, qt.Equals, time.Duration(0))
			time.Sleep(7 * time.Millisecond)
		}
	})
}

// TestCurrentViewOfIsolatedInstance guards against an instance that takes its view for
// confirmed though no member confirms it, or stops serving while all members are away.
func TestCurrentViewOfIsolatedInstance(t *testing.T) {
	for name, isolate := range map[string]func(m *cluster){
		"silent": func(m *cluster) {
			for _, name := range m.names {
				m.silent[name] = true
			}
		},
		"no leader": func(m *cluster) {
			m.respond = func(string, *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
				return nil, errors.New("this member is not the leader")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				members := newCluster(7)
				c := newClusterClient(members)
				defer startClient(c)()
				time.Sleep(time.Second)
				members.set(func() { isolate(members) })
				began, waited := time.Now(), time.Duration(0)
				for time.Since(began) < time.Minute {
					v, confirmed, took := currentView(c)
					waited += took
					qt.Assert(t, v.RoutingVersion(), qt.Equals, uint64(1))
					qt.Assert(t, confirmed, qt.Equals, time.Since(v.ConfirmedAt) <= confirmedFor)
					time.Sleep(10 * time.Millisecond)
				}
				qt.Check(t, waited < 3*time.Second, qt.IsTrue, qt.Commentf("waited %v in all", waited))
				members.set(func() { clear(members.silent); members.respond = nil; members.version++ })
				time.Sleep(tableApplyTime)
				v, confirmed, _ := currentView(c)
				qt.Check(t, confirmed, qt.IsTrue)
				qt.Check(t, v.RoutingVersion(), qt.Equals, members.version)
			})
		})
	}
}

// TestIsolatedInstanceResumes guards against an instance that was cut off before it stood
// still, and after that takes the failed polls from before for an answer.
func TestIsolatedInstanceResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := newCluster(3)
		c := newClusterClient(members)
		var stoodStill atomic.Int64
		c.options.Clock = func() time.Time { return time.Now().Add(time.Duration(stoodStill.Load())) }
		defer startClient(c)()
		time.Sleep(time.Second)
		members.set(func() {
			for _, name := range members.names {
				members.silent[name] = true
			}
		})
		time.Sleep(10 * time.Second)
		_, confirmed, _ := currentView(c)
		qt.Check(t, confirmed, qt.IsFalse)
		members.set(func() { clear(members.silent); members.version++ })
		stoodStill.Add(int64(2 * askedFor))
		v, confirmed, _ := currentView(c)
		qt.Check(t, confirmed, qt.IsTrue)
		qt.Check(t, v.RoutingVersion(), qt.Equals, members.version)
	})
}

// TestInvalidTableConfirmsNothing guards against a response that confirms the table in
// force though it carries another that cannot be applied.
func TestInvalidTableConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := newCluster(3)
		c := newClusterClient(members)
		defer startClient(c)()
		time.Sleep(time.Second)
		members.set(func() {
			members.respond = func(string, *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
				return &controlv1.FeedResponse{FreshForMs: 3000, Routing: &controlv1.RoutingTable{Version: 2, Document: []byte("{")}}, nil
			}
		})
		time.Sleep(5 * time.Second)
		qt.Check(t, c.Age(c.View()) > 4*time.Second, qt.IsTrue)
		members.set(func() { members.respond = nil })
		time.Sleep(time.Second)
		qt.Check(t, c.Age(c.View()) < 500*time.Millisecond, qt.IsTrue)
		qt.Check(t, c.Fresh(), qt.IsTrue)
	})
}

// stallingCluster is a cluster whose responses can stall after their first byte.
type stallingCluster struct {
	*cluster
	stalled bool
}

// Feed implements MemberClient.
func (s *stallingCluster) Feed(ctx context.Context, address string, r *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
	s.mu.Lock()
	stalled := s.stalled
	s.mu.Unlock()
	if stalled {
		httptrace.ContextClientTrace(ctx).GotFirstResponseByte()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return s.cluster.Feed(ctx, address, r)
}

// countWaits calls CurrentView every 50 ms for a time, with the bound of a request, and
// returns the number of calls that waited.
func countWaits(c *Client, duration time.Duration) (waited int) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		began := time.Now()
		c.CurrentView(ctx)
		cancel()
		if time.Since(began) > 0 {
			waited++
		}
	}
	return waited
}

// TestStalledTransferDelaysRequests guards against requests that each wait while an instance
// is cut off, because it allows a long time for the transfer of the whole settings.
func TestStalledTransferDelaysRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newCluster(3)
		s := &stallingCluster{cluster: m}
		c := newClusterClient(m)
		c.options.MemberClient = s
		defer startClient(c)()
		time.Sleep(2 * time.Second)
		m.set(func() {
			s.stalled = true
			for _, name := range m.names {
				m.silent[name] = true
			}
		})
		time.Sleep(confirmedFor)
		m.set(func() { s.stalled = false })
		countWaits(c, 3*time.Second)
		qt.Assert(t, countWaits(c, time.Minute), qt.Equals, 0)
	})
}

// TestStartWithoutLeaderDelaysRequests guards against requests that each wait at an instance
// that has got a table but no confirmation since its start.
func TestStartWithoutLeaderDelaysRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newCluster(3)
		m.silent["m0"] = true
		m.respond = func(_ string, r *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
			if r.RoutingVersion < 1 {
				return &controlv1.FeedResponse{Routing: &controlv1.RoutingTable{Version: 1, Document: tableDocument(1)}}, nil
			}
			return nil, errors.New("no leader")
		}
		c := newClusterClient(m)
		defer startClient(c)()
		time.Sleep(2 * time.Second)
		qt.Assert(t, c.View().RoutingVersion(), qt.Equals, uint64(1))
		countWaits(c, 3*time.Second)
		qt.Assert(t, countWaits(c, time.Minute), qt.Equals, 0)
	})
}

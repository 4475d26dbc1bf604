package feed

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// snapshotTestTime is longer than a slow transfer, and than the wait for a stopped one.
const snapshotTestTime = 1600 * time.Millisecond

// slowMembers is a MemberClient whose responses begin to arrive and take time to end.
type slowMembers struct {
	*cluster
	firstByte, duration time.Duration
	snapshots           atomic.Int64
}

func (s *slowMembers) Feed(ctx context.Context, address string, r *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
	s.snapshots.Add(1)
	s.mu.Lock()
	waits := []time.Duration{s.firstByte, s.duration}
	s.mu.Unlock()
	for i, d := range waits {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(d):
		}
		if trace := httptrace.ContextClientTrace(ctx); i == 0 && trace != nil {
			trace.GotFirstResponseByte()
		}
	}
	return s.cluster.Feed(ctx, address, r)
}

// TestSlowSnapshotIsRequestedOnce guards against an instance that asks several members for
// the whole settings because the transfer takes long, and against one that asks no other
// member though the transfer has stopped.
func TestSlowSnapshotIsRequestedOnce(t *testing.T) {
	for _, test := range []struct {
		name                string
		firstByte, duration time.Duration
		requests            int64
		applied             bool // within snapshotTestTime
	}{
		{"fast", 10 * time.Millisecond, 50 * time.Millisecond, 1, true},
		{"slow transfer", 300 * time.Millisecond, 900 * time.Millisecond, 1, true},
		{"late transfer", 500 * time.Millisecond, 900 * time.Millisecond, 2, true},
		{"stopped transfer", 100 * time.Millisecond, time.Hour, 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &slowMembers{cluster: newCluster(3), firstByte: test.firstByte, duration: test.duration}
				c := newClusterClient(s.cluster)
				c.options.MemberClient = s
				defer startClient(c)()
				for began := time.Now(); !c.Fresh() && time.Since(began) < snapshotTestTime; {
					time.Sleep(10 * time.Millisecond)
				}
				qt.Check(t, s.snapshots.Load(), qt.Equals, test.requests)
				qt.Check(t, c.Fresh(), qt.Equals, test.applied)
			})
		})
	}
}

// TestLargeTableIsCutShort guards against an instance that never receives a response which
// takes longer than the bound of a usual poll.
func TestLargeTableIsCutShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowMembers{cluster: newCluster(3), firstByte: 10 * time.Millisecond}
		c := newClusterClient(s.cluster)
		c.options.MemberClient = s
		defer startClient(c)()
		time.Sleep(time.Second)
		qt.Assert(t, c.View().RoutingVersion(), qt.Equals, uint64(1))
		s.set(func() { s.version++; s.duration = 700 * time.Millisecond })
		time.Sleep(3 * time.Second)
		qt.Check(t, c.View().RoutingVersion(), qt.Equals, uint64(2))
	})
}

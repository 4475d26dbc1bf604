package control

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/control/feed"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

func pollOf(name string, incarnation uint64, reports ...*controlv1.GroupReport) *controlv1.FeedRequest {
	return &controlv1.FeedRequest{Self: &controlv1.EntryInfo{Instance: name, PeerAddress: name}, Incarnation: incarnation, Groups: reports}
}

// TestHolderIsReplaced guards the rules for taking a group from its holder:
// never before the lease of the holder has ended by the clock of the holder,
// also under a new leader.
func TestHolderIsReplaced(t *testing.T) {
	const group = "lotes/0"
	held := &controlv1.Assignment{Group: group, Instance: "a", Epoch: 3}
	report := func(epoch uint64) *controlv1.GroupReport {
		r := &controlv1.GroupReport{Group: group, Epoch: epoch}
		if epoch == 0 {
			r.GivenUp = 3
		}
		return r
	}
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	early, late := formerLeaseWait-time.Millisecond, formerLeaseWait
	for _, test := range []struct {
		name  string
		a     *controlv1.Assignment
		setup func(l *liveness)
		now   time.Duration
		want  string
	}{
		{"holder polls", held, func(l *liveness) { l.recordPoll(1, at(late), pollOf("a", 1, report(3))) }, 2*late - time.Millisecond, ""},
		{"holder stopped polling", held, func(l *liveness) { l.recordPoll(1, at(time.Second), pollOf("a", 1, report(3))) }, time.Second + late, "b"},
		{"new leader, holder has not polled yet, wait not over", held, func(*liveness) {}, early, ""},
		{"new leader, holder has not polled yet, wait over", held, func(*liveness) {}, late, "b"},
		{"holder resigns", held, func(l *liveness) {
			l.recordPoll(1, at(0), pollOf("a", 1, report(3)))
			l.recordPoll(1, at(time.Second), pollOf("a", 1, report(0)))
		}, time.Second, "any"},
		{"holder restarted, lease of the former process may last", held, func(l *liveness) {
			l.recordPoll(1, at(0), pollOf("a", 1, report(3)))
			l.recordPoll(1, at(time.Second), pollOf("a", 2, report(0)))
		}, time.Second + early, ""},
		{"holder restarted, lease of the former process has ended", held, func(l *liveness) {
			l.recordPoll(1, at(0), pollOf("a", 1, report(3)))
			l.recordPoll(1, at(time.Second), pollOf("a", 2, report(0)))
		}, time.Second + late, "any"},
		{"lease of the holder expired, holder may resume", held, func(l *liveness) {
			l.recordPoll(1, at(0), pollOf("a", 1, report(3)))
			l.recordPoll(1, at(late), pollOf("a", 1, &controlv1.GroupReport{Group: group}))
		}, 2*late - time.Millisecond, ""},
		{"first assignment during the warm-up", nil, func(*liveness) {}, directoryWarmup - time.Millisecond, ""},
		{"first assignment after the warm-up", nil, func(*liveness) {}, directoryWarmup, "b"},
		{"draining instances are not chosen", nil, func(l *liveness) {
			r := pollOf("b", 1)
			r.Self.Draining = true
			l.recordPoll(1, at(directoryWarmup), r)
		}, directoryWarmup, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newLiveness()
			l.recordPoll(1, at(0), pollOf("b", 1))
			l.instances["b"].lastPoll = at(test.now)
			test.setup(l)
			next := l.chooseHolder(group, test.a, at(test.now))
			if test.want == "any" {
				qt.Assert(t, next, qt.IsNotNil)
				return
			}
			qt.Assert(t, next.GetInstance(), qt.Equals, test.want)
		})
	}
}

// TestPollExcludesRevokedGroup guards against a poll that renews the lease of a
// holder whose group is being assigned to another instance at that moment.
func TestPollExcludesRevokedGroup(t *testing.T) {
	l := newLiveness()
	start := time.Now()
	l.recordPoll(1, start, pollOf("a", 1))
	l.recordPoll(1, start.Add(formerLeaseWait), pollOf("b", 1))
	a := &controlv1.Assignment{Group: "g/0", Instance: "a", Epoch: 3}
	qt.Assert(t, l.chooseHolder("g/0", a, start.Add(formerLeaseWait)).GetInstance(), qt.Equals, "b")
	qt.Assert(t, l.recordPoll(1, start.Add(formerLeaseWait), pollOf("a", 1))["g/0"], qt.Equals, uint64(3))
	l.endRevocation(1, "g/0", 0, start.Add(formerLeaseWait))
	qt.Assert(t, l.recordPoll(1, start.Add(formerLeaseWait), pollOf("a", 1)), qt.HasLen, 0)
}

// TestPlannedHandOverLimits guards the limits of planned hand-overs: an
// instance that restarts in a loop is not a target, hand-overs run one at a
// time and start at least a second apart, a hand-over that the
// holder does not carry out is abandoned, and a draining holder gives up its
// groups.
func TestPlannedHandOverLimits(t *testing.T) {
	start := time.Now()
	held := []*controlv1.Assignment{{Group: "s/0", Instance: "a", Epoch: 1}, {Group: "s/1", Instance: "a", Epoch: 1}, {Group: "s/2", Instance: "a", Epoch: 1}}
	report := []*controlv1.GroupReport{{Group: "s/0", Epoch: 1}, {Group: "s/1", Epoch: 1}, {Group: "s/2", Epoch: 1}}
	l := newLiveness()
	recordPoll := func(at time.Duration, incarnation uint64, draining bool) {
		r := pollOf("a", 1, report...)
		r.Self.Draining = draining
		l.recordPoll(1, start.Add(at), r)
		l.recordPoll(1, start.Add(at), pollOf("b", incarnation))
	}
	plan := func(at time.Duration) *handOver { return l.plan(held, start.Add(at)) }
	recordPoll(0, 1, false)
	recordPoll(5*time.Second, 2, false)
	recordPoll(handOverMinStableTime, 2, false)
	qt.Assert(t, plan(handOverMinStableTime), qt.IsNil) // Instance b has just restarted.
	now := 5*time.Second + handOverMinStableTime
	recordPoll(now, 2, false)
	first := plan(now)
	qt.Assert(t, first.target, qt.Equals, "b")
	qt.Assert(t, l.groupsToRelease("a")[0].Group, qt.Equals, first.group)
	qt.Assert(t, l.groupsToRelease("b"), qt.HasLen, 0)
	qt.Assert(t, l.chooseHolder(first.group, held[0], start.Add(now)), qt.IsNil) // The holder keeps the group until it reports to have given it up.
	now += handOverInterval
	recordPoll(now, 2, false)
	qt.Assert(t, plan(now), qt.IsNil) // The first hand-over is in progress.
	now += handOverTimeout
	recordPoll(now, 2, false)
	second := plan(now)
	qt.Assert(t, second.group, qt.Not(qt.Equals), first.group)
	held = held[:1] // The holder has only one group more than b.
	now += handOverTimeout
	recordPoll(now, 2, false)
	qt.Assert(t, plan(now), qt.IsNil)
	now += handOverRetryDelay
	recordPoll(now, 2, true)
	qt.Assert(t, plan(now).target, qt.Equals, "b")
}

// TestNewHolderHasGracePeriod guards against a group that repeatedly gets a
// new epoch before its new holder has polled: until then, a restarted
// instance reports that it does not hold the group.
func TestNewHolderHasGracePeriod(t *testing.T) {
	l := newLiveness()
	start := time.Now()
	released := &controlv1.GroupReport{Group: "g/0", GivenUp: 3}
	recordPoll := func(at time.Duration) {
		r := pollOf("a", 1)
		r.Groups = append(r.Groups, released)
		l.recordPoll(1, start.Add(at), r)
	}
	recordPoll(0)
	recordPoll(formerLeaseWait)
	former := &controlv1.Assignment{Group: "g/0", Instance: "a", Epoch: 3}
	now := start.Add(formerLeaseWait)
	qt.Assert(t, l.chooseHolder("g/0", former, now).GetInstance(), qt.Equals, "a")
	l.endRevocation(1, "g/0", 4, now)
	next := &controlv1.Assignment{Group: "g/0", Instance: "a", Epoch: 4}
	for later := 100 * time.Millisecond; later < formerLeaseWait; later += 100 * time.Millisecond {
		recordPoll(formerLeaseWait + later)
		qt.Assert(t, l.chooseHolder("g/0", next, now.Add(later)), qt.IsNil)
	}
	// From here on no response names epoch 4. The holder may still act until the
	// leases that earlier responses granted have ended.
	qt.Assert(t, l.chooseHolder("g/0", next, now.Add(formerLeaseWait)), qt.IsNil)
	for later := formerLeaseWait; later < 2*formerLeaseWait; later += 100 * time.Millisecond {
		recordPoll(formerLeaseWait + later)
		qt.Assert(t, l.recordPoll(1, now.Add(later), pollOf("b", 1))["g/0"], qt.Equals, uint64(4))
		qt.Assert(t, l.chooseHolder("g/0", next, now.Add(later)), qt.IsNil)
	}
	qt.Assert(t, l.chooseHolder("g/0", next, now.Add(2*formerLeaseWait)), qt.IsNotNil)
	// There is no second proposal while the first one is in flight.
	qt.Assert(t, l.chooseHolder("g/0", next, now.Add(4*formerLeaseWait)), qt.IsNil)
}

// TestLeaseNeedsAppliedEntries guards the lease as seen outside the consensus
// loop: it ends by the passing of time alone, and it does not begin before the
// entries of earlier leaders are applied.
func TestLeaseNeedsAppliedEntries(t *testing.T) {
	m := NewMember(Options{})
	m.tickZero = m.now()
	m.leaderLease.update(2, 10, time.Hour)
	m.applied.Store(9)
	_, ok := m.lease()
	qt.Assert(t, ok, qt.IsFalse)
	m.applied.Store(10)
	term, ok := m.lease()
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, m.holdsLease(term), qt.IsTrue)
	m.leaderLease.update(3, 12, time.Hour)
	qt.Assert(t, m.holdsLease(term), qt.IsFalse)
	m.applied.Store(12)
	qt.Assert(t, m.holdsLease(term), qt.IsFalse)
	m.tickZero = m.tickZero.Add(-2 * time.Hour)
	_, ok = m.lease()
	qt.Assert(t, ok, qt.IsFalse)
}

// TestFeedOmitsRevokedGroups guards against responses that name a revoked
// holder, or a group of a service that no longer exists.
func TestFeedOmitsRevokedGroups(t *testing.T) {
	m := NewMember(Options{})
	m.tickZero = m.now()
	m.leaderLease.update(1, 0, time.Hour)
	for i, op := range []*controlv1.Operation{put("/s", "service"), set("/s", "kind", "plain"), set("/s", "scheduler.groups", "2")} {
		m.state.Apply(uint64(i+1), &controlv1.Command{Command: &controlv1.Command_Change{Change: request(op.String(), uint64(i), op).Change}})
	}
	for _, group := range []string{"s/0", "s/1", "s/2"} {
		m.state.Apply(9, &controlv1.Command{Command: &controlv1.Command_Assign{Assign: &controlv1.AssignGroup{Group: group, Instance: "a"}}})
	}
	m.applied.Store(9)
	groups := func() (out []string) {
		r, err := m.Feed(context.Background(), pollOf("a", 1))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.FreshForMs, qt.Equals, uint32(feed.FreshFor.Milliseconds()))
		for _, a := range r.Assignments {
			out = append(out, a.Group)
		}
		return out
	}
	qt.Assert(t, groups(), qt.DeepEquals, []string{"s/0", "s/1"})
	m.live.revoking["s/0"] = 1
	qt.Assert(t, groups(), qt.DeepEquals, []string{"s/1"})
}

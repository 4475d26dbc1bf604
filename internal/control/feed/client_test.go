package feed

import (
	"context"
	"errors"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/clock"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/settings"
)

// fakeMembers is a MemberClient that responds with functions set by a test.
type fakeMembers struct {
	mu              sync.Mutex
	feed            func(address string, r *controlv1.FeedRequest) (*controlv1.FeedResponse, error)
	booking         func(address string, r *controlv1.BookingRequest) (*controlv1.BookingResponse, error)
	calledAddresses []string
}

func (s *fakeMembers) Feed(ctx context.Context, address string, r *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
	s.mu.Lock()
	s.calledAddresses = append(s.calledAddresses, address)
	f := s.feed
	s.mu.Unlock()
	resp, err := f(address, r)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return resp, err
}

func (s *fakeMembers) Booking(_ context.Context, address string, r *controlv1.BookingRequest) (*controlv1.BookingResponse, error) {
	return s.booking(address, r)
}

func newTestClient(s *fakeMembers, members ...string) *Client {
	return NewClient(Options{Members: members, MemberClient: s, Clock: time.Now, Self: func() *controlv1.EntryInfo { return &controlv1.EntryInfo{Instance: "e0"} }})
}

func startClient(c *Client) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = c.Start(ctx) }()
	return func() { cancel(); <-c.done }
}

// TestAdvance guards against settings that return to an older version or skip a
// change.
func TestAdvance(t *testing.T) {
	tree := settings.New()
	current := &View{Tree: tree, Index: tree.Index(), Version: 5}
	change := func(v uint64) *controlv1.VersionedChange {
		return &controlv1.VersionedChange{Version: v, Operations: []*controlv1.Operation{
			{Kind: controlv1.Operation_KEY_SET, Path: "/", Key: "tier", Value: "1"}}}
	}
	for _, test := range []struct {
		name string
		r    *controlv1.FeedResponse
		want uint64 // 0 if advance must fail
	}{
		{"nothing new", &controlv1.FeedResponse{SettingsVersion: 5}, 5},
		{"next change", &controlv1.FeedResponse{SettingsVersion: 6, Changes: []*controlv1.VersionedChange{change(6)}}, 6},
		{"known and next change", &controlv1.FeedResponse{SettingsVersion: 6, Changes: []*controlv1.VersionedChange{change(5), change(6)}}, 6},
		{"gap", &controlv1.FeedResponse{SettingsVersion: 7, Changes: []*controlv1.VersionedChange{change(7)}}, 0},
		{"missing changes", &controlv1.FeedResponse{SettingsVersion: 6}, 0},
		{"older version", &controlv1.FeedResponse{SettingsVersion: 4}, 0},
		{"older snapshot", &controlv1.FeedResponse{SettingsVersion: 4, PackedSnapshot: PackSettings(&controlv1.Settings{Version: 4})}, 0},
		{"same snapshot", &controlv1.FeedResponse{SettingsVersion: 5, PackedSnapshot: PackSettings(&controlv1.Settings{Version: 5})}, 5},
		{"newer snapshot", &controlv1.FeedResponse{SettingsVersion: 9, PackedSnapshot: PackSettings(&controlv1.Settings{Version: 9})}, 9},
		{"broken snapshot", &controlv1.FeedResponse{SettingsVersion: 9, PackedSnapshot: PackSettings(&controlv1.Settings{Version: 9, Nodes: []*controlv1.Node{{Path: "x"}}})}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			next, err := current.advance(test.r)
			if test.want == 0 {
				qt.Assert(t, err, qt.IsNotNil)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, next.Version, qt.Equals, test.want)
		})
	}
}

// TestFreshnessCountsFromSending guards against a freshness period that counts
// from the arrival of a delayed response instead of from the time at which the
// poll was sent.
func TestFreshnessCountsFromSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeMembers{feed: func(string, *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
			time.Sleep(300 * time.Millisecond)
			return &controlv1.FeedResponse{FreshForMs: 3000, Members: []string{"a"}}, nil
		}}
		c := newTestClient(s, "a")
		start := time.Now()
		stop := startClient(c)
		defer stop()
		time.Sleep(301 * time.Millisecond)
		qt.Assert(t, c.View().FreshUntil.Sub(start), qt.Equals, 3*time.Second)
		s.mu.Lock()
		s.feed = func(string, *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
			time.Sleep(time.Hour) // A response after the deadline of the poll must have no effect.
			return &controlv1.FeedResponse{FreshForMs: 3000}, nil
		}
		s.mu.Unlock()
		time.Sleep(4 * time.Second)
		qt.Assert(t, c.View().Fresh(time.Now()), qt.IsFalse)
	})
}

// TestPollTriesOtherMembers guards against a client that waits for the next
// poll interval, or forever, when a member does not respond or is not the
// leader, instead of trying the other members.
func TestPollTriesOtherMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeMembers{feed: func(address string, _ *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
			switch address {
			case "dead":
				return nil, errors.New("connection refused")
			case "follower":
				return &controlv1.FeedResponse{LeaderAddress: "leader"}, nil
			}
			return &controlv1.FeedResponse{FreshForMs: 3000, Members: []string{"leader"}}, nil
		}}
		c := newTestClient(s, "dead", "follower")
		stop := startClient(c)
		defer stop()
		synctest.Wait()
		qt.Assert(t, c.View().Fresh(time.Now()), qt.IsTrue)
		time.Sleep(time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		qt.Assert(t, s.calledAddresses[len(s.calledAddresses)-3:], qt.DeepEquals, []string{"leader", "leader", "leader"})
	})
}

// TestInheritedGroupIsNotHeld guards against a process that acts on a group
// held by a former process of the same instance, and against a lease that lasts
// longer than the response allows.
func TestInheritedGroupIsNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		epoch := uint64(7)
		var reported []*controlv1.GroupReport
		s := &fakeMembers{}
		s.feed = func(_ string, r *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			reported = r.Groups
			return &controlv1.FeedResponse{FreshForMs: 3000, Members: []string{"a"},
				Assignments: []*controlv1.Assignment{{Group: "g/0", Instance: "e0", Epoch: epoch}}}, nil
		}
		c := newTestClient(s, "a")
		stop := startClient(c)
		defer stop()
		time.Sleep(time.Second)
		held, _ := c.HeldLease("g/0")
		qt.Assert(t, held, qt.Equals, uint64(0))
		s.mu.Lock()
		qt.Assert(t, reported, qt.HasLen, 1)
		qt.Assert(t, reported[0].Epoch, qt.Equals, uint64(0))
		epoch = 8
		s.mu.Unlock()
		time.Sleep(time.Second)
		held, until := c.HeldLease("g/0")
		qt.Assert(t, held, qt.Equals, uint64(8))
		s.mu.Lock()
		qt.Assert(t, reported[0].Epoch, qt.Equals, uint64(8))
		s.feed = func(string, *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
			return nil, errors.New("no response")
		}
		s.mu.Unlock()
		time.Sleep(time.Until(until) + time.Millisecond)
		held, _ = c.HeldLease("g/0")
		qt.Assert(t, held, qt.Equals, uint64(0))
		qt.Assert(t, c.View().Fresh(time.Now()), qt.IsTrue)
	})
}

// TestReleaseIsRetriedUntilAcknowledged guards against a release that is not
// retried until it is acknowledged, and against a Begin that is sent although
// there is no room for the release it may need.
func TestReleaseIsRetriedUntilAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		released, down := 0, true
		s := &fakeMembers{booking: func(_ string, r *controlv1.BookingRequest) (*controlv1.BookingResponse, error) {
			mu.Lock()
			defer mu.Unlock()
			if down {
				return nil, errors.New("no response")
			}
			released++
			return &controlv1.BookingResponse{State: controlv1.BookingResponse_RELEASED}, nil
		}}
		b := NewBookings(newTestClient(s, "a"))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- b.Start(ctx) }()
		key := &controlv1.BookingKey{Customer: "torino", Key: "k"}
		call, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		_, err := b.Begin(call, key, nil, "a")
		qt.Assert(t, err, qt.ErrorIs, ErrOutcomeUnknown)
		b.Release(key, "b")
		time.Sleep(time.Minute)
		qt.Assert(t, b.Pending(), qt.Equals, 2)
		b.pending.Add(maxReleases)
		_, err = b.Begin(call, key, nil, "c")
		qt.Assert(t, err, qt.ErrorIs, ErrReleasesPending)
		b.pending.Add(-maxReleases)
		mu.Lock()
		down = false
		mu.Unlock()
		qt.Assert(t, b.Stop(context.Background()), qt.IsNil)
		qt.Assert(t, released, qt.Equals, 2)
		cancel()
		<-done
	})
}

// TestGroupIsGivenUpOnceItHasStopped guards against a group that is reported as
// given up while it still runs in this process, and against a group that is
// held again under an epoch that was given up.
func TestGroupIsGivenUpOnceItHasStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		assigned := []*controlv1.Assignment{{Group: "g/0", Instance: "e0", Epoch: 3}}
		var requests []*controlv1.FeedRequest
		var mu sync.Mutex // guards requests, response and running
		response := &controlv1.FeedResponse{FreshForMs: 3000, Members: []string{"a"}}
		s := &fakeMembers{feed: func(_ string, request *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
			mu.Lock()
			defer mu.Unlock()
			requests = append(requests, request)
			return response, nil
		}}
		running := []*controlv1.GroupReport{{Group: "g/0", Epoch: 3}}
		c := newTestClient(s, "a")
		c.options.Reports = func() []*controlv1.GroupReport { mu.Lock(); defer mu.Unlock(); return running }
		defer startClient(c)()
		advanceSecond := func() { mu.Unlock(); time.Sleep(time.Second); mu.Lock() }
		mu.Lock()
		defer mu.Unlock()
		advanceSecond()
		response = &controlv1.FeedResponse{FreshForMs: 3000, Members: []string{"a"}, Assignments: assigned}
		advanceSecond()
		epoch, _ := c.HeldLease("g/0")
		qt.Assert(t, epoch, qt.Equals, uint64(3))
		requests = nil
		response = &controlv1.FeedResponse{FreshForMs: 3000, Members: []string{"a"}, Assignments: assigned, Resign: assigned}
		advanceSecond()
		epoch, _ = c.HeldLease("g/0")
		qt.Assert(t, epoch, qt.Equals, uint64(0))
		qt.Assert(t, len(requests) > 10, qt.IsTrue) // Polls at short intervals during the hand-over.
		for _, request := range requests[1:] {
			qt.Assert(t, request.Groups, qt.HasLen, 0)
		}
		running = nil
		advanceSecond()
		last := requests[len(requests)-1].Groups
		qt.Assert(t, last, qt.HasLen, 1)
		qt.Assert(t, last[0].Epoch, qt.Equals, uint64(0))
	})
}

// TestSelectorReturnsToFirstChoice guards against instances that all stay with the
// member that answered first after a time without a leader, and against a lost first
// choice that costs a failed poll every time.
func TestSelectorReturnsToFirstChoice(t *testing.T) {
	s := newSelector([]string{"m0", "m1", "m2"})
	s.setKey("entry")
	first := s.pick()
	lost := true
	tries, polls := 0, 0
	poll := func() {
		polls++
		for {
			address := s.pick()
			if address == first && lost {
				tries++
				s.recordFailure(address)
				continue
			}
			s.recordSuccess(address, []string{"m0", "m1", "m2"})
			return
		}
	}
	for range 400 {
		poll()
	}
	qt.Check(t, tries > 1 && tries < 20, qt.IsTrue, qt.Commentf("the lost member was tried %d times in %d polls", tries, polls))
	lost = false
	for range 2 * maxReturnAfter {
		poll()
	}
	qt.Check(t, s.pick(), qt.Equals, first)
	// After one failure the next returns are quick again.
	s.recordFailure(first)
	s.recordSuccess(s.candidates()[1], nil)
	for range minReturnAfter {
		poll()
	}
	qt.Check(t, s.pick(), qt.Equals, first)
}

// TestSuspendedHolderKeepsItsGroups guards against a holder that, after its machine was
// suspended, still acts for a group that another instance holds by then, and takes its view
// for fresh.
func TestSuspendedHolderKeepsItsGroups(t *testing.T) {
	suspended := time.Duration(0)
	c := newTestClient(&fakeMembers{}, "a")
	c.options.Clock = func() time.Time { return time.Now().Add(suspended) }
	c.instance, c.excludedEpochs = "e0", map[string]uint64{}
	qt.Assert(t, c.applyResponse(&controlv1.FeedResponse{FreshForMs: uint32(FreshFor.Milliseconds()), Members: []string{"a"},
		Assignments: []*controlv1.Assignment{{Group: "g/0", Instance: "e0", Epoch: 1}}}, c.options.Clock()), qt.IsNil)
	held, _ := c.HeldLease("g/0")
	qt.Assert(t, held, qt.Equals, uint64(1))
	qt.Assert(t, c.Fresh(), qt.IsTrue)

	suspended = GroupLease
	held, _ = c.HeldLease("g/0")
	qt.Assert(t, held, qt.Equals, uint64(0))
	qt.Assert(t, c.HeldLeases(), qt.HasLen, 0)
	qt.Assert(t, c.Fresh(), qt.IsTrue)
	suspended = FreshFor
	qt.Assert(t, c.Fresh(), qt.IsFalse)

	// Without a clock in the options, suspended time counts.
	defaultClock := NewClient(Options{}).options.Clock
	qt.Assert(t, reflect.ValueOf(defaultClock).Pointer(), qt.Equals, reflect.ValueOf(clock.Now).Pointer())
}

// TestChangedSeedsAreIgnored guards against an instance that polls only members which have
// all been replaced, although its settings name new ones.
func TestChangedSeedsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		running := map[string]bool{"m0": true, "m1": true}
		s := &fakeMembers{feed: func(address string, r *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
			mu.Lock()
			defer mu.Unlock()
			if !running[address] {
				return nil, errors.New("connection refused")
			}
			return &controlv1.FeedResponse{FreshForMs: uint32(FreshFor.Milliseconds()), Members: []string{"m0", "m1"}}, nil
		}}
		c := newTestClient(s, "m0", "m1")
		defer startClient(c)()
		time.Sleep(time.Second)
		qt.Assert(t, c.Fresh(), qt.IsTrue)
		mu.Lock()
		running = map[string]bool{"m2": true}
		mu.Unlock()
		time.Sleep(2 * FreshFor)
		qt.Assert(t, c.Fresh(), qt.IsFalse)
		c.SetSeeds([]string{"m2"})
		time.Sleep(time.Second)
		qt.Assert(t, c.Fresh(), qt.IsTrue)
	})
}

package feed

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/settings"
)

// scripted answers calls by functions that a test sets.
type scripted struct {
	mu      sync.Mutex
	feed    func(address string, r *controlv1.FeedRequest) (*controlv1.FeedResponse, error)
	booking func(address string, r *controlv1.BookingRequest) (*controlv1.BookingResponse, error)
	asked   []string
}

func (s *scripted) Feed(ctx context.Context, address string, r *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
	s.mu.Lock()
	s.asked = append(s.asked, address)
	f := s.feed
	s.mu.Unlock()
	resp, err := f(address, r)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return resp, err
}

func (s *scripted) Booking(_ context.Context, address string, r *controlv1.BookingRequest) (*controlv1.BookingResponse, error) {
	return s.booking(address, r)
}

func newTestClient(s *scripted, members ...string) *Client {
	return NewClient(Options{Members: members, Caller: s, Self: func() *controlv1.EntryInfo { return &controlv1.EntryInfo{Instance: "e0"} }})
}

func run(c *Client) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = c.Start(ctx) }()
	return func() { cancel(); <-c.done }
}

// Guards against settings that go back or skip a change.
func TestAdvance(t *testing.T) {
	tree := settings.New()
	at := &View{Tree: tree, Index: tree.Index(), Version: 5}
	change := func(v uint64) *controlv1.VersionedChange {
		return &controlv1.VersionedChange{Version: v, Operations: []*controlv1.Operation{
			{Kind: controlv1.Operation_KEY_SET, Path: "/", Key: "tier", Value: "1"}}}
	}
	for _, test := range []struct {
		name string
		r    *controlv1.FeedResponse
		want uint64 // 0 for a refusal
	}{
		{"nothing new", &controlv1.FeedResponse{SettingsVersion: 5}, 5},
		{"next change", &controlv1.FeedResponse{SettingsVersion: 6, Changes: []*controlv1.VersionedChange{change(6)}}, 6},
		{"known and next change", &controlv1.FeedResponse{SettingsVersion: 6, Changes: []*controlv1.VersionedChange{change(5), change(6)}}, 6},
		{"gap", &controlv1.FeedResponse{SettingsVersion: 7, Changes: []*controlv1.VersionedChange{change(7)}}, 0},
		{"missing changes", &controlv1.FeedResponse{SettingsVersion: 6}, 0},
		{"older version", &controlv1.FeedResponse{SettingsVersion: 4}, 0},
		{"older snapshot", &controlv1.FeedResponse{SettingsVersion: 4, PackedSnapshot: Pack(&controlv1.Settings{Version: 4})}, 0},
		{"same snapshot", &controlv1.FeedResponse{SettingsVersion: 5, PackedSnapshot: Pack(&controlv1.Settings{Version: 5})}, 5},
		{"newer snapshot", &controlv1.FeedResponse{SettingsVersion: 9, PackedSnapshot: Pack(&controlv1.Settings{Version: 9})}, 9},
		{"broken snapshot", &controlv1.FeedResponse{SettingsVersion: 9, PackedSnapshot: Pack(&controlv1.Settings{Version: 9, Nodes: []*controlv1.Node{{Path: "x"}}})}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			next, err := at.advance(test.r)
			if test.want == 0 {
				qt.Assert(t, err, qt.IsNotNil)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, next.Version, qt.Equals, test.want)
		})
	}
}

// Guards against freshness that counts from the arrival of a late answer.
func TestFreshnessCountsFromSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{feed: func(string, *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
			time.Sleep(300 * time.Millisecond)
			return &controlv1.FeedResponse{FreshForMs: 3000, Members: []string{"a"}}, nil
		}}
		c := newTestClient(s, "a")
		start := time.Now()
		stop := run(c)
		defer stop()
		time.Sleep(301 * time.Millisecond)
		qt.Assert(t, c.View().FreshUntil.Sub(start), qt.Equals, 3*time.Second)
		s.mu.Lock()
		s.feed = func(string, *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
			time.Sleep(time.Hour) // An answer that comes after its deadline counts for nothing.
			return &controlv1.FeedResponse{FreshForMs: 3000}, nil
		}
		s.mu.Unlock()
		time.Sleep(4 * time.Second)
		qt.Assert(t, c.View().Fresh(time.Now()), qt.IsFalse)
	})
}

// Guards against a client that waits for the next interval, or for ever, while
// another member leads.
func TestOtherMembersAreTried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{feed: func(address string, _ *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
			switch address {
			case "dead":
				return nil, errors.New("connection refused")
			case "follower":
				return &controlv1.FeedResponse{LeaderAddress: "leader"}, nil
			}
			return &controlv1.FeedResponse{FreshForMs: 3000, Members: []string{"leader"}}, nil
		}}
		c := newTestClient(s, "dead", "follower")
		stop := run(c)
		defer stop()
		synctest.Wait()
		qt.Assert(t, c.View().Fresh(time.Now()), qt.IsTrue)
		time.Sleep(time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		qt.Assert(t, s.asked[len(s.asked)-3:], qt.DeepEquals, []string{"leader", "leader", "leader"})
	})
}

// Guards against a process that acts on a group which a former process of the
// same instance held, and against leases that outlive their answer.
func TestInheritedGroupIsNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		epoch := uint64(7)
		var reported []*controlv1.GroupReport
		s := &scripted{}
		s.feed = func(_ string, r *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			reported = r.Groups
			return &controlv1.FeedResponse{FreshForMs: 3000, Members: []string{"a"},
				Assignments: []*controlv1.Assignment{{Group: "g/0", Instance: "e0", Epoch: epoch}}}, nil
		}
		c := newTestClient(s, "a")
		stop := run(c)
		defer stop()
		time.Sleep(time.Second)
		held, _ := c.Holds("g/0")
		qt.Assert(t, held, qt.Equals, uint64(0))
		s.mu.Lock()
		qt.Assert(t, reported, qt.HasLen, 1)
		qt.Assert(t, reported[0].Epoch, qt.Equals, uint64(0))
		epoch = 8
		s.mu.Unlock()
		time.Sleep(time.Second)
		held, until := c.Holds("g/0")
		qt.Assert(t, held, qt.Equals, uint64(8))
		s.mu.Lock()
		qt.Assert(t, reported[0].Epoch, qt.Equals, uint64(8))
		s.feed = func(string, *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
			return nil, errors.New("no answer")
		}
		s.mu.Unlock()
		time.Sleep(time.Until(until) + time.Millisecond)
		held, _ = c.Holds("g/0")
		qt.Assert(t, held, qt.Equals, uint64(0))
		qt.Assert(t, c.View().Fresh(time.Now()), qt.IsTrue)
	})
}

// Guards against a release that is given up, and against begins without room
// for their release.
func TestReleaseIsRepeatedUntilAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		released, down := 0, true
		s := &scripted{booking: func(_ string, r *controlv1.BookingRequest) (*controlv1.BookingResponse, error) {
			mu.Lock()
			defer mu.Unlock()
			if down {
				return nil, errors.New("no answer")
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
		qt.Assert(t, err, qt.ErrorIs, ErrUnknown)
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

// Guards against a group that is reported as given up while it still runs here,
// and against one that is taken up again under the epoch it was given up for.
func TestGroupIsYieldedOnceItHasStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		assigned := []*controlv1.Assignment{{Group: "g/0", Instance: "e0", Epoch: 3}}
		var asked []*controlv1.FeedRequest
		var mu sync.Mutex // guards asked, r and running
		r := &controlv1.FeedResponse{FreshForMs: 3000, Members: []string{"a"}}
		s := &scripted{feed: func(_ string, q *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
			mu.Lock()
			defer mu.Unlock()
			asked = append(asked, q)
			return r, nil
		}}
		running := []*controlv1.GroupReport{{Group: "g/0", Epoch: 3}}
		c := newTestClient(s, "a")
		c.options.Reports = func() []*controlv1.GroupReport { mu.Lock(); defer mu.Unlock(); return running }
		defer run(c)()
		second := func() { mu.Unlock(); time.Sleep(time.Second); mu.Lock() }
		mu.Lock()
		defer mu.Unlock()
		second()
		r = &controlv1.FeedResponse{FreshForMs: 3000, Members: []string{"a"}, Assignments: assigned}
		second()
		epoch, _ := c.Holds("g/0")
		qt.Assert(t, epoch, qt.Equals, uint64(3))
		asked = nil
		r = &controlv1.FeedResponse{FreshForMs: 3000, Members: []string{"a"}, Assignments: assigned, Resign: assigned}
		second()
		epoch, _ = c.Holds("g/0")
		qt.Assert(t, epoch, qt.Equals, uint64(0))
		qt.Assert(t, len(asked) > 10, qt.IsTrue) // It polls at short intervals meanwhile.
		for _, q := range asked[1:] {
			qt.Assert(t, q.Groups, qt.HasLen, 0)
		}
		running = nil
		second()
		last := asked[len(asked)-1].Groups
		qt.Assert(t, last, qt.HasLen, 1)
		qt.Assert(t, last[0].Epoch, qt.Equals, uint64(0))
	})
}

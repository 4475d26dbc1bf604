package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/settings"
)

// pollTimeout bounds one poll, so that several members can be tried while the
// last answer is fresh.
const pollTimeout = 400 * time.Millisecond

// wholeTimeout bounds a poll for the whole tree, which takes longer than others:
// 1.3 MB at 33,000 customers, sent to many instances at once after a failure
// domain returns. A poll that is given up halfway is paid for by the member and
// brings the instance no further. A silent connection ends the poll earlier.
const wholeTimeout = 5 * time.Second

// yieldInterval is the time between polls while a group that the leader asked
// for is being stopped; the leader assigns it once it is reported as stopped.
const yieldInterval = 50 * time.Millisecond

var (
	eventFeedLost     = event.Define(3100, "feed-lost", event.Warn, "no control member answered in time; new requests are refused")
	eventFeedBack     = event.Define(3101, "feed-fresh", event.Info, "the feed of the control members is fresh")
	eventFeedRejected = event.Define(3102, "feed-rejected", event.Warn, "an answer of a control member does not continue the known settings")
	eventInForce      = event.Define(3103, "settings-in-force", event.Info, "a settings version is in force on this instance")

	eventRoutingInForce = event.Define(3105, "routing-in-force", event.Info, "a routing table is in force on this instance")
)

// Options configures a Client.
type Options struct {
	// Members lists addresses of control members; more are learned.
	Members []string
	Caller  Caller
	// Self returns a new description of this instance for each poll. Its
	// Instance must not change.
	Self func() *controlv1.EntryInfo
	// Reports returns the state of the groups that run here; may be nil.
	Reports func() []*controlv1.GroupReport
	Events  *event.Recorder
	Scope   tally.Scope
}

// Client keeps a View current. It is a kernel.Service and safe for concurrent use.
type Client struct {
	kernel.Base
	options     Options
	router      *router
	incarnation uint64
	instance    string

	view    atomic.Pointer[View]
	held    atomic.Pointer[map[string]Lease]
	changed atomic.Pointer[chan struct{}]
	now     chan chan struct{} // asks for a poll at once

	// The fields below belong to the goroutine that polls.
	directory uint64
	reset     bool
	// disowned holds epochs of groups under which this process never acts:
	// those assigned to the instance before this process started, which belong
	// to the former process, and those given up because the leader asked for it.
	disowned map[string]uint64
	// yielding holds the groups given up that may still run here.
	yielding map[string]uint64
	lost     bool
	resigned atomic.Bool

	polls, failures tally.Counter
	version, fresh  tally.Gauge
	// stopping is closed by Stop, done when Start has ended.
	stopping chan struct{}
	stopOnce sync.Once
	done     chan struct{}
}

// NewClient returns a client that is not started.
func NewClient(o Options) *Client {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	tree := settings.New()
	c := &Client{
		options: o, router: newRouter(o.Members), incarnation: rand.Uint64(), now: make(chan chan struct{}), yielding: make(map[string]uint64),
		stopping: make(chan struct{}), done: make(chan struct{}),
		polls: o.Scope.Counter("feed_polls_sent"), failures: o.Scope.Counter("feed_polls_failed"),
		version: o.Scope.Gauge("feed_settings_version"), fresh: o.Scope.Gauge("feed_fresh_seconds"),
	}
	c.view.Store(&View{Tree: tree, Index: tree.Index()})
	c.held.Store(&map[string]Lease{})
	ch := make(chan struct{})
	c.changed.Store(&ch)
	return c
}

// View returns the present view, which may not be fresh. It is never nil.
func (c *Client) View() *View { return c.view.Load() }

// Changed returns a channel that is closed when the settings, assignments,
// entries or held groups change after the call.
func (c *Client) Changed() <-chan struct{} { return *c.changed.Load() }

// Holds returns the epoch and the end of the lease of a group that this
// instance holds at this moment, or 0.
func (c *Client) Holds(group string) (epoch uint64, until time.Time) {
	l := (*c.held.Load())[group]
	if !time.Now().Before(l.Until) {
		return 0, time.Time{}
	}
	return l.Epoch, l.Until
}

// Held returns the leases of all groups that this instance holds at this moment.
func (c *Client) Held() map[string]Lease {
	out := make(map[string]Lease)
	now := time.Now()
	for group, l := range *c.held.Load() {
		if now.Before(l.Until) {
			out[group] = l
		}
	}
	return out
}

// Validate implements kernel.Service.
func (c *Client) Validate() error {
	if len(c.options.Members) == 0 {
		return Error.New("no control member is configured")
	}
	if c.options.Self().GetInstance() == "" {
		return Error.New("the instance has no name")
	}
	return nil
}

// Start implements kernel.Service.
func (c *Client) Start(ctx context.Context) error {
	defer close(c.done)
	c.instance = c.options.Self().GetInstance()
	c.router.spread(c.instance)
	for {
		c.round(ctx)
		c.checkFresh()
		// Jitter keeps the polls of many instances apart.
		pause := PollInterval*4/5 + rand.N(PollInterval*2/5)
		if len(c.yielding) > 0 {
			pause = yieldInterval
		}
		wait := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			wait.Stop()
			return nil
		case <-c.stopping:
			wait.Stop()
			return nil
		case done := <-c.now:
			c.round(ctx)
			close(done)
		case <-wait.C:
		}
		wait.Stop()
	}
}

// Stop implements kernel.Service: the instance gives up its groups first.
func (c *Client) Stop(ctx context.Context) error {
	c.Resign(ctx)
	c.stopOnce.Do(func() { close(c.stopping) })
	return nil
}

// Resign gives up all groups for good and tells the leader, which then assigns
// them to others without waiting for the leases to end. Nothing of a group may
// run here any more when it is called.
func (c *Client) Resign(ctx context.Context) {
	c.resigned.Store(true)
	done := make(chan struct{})
	select {
	case c.now <- done:
	case <-c.done:
		return
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// round polls members until one answers as leader, each at most once or twice.
func (c *Client) round(ctx context.Context) {
	for range c.router.size() + 2 {
		address := c.router.pick()
		if address == "" || ctx.Err() != nil {
			return
		}
		if c.poll(ctx, address) {
			return
		}
	}
}

// poll asks one member and reports whether it answered as leader.
func (c *Client) poll(ctx context.Context, address string) bool {
	c.polls.Inc(1)
	request := c.request()
	timeout := pollTimeout
	if request.SettingsVersion == 0 {
		timeout = wholeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := time.Now()
	r, err := c.options.Caller.Feed(ctx, address, request)
	if err != nil {
		c.failures.Inc(1)
		c.router.failed(address)
		return false
	}
	if r.GetFreshForMs() == 0 {
		c.router.redirected(address, r.GetLeaderAddress())
		return false
	}
	if err := c.accept(r, sent); err != nil {
		c.options.Events.Emit(eventFeedRejected, event.F("member", address), event.F("error", err))
		c.reset = true
		c.router.failed(address)
		return false
	}
	c.router.answered(address, r.GetMembers())
	return true
}

func (c *Client) request() *controlv1.FeedRequest {
	view := c.view.Load()
	r := &controlv1.FeedRequest{
		Self: c.options.Self(), Incarnation: c.incarnation, SettingsVersion: view.Version, AssignmentsVersion: c.directory,
		RoutingVersion: view.RoutingVersion(),
	}
	if c.reset {
		r.SettingsVersion, r.AssignmentsVersion = 0, 0
	}
	if c.resigned.Load() {
		c.setHeld(map[string]Lease{})
		r.Self.Draining = true
	}
	held := c.Held()
	reported := make(map[string]bool)
	running := make(map[string]uint64)
	if c.options.Reports != nil {
		for _, g := range c.options.Reports() {
			running[g.GetGroup()] = g.GetEpoch()
			if l, ok := held[g.GetGroup()]; ok && l.Epoch == g.GetEpoch() {
				r.Groups = append(r.Groups, g)
				reported[g.GetGroup()] = true
			}
		}
	}
	for group, epoch := range c.yielding {
		if running[group] != epoch {
			delete(c.yielding, group)
		}
	}
	for _, a := range view.Assignments {
		// A group that is given up and still runs is not reported at all: the
		// leader then neither gives it to another one nor takes it as lost.
		if a.Instance != c.instance || reported[a.Group] || c.yielding[a.Group] == a.Epoch {
			continue
		}
		g := &controlv1.GroupReport{Group: a.Group, Epoch: held[a.Group].Epoch}
		// Epoch 0 alone tells that the lease has lapsed or did not begin yet; the
		// next answer may make this process the holder under the same epoch.
		if g.Epoch == 0 && (c.resigned.Load() || c.disowned[a.Group] == a.Epoch) {
			g.GivenUp = a.Epoch
		}
		r.Groups = append(r.Groups, g)
	}
	return r
}

// accept makes a view of an answer to a poll that was sent at a given time.
func (c *Client) accept(r *controlv1.FeedResponse, sent time.Time) error {
	old := c.view.Load()
	next, err := old.advance(r)
	if err != nil {
		return err
	}
	c.reset = false
	first := c.disowned == nil
	if len(r.GetMembers()) > 0 {
		c.directory = DirectoryVersion(r, EntriesVersion(r.GetEntries()))
		next.Assignments, next.Members = r.GetAssignments(), r.GetMembers()
		// A new leader lists no entries until it has heard from all of them.
		if len(r.GetEntries()) > 0 {
			next.Entries = r.GetEntries()
		}
	}
	next.Groups = r.GetGroups()
	if until := sent.Add(time.Duration(r.GetFreshForMs()) * time.Millisecond); until.After(next.FreshUntil) {
		next.FreshUntil = until
	}
	if first {
		c.inherit(next)
	}
	c.yield(r.GetResign())
	changed := c.renew(next, sent) || next.Version != old.Version || len(r.GetMembers()) > 0 || first ||
		next.Routing != old.Routing
	c.view.Store(next)
	if next.Version != old.Version {
		c.options.Events.Emit(eventInForce, event.F("version", next.Version))
	}
	if next.Routing != old.Routing {
		c.options.Events.Emit(eventRoutingInForce, event.F("version", next.RoutingVersion()), event.F("before", old.RoutingVersion()))
	}
	if changed {
		c.notify()
	}
	return nil
}

func (c *Client) inherit(v *View) {
	c.disowned = make(map[string]uint64)
	for _, a := range v.Assignments {
		if a.Instance == c.instance {
			c.disowned[a.Group] = a.Epoch
		}
	}
}

// yield gives up groups that the leader asks for. Only this process's own
// present epochs count, so that a late answer has no effect on a later one.
func (c *Client) yield(asked []*controlv1.Assignment) {
	held := *c.held.Load()
	for _, a := range asked {
		if l, ok := held[a.Group]; ok && l.Epoch == a.Epoch && a.Epoch != 0 {
			c.disowned[a.Group], c.yielding[a.Group] = a.Epoch, a.Epoch
		}
	}
}

// renew extends the leases of the groups that the view assigns to this process
// and reports whether the set of them changed.
func (c *Client) renew(v *View, sent time.Time) bool {
	next := make(map[string]Lease)
	if !c.resigned.Load() {
		for _, a := range v.Assignments {
			if a.Instance == c.instance && c.disowned[a.Group] != a.Epoch {
				next[a.Group] = Lease{Epoch: a.Epoch, Until: sent.Add(GroupLease)}
			}
		}
	}
	return c.setHeld(next)
}

func (c *Client) setHeld(next map[string]Lease) (changed bool) {
	old := *c.held.Load()
	changed = len(old) != len(next)
	for group, l := range next {
		changed = changed || old[group].Epoch != l.Epoch
	}
	c.held.Store(&next)
	return changed
}

func (c *Client) notify() {
	ch := make(chan struct{})
	close(*c.changed.Swap(&ch))
}

// checkFresh records when the view ends and when it is renewed.
func (c *Client) checkFresh() {
	view, now := c.view.Load(), time.Now()
	c.version.Update(float64(view.Version))
	c.fresh.Update(max(0, view.FreshUntil.Sub(now).Seconds()))
	lost := !view.Fresh(now)
	if lost == c.lost {
		return
	}
	c.lost = lost
	if lost {
		c.options.Events.Emit(eventFeedLost)
	} else {
		c.options.Events.Emit(eventFeedBack)
	}
	c.notify()
}

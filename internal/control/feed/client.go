package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/clock"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/settings"
)

// handOverPollInterval is the time between polls while this instance stops a group
// that the leader asked it to give up. The leader assigns the group to another
// instance once this instance reports it as stopped, so a short interval shortens
// the hand-over.
const handOverPollInterval = 50 * time.Millisecond

var (
	eventFeedLost        = event.Define(3100, "feed-lost", event.Warn, "no control member responded in time, so the view has expired; new requests are refused")
	eventFeedFresh       = event.Define(3101, "feed-fresh", event.Info, "a control member responded; the view is fresh again")
	eventFeedRejected    = event.Define(3102, "feed-rejected", event.Warn, "a control member sent settings or a routing table that cannot be applied; the whole settings are requested")
	eventSettingsInForce = event.Define(3103, "settings-in-force", event.Info, "this instance applied a settings version")

	eventRoutingInForce = event.Define(3105, "routing-in-force", event.Info, "this instance applied a routing table")
	eventPollSlow       = event.Define(3106, "feed-poll-slow", event.Warn, "a control member took long to answer a poll, or did not answer it")
	eventRoundSlow      = event.Define(3107, "feed-round-slow", event.Warn, "the polls of one round took long")
	eventPollsDelayed   = event.Define(3108, "feed-polls-delayed", event.Warn, "a round of polls began late, because this process did not run or had no processor time")
)

const (
	// slowPoll is the duration from which a poll, or a round of polls, is logged.
	slowPoll = 300 * time.Millisecond
	// maxRoundDelay is the delay from which a late round of polls is logged.
	maxRoundDelay = 200 * time.Millisecond
)

// pollDurationBuckets range from a poll of the leader on the same machine to the longest
// transfer of the whole settings.
var pollDurationBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// Options configures a Client.
type Options struct {
	// Members lists addresses of control members to start with. The client learns
	// the others from responses.
	Members      []string
	MemberClient MemberClient
	// Self returns a description of this instance, newly allocated for each poll.
	// Its Instance must not change.
	Self func() *controlv1.EntryInfo
	// Reports returns the state of the groups that run on this instance. It may be
	// nil.
	Reports func() []*controlv1.GroupReport
	// Clock is the steady clock of leases and of the freshness of the view. The default is
	// clock.Now.
	Clock  func() time.Time
	Events *event.Recorder
	Scope  tally.Scope
}

// Client polls the control members to keep a View up to date. It is a
// kernel.Service and safe for concurrent use.
type Client struct {
	kernel.Base
	options     Options
	selector    *selector
	incarnation uint64
	instance    string

	view    atomic.Pointer[View]
	leases  atomic.Pointer[map[string]Lease]
	changed atomic.Pointer[chan struct{}]
	pollNow chan chan struct{} // requests a poll at once; the sent channel is closed after it
	// roundWanted requests that the next round of polls begin at once.
	roundWanted chan struct{}
	// asked is a time since which all members have been polled and had time to answer, nil
	// before that. roundProgress is closed when asked changes, and at the end of each round.
	asked         atomic.Pointer[time.Time]
	roundProgress atomic.Pointer[chan struct{}]

	// The fields from here to feedLost are used only by the polling goroutine.
	directoryVersion uint64
	// fullSync makes the next poll request the whole settings and directory, after
	// a response could not be applied.
	fullSync bool
	// snapshotDue is set while the next response may hold the whole settings: until the
	// first response, and after one could not be applied or took too long to arrive.
	snapshotDue bool
	// pollRequests holds the requests of pollNow that the next round serves.
	pollRequests []chan struct{}
	inFlight     sync.WaitGroup // polls in flight, including those that are cancelled
	// excludedEpochs holds the epochs of groups under which this process must not
	// act: those assigned to this instance before the process started, which belong
	// to the former process, and those given up at the request of the leader. It
	// is nil until the first response.
	excludedEpochs map[string]uint64
	// handingOver holds the epochs of groups that were given up at the request of
	// the leader but may still run in this process.
	handingOver map[string]uint64
	feedLost    bool
	resigned    atomic.Bool

	polls, failures          tally.Counter
	versionGauge, freshGauge tally.Gauge
	tableAge                 tally.Gauge
	pollDuration             tally.Histogram
	// stopping is closed by Stop. done is closed when Start returns.
	stopping chan struct{}
	stopOnce sync.Once
	done     chan struct{}
}

// NewClient returns a client that has not been started.
func NewClient(o Options) *Client {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Clock == nil {
		o.Clock = clock.Now
	}
	tree := settings.New()
	c := &Client{
		options: o, selector: newSelector(o.Members), incarnation: rand.Uint64(), pollNow: make(chan chan struct{}), roundWanted: make(chan struct{}, 1), handingOver: make(map[string]uint64), snapshotDue: true,
		stopping: make(chan struct{}), done: make(chan struct{}),
		polls: o.Scope.Counter("feed_polls_sent"), failures: o.Scope.Counter("feed_polls_failed"),
		versionGauge: o.Scope.Gauge("feed_settings_version"), freshGauge: o.Scope.Gauge("feed_fresh_seconds"),
		tableAge: o.Scope.Gauge("feed_table_age_seconds"), pollDuration: o.Scope.Histogram("feed_poll_duration", pollDurationBuckets),
	}
	c.view.Store(&View{Tree: tree, Index: tree.Index()})
	c.leases.Store(&map[string]Lease{})
	ch := make(chan struct{})
	c.changed.Store(&ch)
	ended := make(chan struct{})
	c.roundProgress.Store(&ended)
	return c
}

// SetSeeds replaces the addresses of Options.Members. It keeps the members learned from
// responses.
func (c *Client) SetSeeds(addresses []string) { c.selector.setSeeds(addresses) }

// View returns the current view, which is never nil but may have expired.
func (c *Client) View() *View { return c.view.Load() }

// Fresh reports whether the view has not expired.
func (c *Client) Fresh() bool { return c.View().Fresh(c.options.Clock()) }

// Changed returns a channel that is closed at the next change of the settings, the
// routing table, the assignments, the entries, the held groups or the freshness.
func (c *Client) Changed() <-chan struct{} { return *c.changed.Load() }

// HeldLease returns the epoch and the end of the lease if this instance currently holds
// the group, and zero values otherwise.
func (c *Client) HeldLease(group string) (epoch uint64, until time.Time) {
	l := (*c.leases.Load())[group]
	if !c.options.Clock().Before(l.Until) {
		return 0, time.Time{}
	}
	return l.Epoch, l.Until
}

// HeldLeases returns the leases of all groups that this instance currently holds.
func (c *Client) HeldLeases() map[string]Lease {
	out := make(map[string]Lease)
	now := c.options.Clock()
	for group, l := range *c.leases.Load() {
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

// Start implements kernel.Service. It polls until ctx ends or Stop is called.
func (c *Client) Start(ctx context.Context) error {
	defer close(c.done)
	defer c.inFlight.Wait()
	c.instance = c.options.Self().GetInstance()
	c.selector.setKey(c.instance)
	for {
		c.pollRound(ctx)
		c.updateFreshness()
		if len(c.pollRequests) > 0 {
			continue
		}
		// Jitter spreads the polls of many instances over time.
		pause := PollInterval*4/5 + rand.N(PollInterval*2/5)
		if len(c.handingOver) > 0 {
			pause = handOverPollInterval
		}
		timer := time.NewTimer(pause)
		pausedAt := c.options.Clock()
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-c.stopping:
			timer.Stop()
			return nil
		case done := <-c.pollNow:
			c.pollRequests = append(c.pollRequests, done)
		case <-c.roundWanted:
		case <-timer.C:
		}
		timer.Stop()
		if delay := c.options.Clock().Sub(pausedAt) - pause; delay >= maxRoundDelay {
			c.options.Events.Emit(eventPollsDelayed, event.F("delay_ms", delay.Milliseconds()), event.F("table_age_ms", c.Age(c.View()).Milliseconds()))
		}
	}
}

// Stop implements kernel.Service. It first gives up the groups of this instance.
func (c *Client) Stop(ctx context.Context) error {
	c.Resign(ctx)
	c.stopOnce.Do(func() { close(c.stopping) })
	return nil
}

// Resign gives up all groups permanently and reports this to the leader, which then
// assigns them to other instances without waiting for the leases to expire. The
// caller must stop all work of the groups before it calls Resign.
func (c *Client) Resign(ctx context.Context) {
	c.resigned.Store(true)
	done := make(chan struct{})
	select {
	case c.pollNow <- done:
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

// pollRequest returns the request of the next poll: the versions that this instance
// has and the state of the groups assigned to it.
func (c *Client) pollRequest() *controlv1.FeedRequest {
	view := c.view.Load()
	r := &controlv1.FeedRequest{
		Self: c.options.Self(), Incarnation: c.incarnation, SettingsVersion: view.Version, AssignmentsVersion: c.directoryVersion,
		RoutingVersion: view.RoutingVersion(),
	}
	if c.fullSync {
		r.SettingsVersion, r.AssignmentsVersion = 0, 0
	}
	if c.resigned.Load() {
		c.setLeases(map[string]Lease{})
		r.Self.Draining = true
	}
	held := c.HeldLeases()
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
	for group, epoch := range c.handingOver {
		if running[group] != epoch {
			delete(c.handingOver, group)
		}
	}
	for _, a := range view.Assignments {
		// A group that was given up but still runs here is omitted from the reports, so
		// that the leader neither assigns it to another instance nor treats it as lost.
		if a.Instance != c.instance || reported[a.Group] || c.handingOver[a.Group] == a.Epoch {
			continue
		}
		g := &controlv1.GroupReport{Group: a.Group, Epoch: held[a.Group].Epoch}
		// Epoch 0 alone only means that the lease has expired or has not begun; the next
		// response may still make this process the holder under the same epoch. GivenUp
		// rules that out.
		if g.Epoch == 0 && (c.resigned.Load() || c.excludedEpochs[a.Group] == a.Epoch) {
			g.GivenUp = a.Epoch
		}
		r.Groups = append(r.Groups, g)
	}
	return r
}

// applyResponse updates the view and the leases from a response to a poll that was
// sent at the given time.
func (c *Client) applyResponse(r *controlv1.FeedResponse, sentAt time.Time) error {
	old := c.view.Load()
	next, err := old.advance(r)
	if err != nil {
		return err
	}
	c.fullSync, c.snapshotDue = false, false
	firstResponse := c.excludedEpochs == nil
	if len(r.GetMembers()) > 0 {
		c.directoryVersion = DirectoryVersion(r, EntriesVersion(r.GetEntries()))
		next.Assignments, next.Members = r.GetAssignments(), r.GetMembers()
		// A new leader lists no entries until it has led long enough to have received
		// polls from all instances.
		if len(r.GetEntries()) > 0 {
			next.Entries = r.GetEntries()
		}
	}
	next.Groups = r.GetGroups()
	if sentAt.After(next.ConfirmedAt) {
		next.ConfirmedAt = sentAt
	}
	if until := sentAt.Add(time.Duration(r.GetFreshForMs()) * time.Millisecond); until.After(next.FreshUntil) {
		next.FreshUntil = until
	}
	if firstResponse {
		c.excludeInherited(next)
	}
	c.startHandOver(r.GetResign())
	changed := c.renewLeases(next, sentAt) || next.Version != old.Version || len(r.GetMembers()) > 0 || firstResponse ||
		next.Routing != old.Routing
	c.view.Store(next)
	if next.Version != old.Version {
		c.options.Events.Emit(eventSettingsInForce, event.F("version", next.Version))
	}
	if next.Routing != old.Routing {
		c.emitRoutingInForce(old, next)
	}
	if changed {
		c.notifyChanged()
	}
	return nil
}

// applyTable applies a routing table that a member without a leader has applied. It is
// committed, but a newer one may be in force, so it confirms nothing.
func (c *Client) applyTable(t *controlv1.RoutingTable) error {
	old := c.view.Load()
	next := *old
	if err := next.advanceRouting(t); err != nil {
		return err
	}
	if next.Routing != old.Routing {
		c.view.Store(&next)
		c.emitRoutingInForce(old, &next)
		c.notifyChanged()
	}
	return nil
}

func (c *Client) emitRoutingInForce(old, next *View) {
	c.options.Events.Emit(eventRoutingInForce, event.F("version", next.RoutingVersion()), event.F("before", old.RoutingVersion()))
}

// excludeInherited is called for the first response. It excludes the epochs of the
// groups that were assigned to this instance before this process started.
func (c *Client) excludeInherited(v *View) {
	c.excludedEpochs = make(map[string]uint64)
	for _, a := range v.Assignments {
		if a.Instance == c.instance {
			c.excludedEpochs[a.Group] = a.Epoch
		}
	}
}

// startHandOver gives up the groups that the leader asks for. It ignores epochs that
// this process does not currently hold, so that a delayed response has no effect on
// a later epoch.
func (c *Client) startHandOver(requested []*controlv1.Assignment) {
	leases := *c.leases.Load()
	for _, a := range requested {
		if l, ok := leases[a.Group]; ok && l.Epoch == a.Epoch && a.Epoch != 0 {
			c.excludedEpochs[a.Group], c.handingOver[a.Group] = a.Epoch, a.Epoch
		}
	}
}

// renewLeases extends the leases of the groups that the view assigns to this process
// and reports whether the set of held groups and epochs changed.
func (c *Client) renewLeases(v *View, sentAt time.Time) bool {
	next := make(map[string]Lease)
	if !c.resigned.Load() {
		for _, a := range v.Assignments {
			if a.Instance == c.instance && c.excludedEpochs[a.Group] != a.Epoch {
				next[a.Group] = Lease{Epoch: a.Epoch, Until: sentAt.Add(GroupLease)}
			}
		}
	}
	return c.setLeases(next)
}

// setLeases replaces the leases and reports whether the set of groups and epochs
// changed.
func (c *Client) setLeases(next map[string]Lease) (changed bool) {
	old := *c.leases.Load()
	changed = len(old) != len(next)
	for group, l := range next {
		changed = changed || old[group].Epoch != l.Epoch
	}
	c.leases.Store(&next)
	return changed
}

// notifyChanged closes the channel that Changed returned and replaces it.
func (c *Client) notifyChanged() {
	ch := make(chan struct{})
	close(*c.changed.Swap(&ch))
}

// updateFreshness updates the metrics and emits an event when the view expires or
// becomes fresh again.
func (c *Client) updateFreshness() {
	view, now := c.view.Load(), c.options.Clock()
	c.versionGauge.Update(float64(view.Version))
	c.freshGauge.Update(max(0, view.FreshUntil.Sub(now).Seconds()))
	if !view.ConfirmedAt.IsZero() {
		c.tableAge.Update(now.Sub(view.ConfirmedAt).Seconds())
	}
	feedLost := !view.Fresh(now)
	if feedLost == c.feedLost {
		return
	}
	c.feedLost = feedLost
	if feedLost {
		c.options.Events.Emit(eventFeedLost)
	} else {
		c.options.Events.Emit(eventFeedFresh)
	}
	c.notifyChanged()
}

// neverConfirmed is the age of a view that no control member has confirmed.
const neverConfirmed = -time.Millisecond

// Age returns the time since a control member last confirmed v, or a negative value if
// none has.
func (c *Client) Age(v *View) time.Duration {
	if v.ConfirmedAt.IsZero() {
		return neverConfirmed
	}
	return c.options.Clock().Sub(v.ConfirmedAt)
}

package directory

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/clock"
	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/fairshare"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/quarantine"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1/directoryv1connect"
	"auburnstep.example/auburnstep/internal/rpc/transport"
	"auburnstep.example/auburnstep/internal/usage"
)

const (
	// PollInterval is the mean time between polls of one member. An endpoint that is
	// leaving must receive no new work after 2 s, and four polls fit into that time.
	PollInterval = 400 * time.Millisecond
	// initialPollInterval is the mean time between polls of one member until any
	// member has responded. It is short because an entry that knows no endpoint
	// refuses every request.
	initialPollInterval = 100 * time.Millisecond
	// pollTimeout bounds one poll, so that a member that does not respond is polled
	// again over a new connection within the 2 s named at PollInterval.
	pollTimeout = 600 * time.Millisecond
	// minLoadPollInterval, loadPollIntervalPerEntry and busyLoadPollIntervalPerEntry
	// set how often an entry polls for the load of the other entries. The prompt of a
	// request occupies an engine for some 100 ms. Entries that do not know of each
	// other's requests within that time may choose the same engine, which matters while
	// engines are expected to miss objectives. The polled member handles 200 polls a
	// second, or 700 while all entries are busy.
	minLoadPollInterval          = 100 * time.Millisecond
	loadPollIntervalPerEntry     = 5 * time.Millisecond
	busyLoadPollIntervalPerEntry = 1400 * time.Microsecond
	// memberViewTTL is how long the view of a member that does not respond is used.
	// If no member responds at all, the endpoints of the last snapshot stay usable.
	memberViewTTL = 10 * time.Second
)

var (
	eventMemberLost    = event.Define(7100, "directory-member-lost", event.Warn, "a control member does not respond to directory polls")
	eventBadLoads      = event.Define(7102, "directory-loads-malformed", event.Warn, "a control member sent malformed loads; the previous loads stay in use")
	eventBadReports    = event.Define(7103, "directory-reports-malformed", event.Warn, "an entry or a control member sent malformed crash reports; the others are used")
	eventMemberAnswers = event.Define(7101, "directory-member-answers", event.Info, "a control member responds to directory polls again")
)

// ClientOptions configures a Client.
type ClientOptions struct {
	Pool *transport.Pool
	// Members returns the peer addresses of the control members.
	Members func() []string
	// Self returns the description of this entry, and Loads the load of its requests
	// in flight by endpoint.
	Self  func() *directoryv1.Entry
	Loads func() map[string]dispatch.Load
	// Busy reports whether this entry places requests while endpoints are expected to
	// miss objectives, which requires recent loads of the other entries.
	Busy func() bool
	// Crashes holds the crash reports that entries and members share.
	Crashes *Crashes
	// Limits holds the limits of endpoints.
	Limits *Limits
	// Usage counts the requests of this entry for the members. It is nil unless usage is
	// reported.
	Usage *usage.Counter
	// Demand returns the demand for services at this entry since ProcessStart. If it is nil,
	// none is reported.
	Demand       func() []*directoryv1.ServiceDemand
	ProcessStart time.Time
	// NoLoads leaves out the load of the other entries, which only an entry needs.
	NoLoads bool
	// Customers measures what customers ask of this entry. It is nil if that is not reported.
	Customers *fairshare.Entry
	Events    *event.Recorder
	Scope     tally.Scope
}

// Client polls all control members, each from its own goroutine, so that a member
// that does not respond delays no other poll. It is a kernel.Service and safe for
// concurrent use.
type Client struct {
	kernel.Base
	options  ClientOptions
	snapshot atomic.Pointer[Snapshot]
	loads    atomic.Pointer[Loads]
	changed  chan struct{}

	mu         sync.Mutex
	pollers    map[string]*poller
	departures departures

	polls, failures tally.Counter
}

type poller struct {
	address      string
	cancel       context.CancelFunc
	view         view
	lastResponse time.Time // the start of the poller until the first response
	lost         bool
	// noPermits is set if the member did not respond to a request for a permit since its
	// last response to a poll.
	noPermits bool
	// knownReports is what the member has told or received in its present epoch, and
	// crashCursor its revision of that.
	knownReports knownReports
	crashCursor  uint64
	// reportedLimits is what the member has been told of limits in its present epoch, and
	// limitsCursor its revision of the limits.
	reportedLimits map[endpointKey]dispatch.Limit
	limitsCursor   uint64
	// usage is what the member has received of the entry's usage.
	usage usage.Progress
	// knownRoom is the room of this entry that the member has been told of.
	knownRoom room
	// knownDemand is what the member has been told of demand in its present epoch.
	knownDemand map[string]*directoryv1.ServiceDemand
	client      directoryv1connect.DirectoryClient
	// wake receives a value if the member is to be polled at once.
	wake chan struct{}
}

// NewClient returns a client that has not been started.
func NewClient(o ClientOptions) *Client {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Crashes == nil {
		o.Crashes = NewCrashes(o.Events, o.Scope)
	}
	c := &Client{
		options: o, changed: make(chan struct{}, 1), pollers: make(map[string]*poller), departures: make(departures),
		polls: o.Scope.Counter("directory_polls_sent"), failures: o.Scope.Counter("directory_polls_failed"),
	}
	if o.Limits == nil {
		c.options.Limits = NewLimits(o.Scope)
	}
	c.options.Limits.coordinate, c.options.Limits.entries = c.acquire, func() int { return c.Snapshot().Entries }
	c.snapshot.Store(&Snapshot{Entries: 1})
	c.loads.Store(&Loads{})
	return c
}

// Snapshot returns the current view of all endpoints. It is never nil.
func (c *Client) Snapshot() *Snapshot { return c.snapshot.Load() }

// Loads returns the latest load of the other entries. It is never nil.
func (c *Client) Loads() *Loads { return c.loads.Load() }

// Changed returns a channel that receives a value after the snapshot or the loads
// may have changed.
func (c *Client) Changed() <-chan struct{} { return c.changed }

// Synced reports whether any member has responded.
func (c *Client) Synced() bool { return c.snapshot.Load().Endpoints != nil }

// Start implements kernel.Service.
func (c *Client) Start(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(PollInterval)
	defer tick.Stop()
	c.reconcilePollers(ctx, &wg)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			c.reconcilePollers(ctx, &wg)
			c.options.Crashes.Update(time.Now())
		case <-c.options.Crashes.Added():
			c.wakePollers()
		}
	}
}

// wakePollers makes the pollers report a crash at once: until the other entries know it,
// requests like the one that caused it go on to crash endpoints.
func (c *Client) wakePollers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pollers {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

// reconcilePollers starts pollers for new members and stops those of former members.
func (c *Client) reconcilePollers(ctx context.Context, wg *sync.WaitGroup) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted := make(map[string]bool)
	for _, address := range c.options.Members() {
		wanted[address] = true
		if c.pollers[address] != nil {
			continue
		}
		pollCtx, cancel := context.WithCancel(ctx)
		p := &poller{
			address: address, cancel: cancel, lastResponse: time.Now(), knownReports: make(knownReports), wake: make(chan struct{}, 1),
			reportedLimits: make(map[endpointKey]dispatch.Limit), client: directoryv1connect.NewDirectoryClient(c.options.Pool.Peer(address).Client()),
		}
		c.pollers[address] = p
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.runPoller(pollCtx, p)
		}()
	}
	for address, p := range c.pollers {
		if !wanted[address] {
			p.cancel()
			delete(c.pollers, address)
			c.options.Pool.Remove(address)
		}
	}
}

func (c *Client) runPoller(ctx context.Context, p *poller) {
	for {
		c.pollOnce(ctx, p)
		// Jitter of 20 % keeps the polls of many entries from coinciding.
		interval := PollInterval
		switch {
		case !c.Synced():
			interval = initialPollInterval
		case c.loadSource() == p:
			interval = c.loadPollInterval()
		}
		timer := time.NewTimer(interval*4/5 + rand.N(interval*2/5))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-p.wake:
			timer.Stop()
		case <-timer.C:
		}
	}
}

func (c *Client) pollOnce(ctx context.Context, p *poller) {
	c.polls.Inc(1)
	wantLoads := c.loadSource() == p
	self := c.options.Self()
	ownRoom := room{self.IdleRoom, self.Room}
	p.omitKnownRoom(self, time.Now())
	req := &directoryv1.SyncRequest{Self: self, Epoch: p.view.epoch, Cursor: p.view.cursor, WantLoads: wantLoads, CrashCursor: p.crashCursor, LimitsCursor: p.limitsCursor}
	sentAt, polledAt := time.Now(), clock.Now()
	reports := c.options.Crashes.Missing(sentAt, func(k quarantine.Key) []quarantine.Soundness { return p.knownReports[k] }, forwardDelay)
	req.CrashReports = packCrashReports(sentAt, reports)
	limits := c.options.Limits.unreported(sentAt, p.reportedLimits)
	req.Limits = packLimits(sentAt, limits)
	if c.options.Demand != nil {
		req.ProcessStartMs = c.options.ProcessStart.UnixMilli()
		req.Demand = changedDemand(c.options.Demand(), p.knownDemand)
	}
	usageSent := c.addUsage(p, polledAt, sentAt, req)
	var ownLoads map[uint32]dispatch.Load
	if wantLoads {
		ownLoads = make(map[uint32]dispatch.Load)
		for id, l := range c.options.Loads() {
			ownLoads[loadKey(id)] = ownLoads[loadKey(id)].Plus(l)
		}
		req.Loads, req.LoadsCursor = packLoads(ownLoads), p.view.loadsCursor
		c.addCustomers(polledAt, req)
	}
	callCtx, cancel := context.WithTimeout(transport.MarkIdempotent(ctx), pollTimeout)
	defer cancel()
	res, err := p.client.Sync(callCtx, connect.NewRequest(req))
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.failures.Inc(1)
		if !p.lost && ctx.Err() == nil {
			p.lost = true
			c.options.Events.Emit(eventMemberLost, event.F("member", p.address), event.F("error", err), event.F("last_answer_age", now.Sub(p.lastResponse)))
		}
		return
	}
	if p.lost {
		p.lost = false
		c.options.Events.Emit(eventMemberAnswers, event.F("member", p.address), event.F("outage", now.Sub(p.lastResponse)))
	}
	p.lastResponse, p.noPermits = now, false
	p.knownRoom = ownRoom
	if wantLoads {
		if otherLoads, err := p.view.otherLoads(res.Msg, ownLoads); err != nil {
			c.failures.Inc(1)
			c.options.Events.Emit(eventBadLoads, event.F("member", p.address), event.F("error", err))
		} else {
			c.loads.Store(&Loads{At: now, PolledAt: polledAt, byKey: otherLoads})
		}
	}
	c.acknowledgeUsage(p, usageSent, res.Msg)
	c.mergeCustomers(polledAt, req, res.Msg)
	if p.view.epoch != res.Msg.Epoch {
		clear(p.knownReports)
		clear(p.reportedLimits)
		p.knownRoom = room{self.IdleRoom, self.Room} // A member that has restarted knows what this poll contained.
		clear(p.knownDemand)
	} else { // A member ignores the demand in a poll with another epoch.
		p.recordDemand(req.Demand)
	}
	c.mergeReports(now, p, reports, res.Msg)
	maps.Copy(p.reportedLimits, limits)
	p.limitsCursor = res.Msg.LimitsCursor
	c.options.Limits.merge(now, res.Msg.Limits)
	if p.view.apply(res.Msg) || !c.Synced() {
		c.mergeViews(now)
	}
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// mergeReports merges the crash reports of a response to a poll that carried the reports
// in sent. The caller must hold c.mu.
func (c *Client) mergeReports(now time.Time, p *poller, sent []quarantine.Report, res *directoryv1.SyncResponse) {
	p.crashCursor = res.CrashCursor
	p.knownReports.add(sent)
	received, err := unpackCrashReports(now, res.CrashReports)
	if err != nil {
		c.failures.Inc(1)
		c.options.Events.Emit(eventBadReports, event.F("member", p.address), event.F("error", err))
	}
	p.knownReports.add(received)
	c.options.Crashes.Merge(now, received)
}

// loadSource returns the member that is polled for the load of the other entries, or
// nil if no member responds or NoLoads is set. It is the responding member with the lowest address.
// All entries choose the same member, so that it knows the load of all of them.
func (c *Client) loadSource() *poller {
	if c.options.NoLoads {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var first *poller
	for _, p := range c.pollers {
		if !p.lost && p.view.epoch != 0 && (first == nil || p.address < first.address) {
			first = p
		}
	}
	return first
}

// acquire asks the coordinator of an endpoint for a permit: the responding member with the
// highest weight. All entries choose the same one, so that the permits of all entries
// together keep to the limit.
func (c *Client) acquire(ctx context.Context, key endpointKey, l dispatch.Limit) (granted bool, wait time.Duration, err error) {
	c.mu.Lock()
	var coordinator *poller
	for _, p := range c.pollers {
		if !p.lost && !p.noPermits && p.view.epoch != 0 && (coordinator == nil || coordinatorWeight(p.address, key) > coordinatorWeight(coordinator.address, key)) {
			coordinator = p
		}
	}
	c.mu.Unlock()
	if coordinator == nil {
		return false, 0, Error.New("no control member responds")
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	res, err := coordinator.client.Acquire(ctx, connect.NewRequest(&directoryv1.AcquireRequest{Limit: packLimit(time.Now(), key, l)}))
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) || ctx.Err() == nil {
			c.mu.Lock()
			coordinator.noPermits = true
			c.mu.Unlock()
		}
		return false, 0, Error.Wrap(err)
	}
	return res.Msg.Granted, time.Duration(res.Msg.WaitMs) * time.Millisecond, nil
}

// loadPollInterval returns the time between polls for load. It grows with the number
// of entries, so that the number of polls at the load source does not, and is shorter
// while this entry is busy.
func (c *Client) loadPollInterval() time.Duration {
	perEntry := loadPollIntervalPerEntry
	if c.options.Busy() {
		perEntry = busyLoadPollIntervalPerEntry
	}
	return min(PollInterval, max(minLoadPollInterval, time.Duration(c.Snapshot().Entries)*perEntry))
}

// mergeViews stores the merged view of all members that responded within
// memberViewTTL. The caller must hold c.mu.
func (c *Client) mergeViews(now time.Time) {
	var views []*view
	for _, p := range c.pollers {
		if p.view.epoch != 0 && now.Sub(p.lastResponse) < memberViewTTL {
			views = append(views, &p.view)
		}
	}
	c.departures.update(now, views)
	c.snapshot.Store(merge(append(views, c.departures.view())))
}

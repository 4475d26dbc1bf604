package directory

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1/directoryv1connect"
	"auburnstep.example/auburnstep/internal/rpc/transport"
)

const (
	// PollInterval is the mean time between polls of one member. An endpoint
	// that is leaving gets no new work 2 s later; four polls fit into it.
	PollInterval = 400 * time.Millisecond
	// startInterval is the mean time between polls of one member until any member
	// has answered: an entry that knows no endpoint refuses every request.
	startInterval = 100 * time.Millisecond
	// pollTimeout bounds one poll, so that a silent member is asked again over
	// a fresh connection within the same 2 s.
	pollTimeout = 600 * time.Millisecond
	// minLoadInterval, loadIntervalPerEntry and busyIntervalPerEntry set how often
	// the load of other entries is asked for. A request occupies an engine with its
	// prompt for some 100 ms; what entries do not know of each other in that time
	// collides, which matters while engines are behind. The member that is asked
	// answers 200 polls a second, or 700 while all entries are busy.
	minLoadInterval      = 100 * time.Millisecond
	loadIntervalPerEntry = 5 * time.Millisecond
	busyIntervalPerEntry = 1400 * time.Microsecond
	// memberKeep is how long the view of a member that does not answer counts.
	// Its endpoints stay usable while no member answers at all.
	memberKeep = 10 * time.Second
)

var (
	eventMemberLost = event.Define(7100, "directory-member-lost", event.Warn, "a control member does not answer polls of the directory")
	eventBadLoads   = event.Define(7102, "directory-loads-malformed", event.Warn, "a control member told loads that cannot be read; the former ones stay")
	eventMemberBack = event.Define(7101, "directory-member-answers", event.Info, "a control member answers polls of the directory")
)

// ClientOptions configures a Client.
type ClientOptions struct {
	Pool *transport.Pool
	// Members returns the peer addresses of the control members.
	Members func() []string
	// Self describes this entry; Loads its work in flight.
	Self  func() *directoryv1.Entry
	Loads func() map[string]dispatch.Load
	// Busy reports whether the entry places requests while endpoints are behind, for
	// which the load of the others should be fresh.
	Busy   func() bool
	Events *event.Recorder
	Scope  tally.Scope
}

// Client polls all control members, each from a goroutine of its own, so that a
// silent one delays no other. It is a kernel.Service and safe for concurrent use.
type Client struct {
	kernel.Base
	options  ClientOptions
	snapshot atomic.Pointer[Snapshot]
	loads    atomic.Pointer[Loads]
	changed  chan struct{}

	mu      sync.Mutex
	pollers map[string]*poller

	polls, failures tally.Counter
}

type poller struct {
	address string
	cancel  context.CancelFunc
	view    view
	last    time.Time // of the last answer
	lost    bool
}

// NewClient returns a client that is not started.
func NewClient(o ClientOptions) *Client {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	c := &Client{
		options: o, changed: make(chan struct{}, 1), pollers: make(map[string]*poller),
		polls: o.Scope.Counter("directory_polls_sent"), failures: o.Scope.Counter("directory_polls_failed"),
	}
	c.snapshot.Store(&Snapshot{Entries: 1})
	c.loads.Store(&Loads{})
	return c
}

// Snapshot returns the present view. It is never nil.
func (c *Client) Snapshot() *Snapshot { return c.snapshot.Load() }

// Loads returns the latest load of the other entries. It is never nil.
func (c *Client) Loads() *Loads { return c.loads.Load() }

// Changed receives after the snapshot or the loads have changed.
func (c *Client) Changed() <-chan struct{} { return c.changed }

// Synced reports whether any member has answered.
func (c *Client) Synced() bool { return c.snapshot.Load().Endpoints != nil }

// Start implements kernel.Service.
func (c *Client) Start(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		c.follow(ctx, &wg)
		if kernel.Sleep(ctx, PollInterval) != nil {
			return nil
		}
	}
}

// follow starts and ends pollers as members come and go.
func (c *Client) follow(ctx context.Context, wg *sync.WaitGroup) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted := make(map[string]bool)
	for _, address := range c.options.Members() {
		wanted[address] = true
		if c.pollers[address] != nil {
			continue
		}
		call, cancel := context.WithCancel(ctx)
		p := &poller{address: address, cancel: cancel, last: time.Now()}
		c.pollers[address] = p
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.poll(call, p)
		}()
	}
	for address, p := range c.pollers {
		if !wanted[address] {
			p.cancel()
			delete(c.pollers, address)
			c.options.Pool.Forget(address)
		}
	}
}

func (c *Client) poll(ctx context.Context, p *poller) {
	client := directoryv1connect.NewDirectoryClient(c.options.Pool.Peer(p.address).Client())
	for {
		c.ask(ctx, client, p)
		// Jitter keeps the polls of many entries apart.
		every := PollInterval
		switch {
		case !c.Synced():
			every = startInterval
		case c.source() == p:
			every = c.loadInterval()
		}
		if kernel.Sleep(ctx, every*4/5+rand.N(every*2/5)) != nil {
			return
		}
	}
}

func (c *Client) ask(ctx context.Context, client directoryv1connect.DirectoryClient, p *poller) {
	c.polls.Inc(1)
	near := c.source() == p
	q := &directoryv1.SyncRequest{Self: c.options.Self(), Epoch: p.view.epoch, Cursor: p.view.cursor, WantLoads: near}
	var own map[uint32]dispatch.Load
	if near {
		own = make(map[uint32]dispatch.Load)
		for id, l := range c.options.Loads() {
			own[loadKey(id)] = own[loadKey(id)].Plus(l)
		}
		q.Loads, q.LoadsCursor = packLoads(own), p.view.loadsCursor
	}
	call, cancel := context.WithTimeout(transport.Idempotent(ctx), pollTimeout)
	defer cancel()
	r, err := client.Sync(call, connect.NewRequest(q))
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.failures.Inc(1)
		if !p.lost && ctx.Err() == nil {
			p.lost = true
			c.options.Events.Emit(eventMemberLost, event.F("member", p.address), event.F("error", err), event.F("last_answer_age", now.Sub(p.last)))
		}
		return
	}
	if p.lost {
		p.lost = false
		c.options.Events.Emit(eventMemberBack, event.F("member", p.address), event.F("outage", now.Sub(p.last)))
	}
	p.last = now
	if near {
		if others, err := p.view.others(r.Msg, own); err != nil {
			c.failures.Inc(1)
			c.options.Events.Emit(eventBadLoads, event.F("member", p.address), event.F("error", err))
		} else {
			c.loads.Store(&Loads{At: now, byKey: others})
		}
	}
	if p.view.apply(r.Msg) || !c.Synced() {
		c.join(now)
	}
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// source returns the member that is asked for the load of the other entries: the
// first one that answers, which is the same for all entries, so that it knows
// the load of all of them.
func (c *Client) source() *poller {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *poller
	for _, p := range c.pollers {
		if !p.lost && p.view.epoch != 0 && (best == nil || p.address < best.address) {
			best = p
		}
	}
	return best
}

// loadInterval returns the time between polls for load. It grows with the number
// of entries, so that the work of the source does not, and is shorter while this
// entry is busy.
func (c *Client) loadInterval() time.Duration {
	each := loadIntervalPerEntry
	if c.options.Busy() {
		each = busyIntervalPerEntry
	}
	return min(PollInterval, max(minLoadInterval, time.Duration(c.Snapshot().Entries)*each))
}

// join merges the views. Callers hold the mutex.
func (c *Client) join(now time.Time) {
	var views []*view
	for _, p := range c.pollers {
		if p.view.epoch != 0 && now.Sub(p.last) < memberKeep {
			views = append(views, &p.view)
		}
	}
	c.snapshot.Store(merge(views))
}

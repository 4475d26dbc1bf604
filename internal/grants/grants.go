// Package grants implements the entry's side of scheduling. It acquires grants from
// the scheduler that holds a group, renews the grants in use, and releases them.
package grants

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/clock"
	"auburnstep.example/auburnstep/internal/kernel"
	schedulerv1 "auburnstep.example/auburnstep/internal/rpc/schedulerv1"
	"auburnstep.example/auburnstep/internal/rpc/schedulerv1/schedulerv1connect"
	"auburnstep.example/auburnstep/internal/verdict"
)

const (
	// acquireHold is how long a scheduler may keep one Acquire call waiting for a
	// free slot.
	acquireHold = 500 * time.Millisecond
	// acquireTimeout bounds an Acquire call. It exceeds acquireHold by the time
	// needed to detect and replace an unresponsive connection.
	acquireTimeout = 1500 * time.Millisecond
	// retryPause is the mean pause before a failed call is repeated.
	retryPause = 40 * time.Millisecond
	// renewInterval is the interval at which the grants in use are renewed. The
	// scheduler drops a grant that was not renewed for 3 s, so that two renewals
	// may fail.
	renewInterval = time.Second
	// watchInterval is the interval at which the client checks for new groups and
	// for new schedulers of known groups.
	watchInterval = 50 * time.Millisecond
	// expiryMargin is the time between the latest use of a grant and its expiry, so
	// that the first bytes are sent before the scheduler takes the slot back.
	expiryMargin = 20 * time.Millisecond
	// releaseRetention is how long an unacknowledged release is repeated. After
	// this time the scheduler has dropped the grant on its own.
	releaseRetention = 10 * time.Second
)

// Directory reports which instance schedules a group.
type Directory interface {
	// Fresh reports whether the directory is proven to be current.
	Fresh() bool
	// Groups returns the names of the groups of a service.
	Groups(service string) []string
	// AllGroups returns the names of the groups of all services.
	AllGroups() []string
	// Holder returns the peer address and epoch of the group's scheduler.
	Holder(group string) (address string, epoch uint64, ok bool)
}

// Dialer returns the scheduler client for a peer address.
type Dialer func(address string) schedulerv1connect.SchedulerClient

// Client acquires and holds grants for one entry. It is a kernel.Service and
// safe for concurrent use.
type Client struct {
	kernel.Base
	entry     string
	directory Directory
	dial      Dialer

	// ctx ends with Watch. running counts the goroutines that call schedulers.
	ctx     context.Context
	end     context.CancelFunc
	running sync.WaitGroup

	mu     sync.Mutex
	groups map[string]*groupGrants

	crashes crashLog

	acquired, callFailures, expiredUnused tally.Counter
	waitTime                              tally.Timer
}

// New returns a client for the entry with the given instance name.
func New(entry string, d Directory, dial Dialer, scope tally.Scope) *Client {
	s := scope.SubScope("grants")
	c := &Client{
		entry: entry, directory: d, dial: dial, groups: make(map[string]*groupGrants),
		acquired: s.Counter("acquired"), callFailures: s.Counter("call_failures"),
		expiredUnused: s.Counter("expired_unused"), waitTime: s.Timer("wait"),
	}
	c.ctx, c.end = context.WithCancel(context.Background())
	return c
}

// Start implements kernel.Service.
func (c *Client) Start(ctx context.Context) error {
	c.Watch(ctx)
	return nil
}

// Watch starts the renewal loop of each group, and cancels calls to former
// schedulers, until ctx ends. Every group is renewed, so that a new scheduler
// receives a report from every entry, also from those that hold no grants.
// When Watch returns, no scheduler is called any more: its address may belong to
// another process by then.
func (c *Client) Watch(ctx context.Context) {
	defer c.stop()
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		for _, group := range c.directory.AllGroups() {
			c.groupGrants(group).cancelStaleCalls()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// stop ends all calls to schedulers except those of Acquire, which end with the
// contexts of their requests.
func (c *Client) stop() {
	c.mu.Lock()
	c.end()
	c.mu.Unlock()
	c.running.Wait()
}

// spawn runs f in a goroutine that stop waits for. It does nothing once the client
// has stopped. The caller must hold the mutex.
func (c *Client) spawn(f func()) {
	if c.ctx.Err() == nil {
		c.running.Go(f)
	}
}

// Lease is one grant held by this entry.
type Lease struct {
	Group    string
	Grant    *schedulerv1.Grant
	request  *schedulerv1.Request
	useUntil time.Time
	client   *Client
	once     sync.Once
}

// Usable reports whether the first byte to the endpoint may still be sent. Check it
// immediately before sending: if the process was paused, the scheduler may already
// have granted the slot to another request.
func (l *Lease) Usable(now time.Time) bool { return now.Before(l.useUntil) }

// UseUntil returns the time after which the first byte must not be sent.
func (l *Lease) UseUntil() time.Time { return l.useUntil }

// Release returns the grant and reports the outcome of its request. Only the first
// call has an effect.
func (l *Lease) Release(outcome *schedulerv1.Outcome) {
	l.once.Do(func() {
		outcome.GrantId = l.Grant.Id
		l.client.groupGrants(l.Group).release(outcome)
	})
}

// Acquire returns a grant for the request. It returns a refusal only after it has
// tried all groups of the service or ctx has ended.
func (c *Client) Acquire(ctx context.Context, service string, r *schedulerv1.Request) (*Lease, *verdict.Error) {
	start := time.Now()
	groups := c.directory.Groups(service)
	if len(groups) == 0 {
		return nil, verdict.Overloaded("service_unavailable", "no scheduler is assigned to service "+service, time.Second)
	}
	var refusal *verdict.Error
	for _, group := range groupOrder(groups, r.Prefixes) {
		lease, err := c.acquireFrom(ctx, start, group, r)
		if err == nil {
			c.acquired.Inc(1)
			c.waitTime.Record(time.Since(start))
			return lease, nil
		}
		refusal = err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, refusal
}

// groupOrder returns the groups in the order in which a request tries them. The
// shortest prefix of the prompt selects the first group, so that requests that share
// this prefix use the same caches. A request without prefixes starts with a random
// group.
func groupOrder(groups []string, prefixes []uint64) []string {
	if len(groups) < 2 {
		return groups
	}
	var first int
	if len(prefixes) > 0 {
		first = int(prefixes[0] % uint64(len(groups)))
	} else {
		first = rand.IntN(len(groups))
	}
	out := make([]string, 0, len(groups))
	return append(append(out, groups[first:]...), groups[:first]...)
}

func (c *Client) acquireFrom(ctx context.Context, start time.Time, group string, r *schedulerv1.Request) (*Lease, *verdict.Error) {
	called := false
	for {
		if refusal := c.checkWait(ctx); refusal != nil {
			if called {
				c.cancel(group, r.Id)
			}
			return nil, refusal
		}
		address, epoch, ok := c.directory.Holder(group)
		if !ok {
			pause(ctx, retryPause)
			continue
		}
		r.WaitedMs = uint32(time.Since(start).Milliseconds())
		called = true
		sentAt := clock.Now()
		res, err := c.callAcquire(ctx, address, epoch, group, r)
		switch {
		case err != nil:
			c.callFailures.Inc(1)
			pause(ctx, retryPause)
		case res.Refusal != nil:
			return nil, refusalError(res.Refusal)
		case res.Grant != nil:
			if lease := c.newLease(ctx, group, r, res.Grant, sentAt); lease != nil {
				return lease, nil
			}
		}
	}
}

// checkWait returns a refusal if the caller no longer waits or the directory is not
// fresh. A directory that is not fresh may name a scheduler that has lost the group,
// and does not show when another one takes over.
func (c *Client) checkWait(ctx context.Context) *verdict.Error {
	switch {
	case ctx.Err() != nil:
		return queueTimeout(ctx)
	case !c.directory.Fresh():
		return verdict.StaleSettings()
	default:
		return nil
	}
}

// callAcquire sends one Acquire call to the scheduler of an epoch. The call is
// cancelled when a later epoch is seen; a grant that is lost in this way is unused and
// expires.
func (c *Client) callAcquire(ctx context.Context, address string, epoch uint64, group string, r *schedulerv1.Request) (*schedulerv1.AcquireResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	defer context.AfterFunc(c.groupGrants(group).epochContext(epoch), cancel)()
	res, err := c.dial(address).Acquire(ctx, connect.NewRequest(&schedulerv1.AcquireRequest{
		Group: group, Entry: c.entry, Request: r, HoldMs: uint32(acquireHold.Milliseconds()),
	}))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// newLease returns a lease for a grant. It releases the grant and returns nil if the
// grant is no longer usable or the caller no longer waits. The validity counts from
// the time the call was sent, so that it never ends later than the scheduler counts it.
func (c *Client) newLease(ctx context.Context, group string, r *schedulerv1.Request, g *schedulerv1.Grant, sentAt time.Time) *Lease {
	lease := &Lease{
		Group: group, Grant: g, request: r, client: c,
		useUntil: sentAt.Add(time.Duration(g.ExpiresInMs)*time.Millisecond - expiryMargin),
	}
	c.groupGrants(group).add(lease)
	if ctx.Err() != nil || !lease.Usable(clock.Now()) {
		c.expiredUnused.Inc(1)
		lease.Release(&schedulerv1.Outcome{Unused: true})
		return nil
	}
	return lease
}

// cancel notifies the scheduler that the caller no longer waits for the request.
func (c *Client) cancel(group, id string) {
	address, _, ok := c.directory.Holder(group)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spawn(func() {
		ctx, stop := context.WithTimeout(c.ctx, time.Second)
		defer stop()
		// A lost cancellation does no harm: the scheduler removes a request from its
		// queue when the Acquire call is not repeated.
		_, _ = c.dial(address).Cancel(ctx, connect.NewRequest(&schedulerv1.CancelRequest{Group: group, Entry: c.entry, RequestId: id}))
	})
}

// queueTimeout returns the refusal of a request whose wait has ended.
func queueTimeout(ctx context.Context) *verdict.Error {
	e := verdict.Overloaded("queue_timeout", "no endpoint became free within the time the request may wait", time.Second)
	return e.WithCause(context.Cause(ctx))
}

// refusalError converts the refusal of a scheduler.
func refusalError(r *schedulerv1.Refusal) *verdict.Error {
	e := verdict.Refused(int(r.Status), r.Code, r.Message)
	e.RetryAfter = time.Duration(r.RetryAfterMs) * time.Millisecond
	return e
}

// pause waits for a jittered duration around mean, or until ctx ends.
func pause(ctx context.Context, mean time.Duration) {
	_ = kernel.Sleep(ctx, mean/2+rand.N(mean))
}

// Package grants is the entry's side of scheduling. It asks the scheduler that
// holds a group for a grant, keeps the grants in use renewed, and returns them.
package grants

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/kernel"
	schedulerv1 "auburnstep.example/auburnstep/internal/rpc/schedulerv1"
	"auburnstep.example/auburnstep/internal/rpc/schedulerv1/schedulerv1connect"
	"auburnstep.example/auburnstep/internal/verdict"
)

const (
	// holdTime is how long a scheduler may hold one Acquire call.
	holdTime = 500 * time.Millisecond
	// callTimeout bounds Acquire. It exceeds holdTime by the time that a
	// silent connection needs to be noticed and replaced.
	callTimeout = 1500 * time.Millisecond
	// retryPause is the mean pause before a failed call is repeated.
	retryPause = 40 * time.Millisecond
	// renewInterval is how often the grants in use are renewed. The scheduler
	// drops a grant that was not renewed for 3 s, so that two renewals may fail.
	renewInterval = time.Second
	// watchInterval is how often the client looks for new groups and for new
	// schedulers of known ones.
	watchInterval = 50 * time.Millisecond
	// useMargin is left between the last moment a grant may be used and its
	// expiry, so that the first bytes leave before the scheduler takes it back.
	useMargin = 20 * time.Millisecond
	// releaseKeep is how long an unacknowledged release is repeated. The
	// scheduler has dropped the grant by then.
	releaseKeep = 10 * time.Second
)

// Directory tells which instance schedules a group.
type Directory interface {
	// Fresh reports whether the directory is proved to be current.
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

	mu     sync.Mutex
	groups map[string]*holding

	acquired, failed, expired tally.Counter
	wait                      tally.Timer
}

// New returns a client for the entry with the given instance name.
func New(entry string, d Directory, dial Dialer, scope tally.Scope) *Client {
	s := scope.SubScope("grants")
	return &Client{
		entry: entry, directory: d, dial: dial, groups: make(map[string]*holding),
		acquired: s.Counter("acquired"), failed: s.Counter("call_failures"),
		expired: s.Counter("expired_unused"), wait: s.Timer("wait"),
	}
}

// Start implements kernel.Service.
func (c *Client) Start(ctx context.Context) error {
	c.Watch(ctx)
	return nil
}

// Watch keeps one renewal running for each group until ctx ends, so that a new
// scheduler hears from every entry, also from those that hold nothing.
func (c *Client) Watch(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		for _, group := range c.directory.AllGroups() {
			c.holding(group).follow()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
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

// Usable reports whether the first byte to the endpoint may still be sent. It
// must be checked directly before sending: after a pause of the process the
// scheduler may have given the slot to somebody else.
func (l *Lease) Usable(now time.Time) bool { return now.Before(l.useUntil) }

// UseUntil returns the time after which the first byte must not be sent.
func (l *Lease) UseUntil() time.Time { return l.useUntil }

// Release returns the grant with what became of it. Later calls do nothing.
func (l *Lease) Release(o *schedulerv1.Outcome) {
	l.once.Do(func() {
		o.GrantId = l.Grant.Id
		l.client.holding(l.Group).release(o)
	})
}

// Acquire returns a grant for the request, trying all groups of the service
// before it reports a refusal.
func (c *Client) Acquire(ctx context.Context, service string, r *schedulerv1.Request) (*Lease, *verdict.Error) {
	start := time.Now()
	groups := c.directory.Groups(service)
	if len(groups) == 0 {
		return nil, verdict.Overloaded("service_unavailable", "no scheduler is assigned to service "+service, time.Second)
	}
	var refusal *verdict.Error
	for _, group := range order(groups, r.Prefixes) {
		lease, err := c.acquireFrom(ctx, start, group, r)
		if err == nil {
			c.acquired.Inc(1)
			c.wait.Record(time.Since(start))
			return lease, nil
		}
		refusal = err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, refusal
}

// order sorts the groups for a request: the group of its longest common prefix
// first, so that requests with one prefix meet the same caches.
func order(groups []string, prefixes []uint64) []string {
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
	asked := false
	for {
		if refusal := c.mayWait(ctx); refusal != nil {
			if asked {
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
		asked = true
		sent := time.Now()
		res, err := c.ask(ctx, address, epoch, group, r)
		switch {
		case err != nil:
			c.failed.Inc(1)
			pause(ctx, retryPause)
		case res.Refusal != nil:
			return nil, refused(res.Refusal)
		case res.Grant != nil:
			if lease := c.take(ctx, group, r, res.Grant, sent); lease != nil {
				return lease, nil
			}
		}
	}
}

// mayWait refuses once the caller waits no longer or the directory is not fresh:
// the scheduler it names may then have lost the group, and nothing tells when
// another one takes over.
func (c *Client) mayWait(ctx context.Context) *verdict.Error {
	switch {
	case ctx.Err() != nil:
		return waitEnded(ctx)
	case !c.directory.Fresh():
		return verdict.StaleSettings()
	default:
		return nil
	}
}

// ask sends one Acquire call to the holder of an epoch. The call ends with the
// epoch: a grant that is lost by that is unused, and runs out.
func (c *Client) ask(ctx context.Context, address string, epoch uint64, group string, r *schedulerv1.Request) (*schedulerv1.AcquireResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	defer context.AfterFunc(c.holding(group).term(epoch), cancel)()
	res, err := c.dial(address).Acquire(ctx, connect.NewRequest(&schedulerv1.AcquireRequest{
		Group: group, Entry: c.entry, Request: r, HoldMs: uint32(holdTime.Milliseconds()),
	}))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// take makes a lease of a grant. The validity counts from the moment the call
// was sent, which is never later than the scheduler's own count.
func (c *Client) take(ctx context.Context, group string, r *schedulerv1.Request, g *schedulerv1.Grant, sent time.Time) *Lease {
	lease := &Lease{
		Group: group, Grant: g, request: r, client: c,
		useUntil: sent.Add(time.Duration(g.ExpiresInMs)*time.Millisecond - useMargin),
	}
	c.holding(group).hold(lease)
	if ctx.Err() != nil || !lease.Usable(time.Now()) {
		c.expired.Inc(1)
		lease.Release(&schedulerv1.Outcome{Unused: true})
		return nil
	}
	return lease
}

// cancel tells the scheduler that nobody waits for the request any more.
func (c *Client) cancel(group, id string) {
	address, _, ok := c.directory.Holder(group)
	if !ok {
		return
	}
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		// A lost cancellation is harmless: the request leaves the queue when it is not repeated.
		_, _ = c.dial(address).Cancel(ctx, connect.NewRequest(&schedulerv1.CancelRequest{Group: group, Entry: c.entry, RequestId: id}))
	}()
}

func waitEnded(ctx context.Context) *verdict.Error {
	e := verdict.Overloaded("queue_timeout", "no endpoint became free within the time the request may wait", time.Second)
	return e.WithCause(context.Cause(ctx))
}

func refused(r *schedulerv1.Refusal) *verdict.Error {
	e := verdict.Refused(int(r.Status), r.Code, r.Message)
	e.RetryAfter = time.Duration(r.RetryAfterMs) * time.Millisecond
	return e
}

// pause waits for a jittered duration around mean, or until ctx ends.
func pause(ctx context.Context, mean time.Duration) {
	_ = kernel.Sleep(ctx, mean/2+rand.N(mean))
}

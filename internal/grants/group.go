package grants

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"auburnstep.example/auburnstep/internal/kernel"
	schedulerv1 "auburnstep.example/auburnstep/internal/rpc/schedulerv1"
)

// releaseDelay is how long a release waits for others, so that one call carries many
// releases.
const releaseDelay = 2 * time.Millisecond

// groupGrants is the set of grants of one group that this entry holds, together with
// the releases that the scheduler has not acknowledged.
type groupGrants struct {
	client *Client
	group  string
	wake   chan struct{}

	mu       sync.Mutex
	held     map[string]*Lease
	released []pendingRelease
	// unknown lists the grants that the scheduler reported as unknown at the last
	// renewal.
	unknown []string
	// epoch is the latest epoch seen; epochCtx ends when a later one is seen.
	epoch    uint64
	epochCtx context.Context
	// acknowledgedCrash is the number of the last crash that the scheduler knows.
	acknowledgedCrash uint64
	cancelEpoch       context.CancelFunc
}

type pendingRelease struct {
	outcome    *schedulerv1.Outcome
	releasedAt time.Time
}

// groupGrants returns the grants of the group. The first use of a group starts its
// renewal loop.
func (c *Client) groupGrants(group string) *groupGrants {
	c.mu.Lock()
	defer c.mu.Unlock()
	g, ok := c.groups[group]
	if !ok {
		g = newGroupGrants(c, group)
		c.groups[group] = g
		c.spawn(g.run)
	}
	return g
}

func newGroupGrants(c *Client, group string) *groupGrants {
	g := &groupGrants{client: c, group: group, wake: make(chan struct{}, 1), held: make(map[string]*Lease)}
	g.epochCtx, g.cancelEpoch = context.WithCancel(context.Background())
	return g
}

// epochContext returns a context that ends when an epoch later than the given one is
// seen. Without it, calls to a scheduler that became unreachable would delay requests,
// and the adoption of grants by the next scheduler, until the calls time out.
func (g *groupGrants) epochContext(epoch uint64) context.Context {
	g.mu.Lock()
	defer g.mu.Unlock()
	if epoch > g.epoch {
		g.cancelEpoch()
		g.epoch = epoch
		g.epochCtx, g.cancelEpoch = context.WithCancel(context.Background())
	}
	if epoch < g.epoch {
		return context.Background() // the caller read its epoch just before a later one was seen
	}
	return g.epochCtx
}

// cancelStaleCalls cancels the calls to the former scheduler if the directory names a
// new one.
func (g *groupGrants) cancelStaleCalls() {
	if _, epoch, ok := g.client.directory.Holder(g.group); ok {
		g.epochContext(epoch)
	}
}

func (g *groupGrants) add(l *Lease) {
	g.mu.Lock()
	g.held[l.Grant.Id] = l
	g.mu.Unlock()
}

func (g *groupGrants) release(outcome *schedulerv1.Outcome) {
	g.mu.Lock()
	delete(g.held, outcome.GrantId)
	g.released = append(g.released, pendingRelease{outcome, time.Now()})
	g.mu.Unlock()
	g.wakeUp()
}

// wakeUp makes run send what is pending.
func (g *groupGrants) wakeUp() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// run sends releases shortly after they are made and renews the grants in use, until
// the client stops. There are few groups, and the client never removes one.
func (g *groupGrants) run() {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	var adoptedEpoch uint64
	var lastRenewal time.Time
	for {
		select {
		case <-g.client.ctx.Done():
			return
		case <-ticker.C:
		case <-g.wake:
			_ = kernel.Sleep(g.client.ctx, releaseDelay)
		}
		// Report the grants in use to a new scheduler at once, so that it does not
		// grant their slots a second time.
		_, latestEpoch, known := g.client.directory.Holder(g.group)
		adopt := known && latestEpoch != adoptedEpoch
		renew := adopt || g.hasUnknown() || time.Since(lastRenewal) >= renewInterval
		if renew {
			lastRenewal = time.Now()
		}
		if g.flush(renew, adopt) && adopt {
			adoptedEpoch = latestEpoch
		}
	}
}

// hasUnknown reports whether the scheduler reported unknown grants, which the next
// renewal lists in full.
func (g *groupGrants) hasUnknown() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.unknown) > 0
}

// flush sends one Renew call with the pending releases and, if renew is set, all
// grants in use. It sends an empty call only if adopt is set, which means that the
// scheduler is new. It reports whether everything was sent.
func (g *groupGrants) flush(renew, adopt bool) bool {
	req := &schedulerv1.RenewRequest{Group: g.group, Entry: g.client.entry}
	g.mu.Lock()
	pending := g.released
	g.released = nil
	if renew {
		g.addHeld(req, adopt)
	}
	g.mu.Unlock()
	for _, p := range pending {
		req.Released = append(req.Released, p.outcome)
	}
	crashes, lastCrash := g.newCrashes(adopt)
	req.Crashes = crashes
	if len(req.Held)+len(req.HeldIds)+len(req.Released)+len(req.Crashes) == 0 && !adopt {
		return true
	}
	unknown, err := g.send(req)
	if err != nil {
		g.client.callFailures.Inc(1)
		g.requeue(pending)
		return false
	}
	g.acknowledgeCrashes(lastCrash)
	if renew {
		g.mu.Lock()
		g.unknown = unknown
		g.mu.Unlock()
	}
	return true
}

// addHeld adds the grants in use to a renewal. Most grants are listed by ID only,
// which takes a tenth of the size. A new scheduler receives all grants in full, and a
// scheduler that reported an ID as unknown receives that grant in full, so that it
// can adopt them. The caller must hold the mutex.
func (g *groupGrants) addHeld(req *schedulerv1.RenewRequest, adopt bool) {
	for id, l := range g.held {
		if !adopt && !slices.Contains(g.unknown, id) {
			req.HeldIds = append(req.HeldIds, id)
			continue
		}
		req.Held = append(req.Held, &schedulerv1.HeldGrant{
			GrantId: id, RequestId: l.request.Id, Endpoint: l.Grant.Endpoint,
			Customer: l.request.Customer, Class: l.request.Class, Epoch: l.Grant.Epoch,
		})
	}
}

// send sends one Renew call and returns the IDs of the grants that the scheduler does
// not know.
func (g *groupGrants) send(req *schedulerv1.RenewRequest) ([]string, error) {
	address, epoch, ok := g.client.directory.Holder(g.group)
	if !ok {
		return nil, context.DeadlineExceeded
	}
	req.Epoch = epoch
	ctx, cancel := context.WithTimeout(g.client.ctx, time.Second)
	defer cancel()
	defer context.AfterFunc(g.epochContext(epoch), cancel)()
	res, err := g.client.dial(address).Renew(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return res.Msg.Unknown, nil
}

// requeue queues unacknowledged releases again and drops those older than
// releaseRetention. Repeating a release is safe, because the scheduler ignores
// releases of grants it does not know.
func (g *groupGrants) requeue(pending []pendingRelease) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range pending {
		if time.Since(p.releasedAt) < releaseRetention {
			g.released = append(g.released, p)
		}
	}
}

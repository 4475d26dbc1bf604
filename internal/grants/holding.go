package grants

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	schedulerv1 "auburnstep.example/auburnstep/internal/rpc/schedulerv1"
)

// coalesce is how long a release waits for others, so that one call carries many.
const coalesce = 2 * time.Millisecond

// holding is the set of grants of one group that this entry holds, with the
// releases that the scheduler has not acknowledged.
type holding struct {
	client *Client
	group  string
	wake   chan struct{}

	mu       sync.Mutex
	held     map[string]*Lease
	released []pendingRelease
	// unknown lists grants that the scheduler did not know at the last renewal.
	unknown []string
	// epoch is the latest that was seen; current ends when a later one is seen.
	epoch      uint64
	current    context.Context
	endCurrent context.CancelFunc
}

type pendingRelease struct {
	outcome *schedulerv1.Outcome
	since   time.Time
}

// holding returns the set of the group and starts its renewal on first use.
func (c *Client) holding(group string) *holding {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.groups[group]
	if !ok {
		h = newHolding(c, group)
		c.groups[group] = h
		go h.run()
	}
	return h
}

func newHolding(c *Client, group string) *holding {
	h := &holding{client: c, group: group, wake: make(chan struct{}, 1), held: make(map[string]*Lease)}
	h.current, h.endCurrent = context.WithCancel(context.Background())
	return h
}

// term returns a context that ends when a later epoch of the group is seen. Calls
// to a scheduler that is lost without a trace would else hold up requests, and
// the adoption by the next one, until their timeout.
func (h *holding) term(epoch uint64) context.Context {
	h.mu.Lock()
	defer h.mu.Unlock()
	if epoch > h.epoch {
		h.endCurrent()
		h.epoch = epoch
		h.current, h.endCurrent = context.WithCancel(context.Background())
	}
	if epoch < h.epoch {
		return context.Background() // read just before the later one was seen
	}
	return h.current
}

// follow ends the calls to the former scheduler when there is a new one.
func (h *holding) follow() {
	if _, epoch, ok := h.client.directory.Holder(h.group); ok {
		h.term(epoch)
	}
}

func (h *holding) hold(l *Lease) {
	h.mu.Lock()
	h.held[l.Grant.Id] = l
	h.mu.Unlock()
}

func (h *holding) release(o *schedulerv1.Outcome) {
	h.mu.Lock()
	delete(h.held, o.GrantId)
	h.released = append(h.released, pendingRelease{o, time.Now()})
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// run sends releases soon after they are made and renews the grants in use.
// It lives as long as the process, since groups are few and never forgotten.
func (h *holding) run() {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	var epoch uint64
	var renewed time.Time
	for {
		select {
		case <-ticker.C:
		case <-h.wake:
			time.Sleep(coalesce)
		}
		// A new scheduler learns at once what this entry holds, so that it
		// does not give the same slots away a second time.
		_, now, known := h.client.directory.Holder(h.group)
		adopt := known && now != epoch
		renew := adopt || h.isUnknown() || time.Since(renewed) >= renewInterval
		if renew {
			renewed = time.Now()
		}
		if h.flush(renew, adopt) && adopt {
			epoch = now
		}
	}
}

// isUnknown reports whether the scheduler asked for grants in full.
func (h *holding) isUnknown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.unknown) > 0
}

// flush sends one Renew call with the pending releases and, where renew is
// set, all grants in use. An empty call is sent only for adoption. It reports
// whether nothing is left to send.
func (h *holding) flush(renew, adopt bool) bool {
	req := &schedulerv1.RenewRequest{Group: h.group, Entry: h.client.entry}
	h.mu.Lock()
	pending := h.released
	h.released = nil
	if renew {
		h.list(req, adopt)
	}
	h.mu.Unlock()
	for _, p := range pending {
		req.Released = append(req.Released, p.outcome)
	}
	if len(req.Held)+len(req.HeldIds)+len(req.Released) == 0 && !adopt {
		return true
	}
	unknown, err := h.send(req)
	if err != nil {
		h.client.failed.Inc(1)
		h.keep(pending)
		return false
	}
	if renew {
		h.mu.Lock()
		h.unknown = unknown
		h.mu.Unlock()
	}
	return true
}

// list adds the grants in use to a renewal. Most are listed by id alone, a
// tenth of the size; a new scheduler, or one that does not know an id, gets
// what it needs to adopt them. The caller holds the mutex.
func (h *holding) list(req *schedulerv1.RenewRequest, adopt bool) {
	for id, l := range h.held {
		if !adopt && !slices.Contains(h.unknown, id) {
			req.HeldIds = append(req.HeldIds, id)
			continue
		}
		req.Held = append(req.Held, &schedulerv1.HeldGrant{
			GrantId: id, RequestId: l.request.Id, Endpoint: l.Grant.Endpoint,
			Customer: l.request.Customer, Class: l.request.Class, Epoch: l.Grant.Epoch,
		})
	}
}

// send returns the grants that the scheduler does not know.
func (h *holding) send(req *schedulerv1.RenewRequest) ([]string, error) {
	address, epoch, ok := h.client.directory.Holder(h.group)
	if !ok {
		return nil, context.DeadlineExceeded
	}
	req.Epoch = epoch
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	defer context.AfterFunc(h.term(epoch), cancel)()
	res, err := h.client.dial(address).Renew(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return res.Msg.Unknown, nil
}

// keep queues releases again that were not acknowledged. A release is
// idempotent: the scheduler ignores grants it does not know.
func (h *holding) keep(pending []pendingRelease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range pending {
		if time.Since(p.since) < releaseKeep {
			h.released = append(h.released, p)
		}
	}
}

package schedulerhost

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"auburnstep.example/auburnstep/internal/clock"
	"auburnstep.example/auburnstep/internal/ring"
	schedulerv1 "auburnstep.example/auburnstep/internal/rpc/schedulerv1"
	"auburnstep.example/auburnstep/internal/scheduler"
	"auburnstep.example/auburnstep/internal/verdict"
)

// maxAcquireHold bounds how long one Acquire call is held without a decision.
const maxAcquireHold = time.Second

// Acquire implements scheduler.v1.Scheduler. It queues the request, or finds it in the
// queue, and holds the call until there is a decision or the hold time has passed.
func (h *Host) Acquire(ctx context.Context, req *connect.Request[schedulerv1.AcquireRequest]) (*connect.Response[schedulerv1.AcquireResponse], error) {
	received := clock.Now()
	m := req.Msg
	g, err := h.lookup(m.Group)
	if err != nil {
		return nil, rpcError(err)
	}
	request, refusal := g.request(m)
	if refusal != nil {
		return connect.NewResponse(&schedulerv1.AcquireResponse{Refusal: refusalMessage(refusal)}), nil
	}
	w := &waiter{entry: m.Entry, decision: make(chan scheduler.Decision, 1)}
	if err := g.runSync(ctx, func(now time.Time) { g.enqueue(now, request, w) }); err != nil {
		return nil, rpcError(err)
	}
	hold := min(time.Duration(m.HoldMs)*time.Millisecond, maxAcquireHold)
	timer := time.NewTimer(hold)
	defer timer.Stop()
	select {
	case d := <-w.decision:
		return connect.NewResponse(decisionMessage(d, received)), nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.endHold(ctx, m.Request.Id, w, received)
}

// endHold ends a held call that has received no decision. It still returns a decision
// that is made while the hold time ends.
func (g *group) endHold(ctx context.Context, id string, w *waiter, received time.Time) (*connect.Response[schedulerv1.AcquireResponse], error) {
	res := &schedulerv1.AcquireResponse{}
	err := g.runSync(context.WithoutCancel(ctx), func(time.Time) {
		if g.waiters[id] == w {
			delete(g.waiters, id)
		}
		res.Position = uint32(g.core.Position(id))
	})
	if err != nil {
		return nil, rpcError(err)
	}
	select {
	case d := <-w.decision:
		res = decisionMessage(d, received)
	default:
	}
	return connect.NewResponse(res), nil
}

func (g *group) enqueue(now time.Time, r scheduler.Request, w *waiter) {
	g.waiters[r.ID] = w
	g.deliver(g.core.Enqueue(now, r))
}

// request combines the entry's request with the class settings in force at this instance,
// so that all requests of a queue are ordered by the same settings.
func (g *group) request(m *schedulerv1.AcquireRequest) (scheduler.Request, *verdict.Error) {
	r := m.Request
	p, ok := g.host.source.Index().ClassPolicy(g.service, r.Class, r.Customer)
	if !ok {
		return scheduler.Request{}, verdict.Refused(404, "unknown_class", "class "+r.Class+" does not exist in service "+g.service)
	}
	deadline := p.Deadline
	if d := time.Duration(r.DeadlineMs) * time.Millisecond; d > 0 && d < deadline {
		deadline = d
	}
	return scheduler.Request{
		ID: r.Id, Entry: m.Entry, Customer: r.Customer, Class: r.Class, Tier: p.Tier, Target: p.FirstTokenTarget,
		Deadline: deadline, Waited: time.Duration(r.WaitedMs) * time.Millisecond, PromptTokens: int(r.PromptTokens),
		MaxTokens: int(r.MaxTokens), Prefixes: r.Prefixes, Fingerprint: r.Fingerprint, Model: r.Model, MayRepeat: r.MayRepeat, Avoid: r.Avoid,
	}, nil
}

// Cancel implements scheduler.v1.Scheduler.
func (h *Host) Cancel(ctx context.Context, req *connect.Request[schedulerv1.CancelRequest]) (*connect.Response[schedulerv1.CancelResponse], error) {
	err := h.runInGroup(ctx, req.Msg.Group, func(g *group, now time.Time) { g.deliver(g.core.Cancel(now, req.Msg.RequestId)) })
	if err != nil {
		return nil, rpcError(err)
	}
	return connect.NewResponse(&schedulerv1.CancelResponse{}), nil
}

// Renew implements scheduler.v1.Scheduler.
func (h *Host) Renew(ctx context.Context, req *connect.Request[schedulerv1.RenewRequest]) (*connect.Response[schedulerv1.RenewResponse], error) {
	m := req.Msg
	res := &schedulerv1.RenewResponse{}
	err := h.runInGroup(ctx, m.Group, func(g *group, now time.Time) {
		res.Epoch = g.epoch
		for _, o := range m.Released {
			g.deliver(g.core.Release(now, o.GrantId, outcomeFromProto(o)))
		}
		g.deliver(g.core.RecordCrashes(now, crashesFromProto(now, m.Crashes)))
		res.Unknown = g.core.Extend(now, m.HeldIds)
		g.deliver(g.core.Renew(now, m.Entry, heldGrantsFromProto(m.Held)))
	})
	if err != nil {
		return nil, rpcError(err)
	}
	return connect.NewResponse(res), nil
}

// Announce implements scheduler.v1.Scheduler.
func (h *Host) Announce(ctx context.Context, req *connect.Request[schedulerv1.AnnounceRequest]) (*connect.Response[schedulerv1.AnnounceResponse], error) {
	res := &schedulerv1.AnnounceResponse{}
	err := h.runInGroup(ctx, req.Msg.Group, func(g *group, now time.Time) {
		res.Epoch = g.epoch
		for _, e := range req.Msg.Endpoints {
			decisions := g.core.Announce(now, endpointFromProto(e))
			for _, d := range decisions {
				if r, ok := d.(scheduler.Resync); ok {
					res.Resync = append(res.Resync, r.Endpoint)
				}
			}
			g.deliver(decisions)
		}
	})
	if err != nil {
		return nil, rpcError(err)
	}
	return connect.NewResponse(res), nil
}

// Status implements scheduler.v1.Scheduler.
func (h *Host) Status(ctx context.Context, req *connect.Request[schedulerv1.StatusRequest]) (*connect.Response[schedulerv1.StatusResponse], error) {
	var s scheduler.Status
	var d scheduler.Demand
	err := h.runInGroup(ctx, req.Msg.Group, func(g *group, now time.Time) { s, d = g.core.Status(now), g.core.Demand(now) })
	if err != nil {
		return nil, rpcError(err)
	}
	return connect.NewResponse(statusMessage(s, d)), nil
}

// Withhold implements scheduler.v1.Scheduler.
func (h *Host) Withhold(ctx context.Context, req *connect.Request[schedulerv1.WithholdRequest]) (*connect.Response[schedulerv1.WithholdResponse], error) {
	m := req.Msg
	res := &schedulerv1.WithholdResponse{}
	err := h.runInGroup(ctx, m.Group, func(g *group, now time.Time) {
		res.Epoch = g.epoch
		g.core.Withhold(now, m.Endpoint, m.Model, time.Duration(m.ForMs)*time.Millisecond)
	})
	if err != nil {
		return nil, rpcError(err)
	}
	return connect.NewResponse(res), nil
}

// runInGroup runs f in the goroutine of the named group and waits for it.
func (h *Host) runInGroup(ctx context.Context, name string, f func(g *group, now time.Time)) error {
	g, err := h.lookup(name)
	if err != nil {
		return err
	}
	return g.runSync(ctx, func(now time.Time) { f(g, now) })
}

func rpcError(err error) error {
	switch {
	case ErrNotHolder.Has(err):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case errors.Is(err, ring.ErrFull):
		return connect.NewError(connect.CodeResourceExhausted, err)
	default:
		return connect.NewError(connect.CodeUnavailable, err)
	}
}

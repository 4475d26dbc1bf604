package schedulerhost

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/limit"
	"auburnstep.example/auburnstep/internal/ring"
	schedulerv1 "auburnstep.example/auburnstep/internal/rpc/schedulerv1"
	"auburnstep.example/auburnstep/internal/settings"
)

const (
	// shareLease is how long a share of a customer's limits may be used. It
	// outlives several lost renewals, and a take-over of the owner waits it out.
	shareLease = 2 * time.Second
	// shareInterval is how often a group renews its shares. A customer that is
	// new in a group waits this long at most for its first share.
	shareInterval = 250 * time.Millisecond
	// shareTimeout bounds one renewal.
	shareTimeout = time.Second
)

// sharesLimits reports whether the limits of customers have to be divided
// because the service has several groups.
func sharesLimits(index *settings.Index, service string) bool {
	s, ok := index.Service(service)
	return ok && s.Groups > 1
}

// ownerOf returns the group that owns the budgets of a service.
func ownerOf(service string) string { return service + "/0" }

// renewShares keeps the shares of this group current. When the owner can not be
// reached the shares run out, and customers with limits wait until it is back.
func (g *group) renewShares(ctx context.Context) {
	for kernel.Sleep(ctx, shareInterval) == nil {
		var demands []limit.Demand
		err := g.do(ctx, func(time.Time) { demands = g.core.Demands() })
		if errors.Is(err, ring.ErrClosed) {
			return
		}
		// A full ring passes; the next round asks again.
		if err != nil || len(demands) == 0 {
			continue
		}
		shares, err := g.askShares(ctx, demands)
		if err != nil {
			continue
		}
		_ = g.do(ctx, func(now time.Time) { g.deliver(g.core.SetShares(now, shares)) })
	}
}

func (g *group) askShares(ctx context.Context, demands []limit.Demand) ([]limit.Share, error) {
	owner := ownerOf(g.service)
	address, _, ok := g.host.peers.Holder(owner)
	if !ok {
		return nil, ErrNotHolder.New("%s", owner)
	}
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	req := &schedulerv1.SharesRequest{Owner: owner, Holder: g.name}
	for _, d := range demands {
		req.Demands = append(req.Demands, &schedulerv1.Demand{
			Customer: d.Customer, Concurrency: uint32(d.Concurrency), TokensPerSecond: float32(d.TokensPerSecond),
			InFlight: uint32(d.InFlight),
		})
	}
	sent := time.Now()
	res, err := g.host.dial(address).Shares(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	shares := make([]limit.Share, len(res.Msg.Shares))
	for i, s := range res.Msg.Shares {
		shares[i] = limit.Share{
			Customer: s.Customer, Concurrency: int(s.Concurrency), TokensPerSecond: float64(s.TokensPerSecond),
			Ends: sent.Add(time.Duration(s.ValidMs) * time.Millisecond),
		}
	}
	return shares, nil
}

// Shares implements scheduler.v1.Scheduler for the owner of the budgets.
func (h *Host) Shares(ctx context.Context, req *connect.Request[schedulerv1.SharesRequest]) (*connect.Response[schedulerv1.SharesResponse], error) {
	m := req.Msg
	res := &schedulerv1.SharesResponse{}
	owns := false
	err := h.call(ctx, m.Owner, func(g *group, now time.Time) {
		if g.budget == nil {
			return
		}
		owns = true
		policy := groupPolicy(g.index, g.service).Customer
		for _, d := range m.Demands {
			s := g.budget.Lease(now, m.Holder, limit.Demand{
				Customer: d.Customer, Concurrency: int(d.Concurrency), TokensPerSecond: float64(d.TokensPerSecond),
				InFlight: int(d.InFlight),
			}, policy(d.Customer))
			res.Shares = append(res.Shares, &schedulerv1.Share{
				Customer: s.Customer, Concurrency: uint32(s.Concurrency), TokensPerSecond: float32(s.TokensPerSecond),
				ValidMs: uint32(max(s.Ends.Sub(now), 0).Milliseconds()),
			})
		}
	})
	if err == nil && !owns {
		err = ErrNotHolder.New("%s owns no budgets", m.Owner)
	}
	if err != nil {
		return nil, rpcError(err)
	}
	return connect.NewResponse(res), nil
}

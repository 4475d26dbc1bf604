package schedulerhost

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"auburnstep.example/auburnstep/internal/clock"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/limit"
	"auburnstep.example/auburnstep/internal/ring"
	schedulerv1 "auburnstep.example/auburnstep/internal/rpc/schedulerv1"
	"auburnstep.example/auburnstep/internal/settings"
)

const (
	// shareLease is how long a share of a customer's limits may be used. Several
	// renewals may be lost in that time. A new owner of the budgets waits until the
	// shares of the former owner have expired before it divides the limits.
	shareLease = 2 * time.Second
	// shareInterval is the time between renewals of a group's shares. A customer that
	// is new in a group waits at most this long for its first share.
	shareInterval = 250 * time.Millisecond
	// shareTimeout bounds one renewal.
	shareTimeout = time.Second
)

// needsSharedLimits reports whether the limits of customers must be divided, because the
// service has several groups.
func needsSharedLimits(index *settings.Index, service string) bool {
	s, ok := index.Service(service)
	return ok && s.Groups > 1
}

// budgetOwner returns the group that owns the budgets of a service.
func budgetOwner(service string) string { return service + "/0" }

// renewShares renews the shares of this group until ctx ends or the ring is closed. While
// the owner cannot be reached the shares expire, and requests of customers with limits
// wait until the owner can be reached again.
func (g *group) renewShares(ctx context.Context) {
	for kernel.Sleep(ctx, shareInterval) == nil {
		var demands []limit.Demand
		err := g.runSync(ctx, func(time.Time) { demands = g.core.CustomerDemands() })
		if errors.Is(err, ring.ErrClosed) {
			return
		}
		// A full ring is a temporary condition, so the next round tries again.
		if err != nil || len(demands) == 0 {
			continue
		}
		shares, err := g.requestShares(ctx, demands)
		if err != nil {
			continue
		}
		_ = g.runSync(ctx, func(now time.Time) { g.deliver(g.core.SetShares(now, shares)) })
	}
}

func (g *group) requestShares(ctx context.Context, demands []limit.Demand) ([]limit.Share, error) {
	owner := budgetOwner(g.service)
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
	sent := clock.Now()
	res, err := g.host.dial(address).Shares(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	shares := make([]limit.Share, len(res.Msg.Shares))
	for i, s := range res.Msg.Shares {
		shares[i] = limit.Share{
			Customer: s.Customer, Concurrency: int(s.Concurrency), TokensPerSecond: float64(s.TokensPerSecond),
			ExpiresAt: sent.Add(time.Duration(s.ValidMs) * time.Millisecond),
		}
	}
	return shares, nil
}

// Shares implements scheduler.v1.Scheduler for the group that owns the budgets.
func (h *Host) Shares(ctx context.Context, req *connect.Request[schedulerv1.SharesRequest]) (*connect.Response[schedulerv1.SharesResponse], error) {
	m := req.Msg
	res := &schedulerv1.SharesResponse{}
	ownsBudgets := false
	err := h.runInGroup(ctx, m.Owner, func(g *group, now time.Time) {
		if g.budget == nil {
			return
		}
		ownsBudgets = true
		policy := groupPolicy(g.index, g.service).Customer
		for _, d := range m.Demands {
			s := g.budget.RenewShare(now, m.Holder, limit.Demand{
				Customer: d.Customer, Concurrency: int(d.Concurrency), TokensPerSecond: float64(d.TokensPerSecond),
				InFlight: int(d.InFlight),
			}, policy(d.Customer))
			res.Shares = append(res.Shares, &schedulerv1.Share{
				Customer: s.Customer, Concurrency: uint32(s.Concurrency), TokensPerSecond: float32(s.TokensPerSecond),
				ValidMs: uint32(max(s.ExpiresAt.Sub(now), 0).Milliseconds()),
			})
		}
	})
	if err == nil && !ownsBudgets {
		err = ErrNotHolder.New("%s owns no budgets", m.Owner)
	}
	if err != nil {
		return nil, rpcError(err)
	}
	return connect.NewResponse(res), nil
}

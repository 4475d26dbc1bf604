package schedulerhost

import (
	"maps"
	"math"
	"slices"
	"time"

	"auburnstep.example/auburnstep/internal/clock"
	schedulerv1 "auburnstep.example/auburnstep/internal/rpc/schedulerv1"
	"auburnstep.example/auburnstep/internal/scheduler"
	"auburnstep.example/auburnstep/internal/verdict"
)

// decisionMessage builds the response of Acquire. The entry counts the validity of a
// grant from the time at which it sent the call, so the validity is extended by the time
// for which the call was held. Since the call is sent before it is received, the grant
// never expires later at the entry than at the scheduler.
func decisionMessage(d scheduler.Decision, received time.Time) *schedulerv1.AcquireResponse {
	switch d := d.(type) {
	case scheduler.Granted:
		held := clock.Now().Sub(received)
		return &schedulerv1.AcquireResponse{Grant: &schedulerv1.Grant{
			Id: d.GrantID, Epoch: d.Epoch, Endpoint: d.Endpoint, Address: d.Address,
			ExpiresInMs: uint32((held + d.ExpiresIn).Milliseconds()), Priority: uint32(d.Priority), Incarnation: d.Incarnation,
		}}
	case scheduler.Refused:
		return &schedulerv1.AcquireResponse{Refusal: refusalMessage(d.Err)}
	default:
		return &schedulerv1.AcquireResponse{}
	}
}

func refusalMessage(e *verdict.Error) *schedulerv1.Refusal {
	return &schedulerv1.Refusal{
		Code: e.Code, Message: e.Message, Status: uint32(e.Status), RetryAfterMs: uint32(e.RetryAfter.Milliseconds()),
	}
}

func outcomeFromProto(o *schedulerv1.Outcome) scheduler.Outcome {
	return scheduler.Outcome{
		Tokens: int(o.Tokens), FirstToken: time.Duration(o.FirstTokenMs) * time.Millisecond,
		Duration: time.Duration(o.DurationMs) * time.Millisecond, Failed: o.Failed, EndpointFault: o.EndpointFault,
		ConnectRefused: o.ConnectRefused, Crashed: o.Crashed, CrashedBeforeHead: o.CrashedBeforeHead, Unused: o.Unused,
	}
}

func crashesFromProto(now time.Time, reports []*schedulerv1.CrashReport) []scheduler.Crash {
	out := make([]scheduler.Crash, len(reports))
	for i, r := range reports {
		out[i] = scheduler.Crash{
			Endpoint: r.Endpoint, Incarnation: r.Incarnation, Request: r.Request, Prefixes: r.Prefixes, Fingerprint: r.Fingerprint,
			SentAt: now.Add(-time.Duration(r.SentAgeMs) * time.Millisecond), LostAt: now.Add(-time.Duration(r.LostAgeMs) * time.Millisecond),
		}
	}
	return out
}

func heldGrantsFromProto(held []*schedulerv1.HeldGrant) []scheduler.HeldGrant {
	out := make([]scheduler.HeldGrant, len(held))
	for i, h := range held {
		out[i] = scheduler.HeldGrant{
			GrantID: h.GrantId, RequestID: h.RequestId, Endpoint: h.Endpoint,
			Customer: h.Customer, Class: h.Class, Epoch: h.Epoch,
		}
	}
	return out
}

func endpointFromProto(e *schedulerv1.Endpoint) scheduler.Endpoint {
	out := scheduler.Endpoint{
		ID: e.Id, Incarnation: e.Incarnation, Address: e.Address, Models: e.Models, Adapters: e.Adapters,
		Slots: int(e.Slots), TokensPerSecond: float64(e.TokensPerSecond), FailureDomain: e.FailureDomain,
		Lease: time.Duration(e.LeaseMs) * time.Millisecond, Leaving: e.Leaving, Loading: e.Loading,
		ChecksOrders: e.ChecksOrders, RefusesOldFencing: e.RefusesOldFencing,
	}
	if l := e.Load; l != nil {
		out.Load = &scheduler.Load{
			Running: int(l.Running), Waiting: int(l.Waiting), KVUsed: float64(l.KvUsed),
			MeasuredAt: time.UnixMilli(l.MeasuredAtMs),
		}
	}
	for _, c := range e.CacheEvents {
		out.CacheEvents = append(out.CacheEvents, scheduler.CacheEvent{
			Sequence: c.Sequence, Stored: c.Stored, Prefix: c.Prefix, Cleared: c.Cleared,
		})
	}
	return out
}

func statusMessage(s scheduler.Status, d scheduler.Demand) *schedulerv1.StatusResponse {
	res := &schedulerv1.StatusResponse{Group: s.Group, Epoch: s.Epoch, AgeMs: uint32(min(d.Age.Milliseconds(), math.MaxUint32))}
	for _, e := range s.Endpoints {
		res.Endpoints = append(res.Endpoints, &schedulerv1.EndpointStatus{
			Endpoint: &schedulerv1.Endpoint{
				Id: e.Endpoint.ID, Incarnation: e.Endpoint.Incarnation, Address: e.Endpoint.Address, Models: e.Endpoint.Models,
				Adapters: e.Endpoint.Adapters, Slots: uint32(e.Endpoint.Slots), FailureDomain: e.Endpoint.FailureDomain,
				TokensPerSecond: float32(e.Endpoint.TokensPerSecond), Leaving: e.Endpoint.Leaving, Loading: e.Endpoint.Loading,
				ChecksOrders: e.Endpoint.ChecksOrders, RefusesOldFencing: e.Endpoint.RefusesOldFencing,
			},
			InFlight: uint32(e.InFlight), Ejected: e.Ejected, LeaseLeftMs: uint32(e.LeaseLeft.Milliseconds()),
			ObservedTokensPerSecond: float32(e.Pace), ByModel: modelCounts(d.InFlight[e.Endpoint.ID]),
		})
	}
	for _, c := range s.Classes {
		res.Classes = append(res.Classes, &schedulerv1.ClassStatus{
			Class: c.Class, Tier: uint32(c.Tier), Waiting: uint32(c.Waiting), InFlight: uint32(c.InFlight),
			Granted: c.Granted, Refused: c.Refused,
		})
	}
	for _, m := range d.Models {
		res.Demand = append(res.Demand, &schedulerv1.ModelDemand{
			Model: m.Model, Tier: uint32(m.Tier), Waiting: uint32(m.Waiting), InFlight: uint32(m.InFlight),
			TokensPerSecond: float32(m.TokensPerSecond), RefusedPerSecond: float32(m.RefusedPerSecond),
		})
	}
	return res
}

func modelCounts(counts map[string]int) []*schedulerv1.ModelCount {
	var out []*schedulerv1.ModelCount
	for _, model := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, &schedulerv1.ModelCount{Model: model, InFlight: uint32(counts[model])})
	}
	return out
}

package control

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/routing"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/text"
)

var (
	eventRoutingAccepted = event.Define(3005, "routing-accepted", event.Info, "a routing table was accepted")
	eventRoutingRead     = event.Define(3007, "routing-read", event.Info, "this member led and returned the routing table in force")
	eventRoutingFailed   = event.Define(3006, "routing-failed", event.Warn, "a routing table was not accepted, or its outcome is not known")
)

// PutRouting proposes a routing table to the log and returns the version in force
// once a majority has stored the table. A table that is not newer than the
// current one changes nothing, and the response has the current version. The
// table is validated here as well, so that an invalid one never reaches the log.
func (m *Member) PutRouting(ctx context.Context, r *controlv1.PutRoutingRequest) (*controlv1.PutRoutingResponse, error) {
	t := r.GetTable()
	size := int64(proto.Size(t))
	if size > maxCommandBytes {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("a routing table has at most %d bytes", maxCommandBytes))
	}
	if !m.tableBytes.TakeAbove(size, 0) {
		return nil, connectError(fmt.Errorf("%w: other routing tables are being handled", ErrBusy))
	}
	defer m.tableBytes.Give(size)
	table, err := routing.Decode(t.GetDocument())
	if err == nil && table.Version != t.GetVersion() {
		err = fmt.Errorf("the table has version %d, the request %d", table.Version, t.GetVersion())
	}
	if err == nil {
		err = table.CheckNames(text.CheckName)
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	term, ok := m.lease()
	if !ok {
		a, err := m.redirect()
		return &controlv1.PutRoutingResponse{LeaderAddress: a}, err
	}
	if current := m.routingVersion(); current >= t.GetVersion() && m.holdsLease(term) {
		return &controlv1.PutRoutingResponse{Version: current}, nil
	}
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	if m.options.UsageWindow != nil {
		t = &controlv1.RoutingTable{Version: t.GetVersion(), Document: t.GetDocument(), UsageWindow: m.options.UsageWindow()}
	}
	applied, err := m.propose(ctx, &controlv1.Command{Command: &controlv1.Command_Routing{Routing: t}})
	if err != nil {
		m.options.Events.Emit(eventRoutingFailed, event.F("version", t.GetVersion()), event.F("error", err))
		return nil, connectError(err)
	}
	m.options.Events.Emit(eventRoutingAccepted, event.F("version", t.GetVersion()), event.F("in_force", applied.Routing.GetVersion()))
	return &controlv1.PutRoutingResponse{Version: applied.Routing.GetVersion()}, nil
}

// Routing returns the routing table in force. A member that does not lead returns
// the address of the leader or an error instead.
func (m *Member) Routing(ctx context.Context) (*controlv1.RoutingResponse, error) {
	if leader, err := m.awaitCurrent(ctx); err != nil || leader != "" {
		return &controlv1.RoutingResponse{LeaderAddress: leader}, err
	}
	m.mu.RLock()
	t := m.state.Routing()
	m.mu.RUnlock()
	m.options.Events.Emit(eventRoutingRead, event.F("version", t.GetVersion()), event.F("term", m.status.Load().Term), event.F("applied", m.applied.Load()))
	return &controlv1.RoutingResponse{Table: t}, nil
}

func (m *Member) routingVersion() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Routing().GetVersion()
}

// AppliedRouting returns the routing table as this member has applied it; nil before the
// first table.
func (m *Member) AppliedRouting() *controlv1.RoutingTable {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Routing()
}

// AcceptRouting has the leader put a routing table in force, whichever member
// leads, and returns the version in force.
func (m *Member) AcceptRouting(ctx context.Context, t *controlv1.RoutingTable) (version uint64, err error) {
	r := &controlv1.PutRoutingRequest{Table: t}
	out, err := m.PutRouting(ctx, r)
	if err == nil && out.GetLeaderAddress() != "" {
		out, err = m.options.Network.PutRouting(ctx, out.GetLeaderAddress(), r)
	}
	if err == nil && out.GetLeaderAddress() != "" {
		err = errNoLeader() // The leader changed between the two calls.
	}
	return out.GetVersion(), err
}

// CurrentRouting returns the routing table that is in force according to the
// leader, whichever member leads; nil before the first table.
func (m *Member) CurrentRouting(ctx context.Context) (*controlv1.RoutingTable, error) {
	out, err := m.Routing(ctx)
	if err == nil && out.GetLeaderAddress() != "" {
		out, err = m.options.Network.Routing(ctx, out.GetLeaderAddress(), &controlv1.RoutingRequest{})
	}
	if err == nil && out.GetLeaderAddress() != "" {
		err = errNoLeader()
	}
	return out.GetTable(), err
}

// Members returns the addresses of the control members.
func (m *Member) Members() []string {
	var out []string
	for _, a := range m.replicatedMembers() {
		out = append(out, a.Address)
	}
	return out
}

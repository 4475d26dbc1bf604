package control

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/control/state"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// ProposeUsage proposes a window of usage to the log and waits until it is applied on this
// member. Only a leader within its lease proposes. After any error the same window may be
// proposed again, because the first of these commands in the log decides the counts.
func (m *Member) ProposeUsage(ctx context.Context, w *controlv1.UsageWindow) error {
	if proto.Size(w) > maxCommandBytes {
		return Error.New("a window of usage has at most %d bytes", maxCommandBytes)
	}
	if _, ok := m.lease(); !ok {
		return Error.Wrap(ErrNotLeader)
	}
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	if _, err := m.propose(ctx, &controlv1.Command{Command: &controlv1.Command_Usage{Usage: w}}); err != nil {
		return Error.Wrap(fmt.Errorf("usage window %d: %w", w.GetWindow(), err))
	}
	return nil
}

// Usage returns the windows of usage as far as this member has applied the log. The caller
// must not modify them.
func (m *Member) Usage() state.Usage {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Usage()
}

// HasRouting reports whether this member has a routing table.
func (m *Member) HasRouting() bool { return m.routingVersion() > 0 }

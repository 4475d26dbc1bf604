package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/consensus"
	"auburnstep.example/auburnstep/internal/control/state"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// proposal is an encoded command that waits to be appended to the log.
type proposal struct {
	data     []byte
	complete func(state.Result, error) // called exactly once, must not block
}

// nodeCall is a function to be run on the consensus node by the consensus loop, the
// only goroutine that may use the node.
type nodeCall struct {
	do   func(n *consensus.Node) error
	done chan error // buffered
}

// driver is the state of the consensus loop.
type driver struct {
	m              *Member
	node           *consensus.Node
	log            Log
	deliveredTicks int64
	compaction     compaction
}

// loop is the consensus loop. It owns the node and the log. It sends messages and
// passes entries to the apply loop only after the log has been written to disk.
func (m *Member) loop(ctx context.Context, node *consensus.Node, log Log, c compaction) error {
	d := &driver{m: m, node: node, log: log, compaction: c}
	ticker := time.NewTicker(m.options.Tick)
	defer ticker.Stop()
	for {
		d.publishStatus()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-m.wake:
		}
		// Messages are drained before ticks are delivered, so that each message was
		// sent before the time up to which the node's clock advances. With the
		// opposite order, a member that is paused in between could acknowledge a
		// heartbeat at its old tick and be ready to vote after the next ticks, while
		// the leader still holds a lease from that acknowledgement.
		inbound := m.inbox.Drain(maxInboundPerRound)
		d.tick()
		d.handleInput(inbound)
		for _, s := range m.snapshots.Drain(1) {
			if err := d.storeSnapshot(s); err != nil {
				return err
			}
		}
		if m.options.ReplaceLostVoters && d.node.Status().Removed {
			return errRemoved
		}
		for d.node.HasReady() {
			if err := d.processReady(ctx, d.node.Ready()); err != nil {
				return err
			}
			d.node.Advance()
		}
		d.requestSnapshot(ctx)
	}
}

// requestSnapshot has the apply loop copy the state if a snapshot is due.
func (d *driver) requestSnapshot(ctx context.Context) {
	if d.compaction.isDue(d.node.Status().Applied) && d.m.applies.Push(ctx, applyItem{freeze: true}) == nil {
		d.compaction.request()
	}
}

// tick delivers all ticks that have passed, including those missed during a
// pause, before any message is handled. At most maxCatchUpTicks are delivered in
// one call: they cover several election timeouts, so every lease has ended by
// then and further ticks would have no effect.
func (d *driver) tick() {
	now := int64(d.m.now().Sub(d.m.tickZero) / d.m.options.Tick)
	for n := 0; d.deliveredTicks < now; d.deliveredTicks++ {
		if n < maxCatchUpTicks {
			d.node.Tick()
		}
		n++
	}
}

// handleInput passes received messages, queued proposals and queued node calls to the
// node.
func (d *driver) handleInput(inbound []consensus.Message) {
	m := d.m
	if len(inbound) > 0 {
		m.lastMessage.Store(int64(m.now().Sub(m.tickZero)))
	}
	leader := uint64(0)
	for _, msg := range inbound {
		if msg.Type == consensus.MsgAppend || msg.Type == consensus.MsgHeartbeat || msg.Type == consensus.MsgSnapshot {
			leader = msg.From
		}
		m.inboundBytes.Give(messageBytes(msg))
		// A message that the node cannot use is ignored; its sender repeats it if
		// it still matters.
		_ = d.node.Step(msg)
	}
	if leader != 0 && d.node.Status().Leader == leader {
		m.formerLeader.Store(&formerLeader{id: leader, lastMessage: m.now().Sub(m.tickZero)})
	}
	proposals := m.proposals.Drain(maxProposalsPerRound)
	for _, p := range proposals {
		m.proposalBytes.Give(int64(len(p.data)))
		index, err := d.node.Propose(p.data)
		if err != nil {
			p.complete(state.Result{}, proposeError(err))
			continue
		}
		m.waiters.add(index, waiter{term: d.node.Status().Term, complete: p.complete})
	}
	for _, c := range m.nodeCalls.Drain(16) {
		c.done <- c.do(d.node)
	}
	if len(inbound) == maxInboundPerRound || len(proposals) == maxProposalsPerRound {
		m.signal()
	}
}

// proposeError maps an error of Node.Propose to ErrBusy or ErrNotLeader. In both
// cases nothing was appended to the log.
func proposeError(err error) error {
	if errors.Is(err, consensus.ErrBusy) || errors.Is(err, consensus.ErrTransferring) {
		return fmt.Errorf("%w: %w", ErrBusy, err)
	}
	return fmt.Errorf("%w: %w", ErrNotLeader, err)
}

// processReady makes the output of the node durable, then sends its messages and
// passes snapshots and committed entries to the apply loop.
func (d *driver) processReady(ctx context.Context, r consensus.Ready) error {
	m := d.m
	if r.Snapshot != nil {
		if err := d.log.SaveSnapshot(*r.Snapshot); err != nil {
			return m.reportStorageError(err)
		}
		d.compaction.installed(r.Snapshot.Index, len(r.Snapshot.Data))
	}
	if r.HardState != nil || len(r.Entries) > 0 {
		start := time.Now()
		if err := d.log.Save(r.HardState, r.Entries); err != nil {
			return m.reportStorageError(err)
		}
		m.metrics.save.Record(time.Since(start))
		d.compaction.savedBytes += entryBytes(r.Entries)
	}
	for _, msg := range r.Messages {
		m.send(ctx, msg)
	}
	if r.Snapshot != nil {
		if err := m.applies.Push(ctx, applyItem{snapshot: r.Snapshot}); err != nil {
			return nil
		}
	}
	if len(r.Committed) > 0 {
		m.metrics.committed.Inc(int64(len(r.Committed)))
		if err := m.applies.Push(ctx, applyItem{entries: r.Committed}); err != nil {
			return nil
		}
	}
	for _, s := range r.ReadStates {
		m.reads.complete(s)
	}
	if r.SoftState != nil {
		m.leaderChanged(*r.SoftState)
	}
	return nil
}

// storeSnapshot makes a snapshot of the state durable and compacts the log up to
// it.
func (d *driver) storeSnapshot(s stateSnapshot) error {
	snapshot, err := d.node.MakeSnapshot(s.index, s.data)
	if err != nil {
		d.compaction.finish()
		return nil // A later snapshot from the leader was installed meanwhile.
	}
	if err := d.log.SaveSnapshot(snapshot); err != nil {
		return d.m.reportStorageError(err)
	}
	d.node.Compact(snapshot)
	d.compaction.stored(s.index, len(s.data))
	d.m.options.Events.Emit(eventSnapshot, event.F("index", s.index), event.F("bytes", len(s.data)), event.F("log_bytes", d.compaction.savedBytes))
	return nil
}

// entryBytes returns what entries take in memory and on disk.
func entryBytes(entries []consensus.Entry) int64 {
	return int64(consensus.DataBytes(entries) + entryOverheadBytes*len(entries))
}

// messageBytes returns the size of the entries in a message. The data of a snapshot is not
// counted, because a member receives only one at a time.
func messageBytes(msg consensus.Message) int64 { return int64(consensus.DataBytes(msg.Entries)) }

// leaderChanged emits an event for a new leader.
func (m *Member) leaderChanged(s consensus.SoftState) {
	if s.Role == consensus.Leader {
		m.options.Events.Emit(eventLeader, event.F("member", m.id()))
	} else if s.Leader != 0 {
		m.options.Events.Emit(eventFollower, event.F("leader", s.Leader))
	}
}

// publishStatus makes the status of the node and the end of the lease visible to
// other goroutines.
func (d *driver) publishStatus() {
	s := d.node.Status()
	previous := d.m.status.Load()
	if s.Removed && !previous.Removed {
		d.m.options.Events.Emit(eventRemoved, event.F("member", s.ID))
	}
	d.m.status.Store(&s)
	validUntil := time.Duration(0)
	if leaseTicks := d.node.LeaseTicks(); leaseTicks > 0 {
		validUntil = time.Duration(d.deliveredTicks+int64(leaseTicks)) * d.m.options.Tick
	}
	d.m.leaderLease.track(s.Term, d.m.now().Sub(d.m.tickZero), validUntil)
	d.m.leaderLease.update(s.Term, s.Commit, validUntil)
}

// signal wakes the consensus loop.
func (m *Member) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// propose proposes a command for the log and waits until it is applied on this
// member. An error other than ErrOutcomeUnknown means that the command has had no
// effect and will have none.
func (m *Member) propose(ctx context.Context, cmd *controlv1.Command) (state.Result, error) {
	return m.proposeThen(ctx, cmd, func() {})
}

// proposeThen is propose with a callback: resolved is called exactly once, when the
// outcome is decided. This may be after proposeThen has returned ErrOutcomeUnknown.
func (m *Member) proposeThen(ctx context.Context, cmd *controlv1.Command, resolved func()) (state.Result, error) {
	data, err := proto.Marshal(cmd)
	if err != nil {
		resolved()
		return state.Result{}, Error.Wrap(err)
	}
	type outcome struct {
		result state.Result
		err    error
	}
	done := make(chan outcome, 1)
	p := proposal{data: data, complete: func(r state.Result, err error) {
		resolved()
		done <- outcome{r, err}
	}}
	if !m.proposalBytes.TakeAbove(int64(len(data)), 0) {
		resolved()
		return state.Result{}, fmt.Errorf("%w: the queue of proposals has no room for %d bytes", ErrBusy, len(data))
	}
	if err := m.proposals.Push(ctx, p); err != nil {
		m.proposalBytes.Give(int64(len(data)))
		resolved()
		return state.Result{}, fmt.Errorf("%w: %w", ErrBusy, err)
	}
	m.signal()
	select {
	case o := <-done:
		return o.result, o.err
	case <-ctx.Done():
		return state.Result{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	}
}

// do runs f with the node in the consensus loop and returns its error.
func (m *Member) do(ctx context.Context, f func(n *consensus.Node) error) error {
	c := nodeCall{do: f, done: make(chan error, 1)}
	if err := m.nodeCalls.Push(ctx, c); err != nil {
		return fmt.Errorf("%w: %w", ErrBusy, err)
	}
	m.signal()
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

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

// proposal is a command on its way into the log.
type proposal struct {
	data   []byte
	answer func(state.Result, error) // called exactly once, must not block
}

// order is work on the node, done by the goroutine that owns it.
type order struct {
	do   func(n *consensus.Node) error
	done chan error // buffered
}

// driver is the state of the consensus loop.
type driver struct {
	m     *Member
	node  *consensus.Node
	log   Log
	ticks int64
}

// loop owns the node and the log. Nothing is sent or handed to the apply loop
// before it is durable.
func (m *Member) loop(ctx context.Context, node *consensus.Node, log Log) error {
	d := &driver{m: m, node: node, log: log}
	ticker := time.NewTicker(m.options.Tick)
	defer ticker.Stop()
	for {
		d.publish()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-m.wake:
		}
		// The messages are taken first, so that each of them was sent before the
		// time up to which ticks are delivered. Otherwise a member that is paused
		// between the two could acknowledge a heartbeat at its old tick, and by
		// the next ticks be ready to vote while that heartbeat carries a lease.
		inbound := m.inbox.Drain(maxInboundPerRound)
		d.tick()
		d.input(inbound)
		for _, s := range m.snapshots.Drain(1) {
			if err := d.storeSnapshot(s); err != nil {
				return err
			}
		}
		if m.options.Replace && d.node.Status().Removed {
			return errRemoved
		}
		for d.node.HasReady() {
			if err := d.process(ctx, d.node.Ready()); err != nil {
				return err
			}
			d.node.Advance()
		}
	}
}

// tick delivers all ticks that have passed, also those missed during a pause,
// before any message is handled. After maxTicksCaughtUp of them, several
// election timeouts, every lease has ended and the rest tells nothing new.
func (d *driver) tick() {
	now := int64(time.Since(d.m.opened) / d.m.options.Tick)
	for n := 0; d.ticks < now; d.ticks++ {
		if n < maxTicksCaughtUp {
			d.node.Tick()
		}
		n++
	}
}

func (d *driver) input(inbound []consensus.Message) {
	m := d.m
	for _, msg := range inbound {
		// A message that does not fit is ignored; its sender repeats it.
		_ = d.node.Step(msg)
	}
	proposals := m.proposals.Drain(maxProposalsPerRound)
	for _, p := range proposals {
		index, err := d.node.Propose(p.data)
		if err != nil {
			p.answer(state.Result{}, refusal(err))
			continue
		}
		m.waiters.add(index, waiter{term: d.node.Status().Term, answer: p.answer})
	}
	for _, o := range m.orders.Drain(16) {
		o.done <- o.do(d.node)
	}
	if len(inbound) == maxInboundPerRound || len(proposals) == maxProposalsPerRound {
		m.signal()
	}
}

// refusal maps an error of Propose, after which nothing was appended.
func refusal(err error) error {
	if errors.Is(err, consensus.ErrBusy) || errors.Is(err, consensus.ErrTransferring) {
		return fmt.Errorf("%w: %w", ErrBusy, err)
	}
	return fmt.Errorf("%w: %w", ErrNotLeader, err)
}

func (d *driver) process(ctx context.Context, r consensus.Ready) error {
	m := d.m
	if r.Snapshot != nil {
		if err := d.log.SaveSnapshot(*r.Snapshot); err != nil {
			return m.storageFailed(err)
		}
	}
	if r.HardState != nil || len(r.Entries) > 0 {
		start := time.Now()
		if err := d.log.Save(r.HardState, r.Entries); err != nil {
			return m.storageFailed(err)
		}
		m.metrics.save.Record(time.Since(start))
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
	if r.SoftState != nil {
		m.leaderChanged(*r.SoftState)
	}
	return nil
}

// storeSnapshot makes a snapshot of the state durable and cuts the log.
func (d *driver) storeSnapshot(s stateSnapshot) error {
	snapshot, err := d.node.MakeSnapshot(s.index, s.data)
	if err != nil {
		return nil // A snapshot of the leader has overtaken this one.
	}
	if err := d.log.SaveSnapshot(snapshot); err != nil {
		return d.m.storageFailed(err)
	}
	d.node.Compact(snapshot)
	d.m.options.Events.Emit(eventSnapshot, event.F("index", s.index), event.F("bytes", len(s.data)))
	return nil
}

func (m *Member) leaderChanged(s consensus.SoftState) {
	if s.Role == consensus.Leader {
		m.options.Events.Emit(eventLeader, event.F("member", m.id()))
	} else if s.Leader != 0 {
		m.options.Events.Emit(eventFollower, event.F("leader", s.Leader))
	}
}

// publish makes the status and the end of the lease visible to other goroutines.
func (d *driver) publish() {
	s := d.node.Status()
	before := d.m.status.Load()
	if s.Removed && !before.Removed {
		d.m.options.Events.Emit(eventRemoved, event.F("member", s.ID))
	}
	d.m.status.Store(&s)
	until := time.Duration(0)
	if left := d.node.LeaseTicks(); left > 0 {
		until = time.Duration(d.ticks+int64(left)) * d.m.options.Tick
	}
	d.m.leads.update(s.Term, s.Commit, until)
}

func (m *Member) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// propose puts a command into the log and waits until it is applied here. An
// error other than ErrUnknown means that the command has had no effect and will
// have none.
func (m *Member) propose(ctx context.Context, cmd *controlv1.Command) (state.Result, error) {
	return m.proposeThen(ctx, cmd, func() {})
}

// proposeThen calls resolved once the outcome is decided, which may be after
// the call has returned ErrUnknown.
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
	p := proposal{data: data, answer: func(r state.Result, err error) {
		resolved()
		done <- outcome{r, err}
	}}
	if err := m.proposals.Push(ctx, p); err != nil {
		resolved()
		return state.Result{}, fmt.Errorf("%w: %w", ErrBusy, err)
	}
	m.signal()
	select {
	case o := <-done:
		return o.result, o.err
	case <-ctx.Done():
		return state.Result{}, fmt.Errorf("%w: %w", ErrUnknown, ctx.Err())
	}
}

// do runs f with the node in the consensus loop.
func (m *Member) do(ctx context.Context, f func(n *consensus.Node) error) error {
	o := order{do: f, done: make(chan error, 1)}
	if err := m.orders.Push(ctx, o); err != nil {
		return fmt.Errorf("%w: %w", ErrBusy, err)
	}
	m.signal()
	select {
	case err := <-o.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

package control

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"auburnstep.example/auburnstep/internal/bytebudget"
	"auburnstep.example/auburnstep/internal/consensus"
	"auburnstep.example/auburnstep/internal/control/state"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/ring"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// Member is one control member. It implements kernel.Service. The calls that
// other processes make to it are served by Service.
type Member struct {
	kernel.Base
	options Options
	metrics memberMetrics

	inbox     *ring.Ring[consensus.Message]
	proposals *ring.Ring[proposal]
	nodeCalls *ring.Ring[nodeCall]
	applies   *ring.Ring[applyItem]
	frozen    *ring.Ring[*state.Frozen]
	snapshots *ring.Ring[stateSnapshot]
	wake      chan struct{}
	// proposalBytes and inboundBytes bound the data in proposals and inbox, and tableBytes the
	// routing tables that are being checked and proposed.
	proposalBytes, inboundBytes, tableBytes *bytebudget.Budget

	mu    sync.RWMutex // guards state
	state *state.State
	// applied is the index of the last applied entry. It mirrors state.Index, so
	// that it can be read without mu.
	applied          atomic.Uint64
	waiters          waiters
	reads            pendingReads
	peers            peers
	incomingSnapshot incomingSnapshot
	prover           prover
	leaderLease      leaderLease
	live             *liveness
	// unresponsiveSince maps the ID of each unresponsive voter to the time at which
	// it was first seen unresponsive. Only the leader loop uses it.
	unresponsiveSince map[uint64]time.Time
	// bookingsFull is whether the booking records have reached their limit. Only the leader loop
	// uses it.
	bookingsFull bool
	// formerPeers lists the members that were known before the last reset, and rejoining
	// is set once this member was removed. Both change only while no goroutine of the
	// member runs.
	formerPeers []string
	rejoining   bool
	changing    chan struct{} // holds a token while a settings change is in progress

	// tickZero is the time of tick 0. The end of the lease is relative to it.
	tickZero time.Time
	// lastMessage is the time of the last message of another member, since tickZero.
	lastMessage atomic.Int64
	// formerLeader is the latest other member that led this one.
	formerLeader atomic.Pointer[formerLeader]
	status       atomic.Pointer[consensus.Status]
	// participating is set once the member takes part in consensus: either with its
	// own log, or with an empty one that it expects to receive from a leader.
	participating   atomic.Bool
	derivedSettings atomic.Pointer[derivedSettings]
	// stopping is closed by Stop. done is closed when Start returns.
	stopping chan struct{}
	stopOnce sync.Once
	started  atomic.Bool
	// leaving is set by Stop: a member that is removed then does not join again.
	leaving atomic.Bool
	done    chan struct{}
}

// formerLeader is a member that led this one, and the time of its last message as leader, since
// Member.tickZero.
type formerLeader struct {
	id          uint64
	lastMessage time.Duration
}

// NewMember returns a member with the given options. Call Start to run it.
func NewMember(o Options) *Member {
	o = o.withDefaults()
	m := &Member{
		options:   o,
		metrics:   newMemberMetrics(o.Scope),
		inbox:     ring.New[consensus.Message]("control inbox", inboxCapacity, ring.DropOldest),
		proposals: ring.New[proposal]("control proposals", proposalCapacity, ring.Reject),
		nodeCalls: ring.New[nodeCall]("control orders", 64, ring.Reject),
		applies:   ring.New[applyItem]("control applies", applyCapacity, ring.Block),
		frozen:    ring.New[*state.Frozen]("control frozen states", 1, ring.DropOldest),
		snapshots: ring.New[stateSnapshot]("control snapshots", 1, ring.DropOldest),
		wake:      make(chan struct{}, 1),
		state:     state.New(),
		waiters:   waiters{byIndex: make(map[uint64]waiter)},
		reads:     pendingReads{waiting: make(map[uint64]chan consensus.ReadState)},
		live:      newLiveness(),
		changing:  make(chan struct{}, 1),
		stopping:  make(chan struct{}),
		done:      make(chan struct{}),
	}
	m.proposalBytes, m.inboundBytes, m.tableBytes = bytebudget.New(o.Limits.Queue), bytebudget.New(o.Limits.Queue), bytebudget.New(o.Limits.Queue)
	m.inbox.OnDrop(func(msg consensus.Message) { m.inboundBytes.Give(messageBytes(msg)) })
	m.peers.senders = make(map[uint64]*sender)
	m.peers.senderAddresses = make(map[uint64]string)
	m.peers.transfers = make(map[uint64]*transfer)
	m.status.Store(&consensus.Status{})
	return m
}

// Provision implements kernel.Service.
func (m *Member) Provision(*kernel.Kernel) error { return nil }

// Validate implements kernel.Service.
func (m *Member) Validate() error {
	o := &m.options
	switch {
	case o.Cluster == "":
		return Error.New("the name of the cluster is not set")
	case o.Instance == "":
		return Error.New("the name of the instance is not set")
	case o.Address == "":
		return Error.New("the address of the member is not set")
	case o.Storage == nil || o.Network == nil:
		return Error.New("the storage or the network of the member is not set")
	}
	return nil
}

// Start implements kernel.Service. After a storage error, such as a full disk,
// the member restarts from its data directory, as a restarted process would, and
// repeats this until it can write again. The other services of the process keep
// running meanwhile. A member that was removed while Options.ReplaceLostVoters is set
// deletes its data and joins again under a new ID.
func (m *Member) Start(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.started.Store(true)
	defer close(m.done)
	go func() {
		select {
		case <-m.stopping:
			cancel()
		case <-ctx.Done():
		}
	}()
	err := m.run(ctx)
	for (errors.Is(err, errStorage) || errors.Is(err, errRemoved)) && ctx.Err() == nil {
		if errors.Is(err, errRemoved) {
			m.rejoining = true
			m.options.Events.Emit(eventRejoining, event.F("member", m.id()), event.F("peers", strings.Join(m.knownAddresses(), ",")))
			if cleared := m.options.Storage.Clear(); cleared != nil {
				err = m.reportStorageError(cleared)
			}
		}
		m.reset()
		if m.leaving.Load() && errors.Is(err, errRemoved) || kernel.Sleep(ctx, storageRetryInterval) != nil {
			break
		}
		err = m.run(ctx)
	}
	m.close()
	if errors.Is(err, context.Canceled) || errors.Is(err, errRemoved) {
		return nil
	}
	return err
}

// Stop implements kernel.Service. A leader transfers its leadership first, so
// that the stop does not cost the cluster an election timeout. A voter that the
// cluster can spare leaves it, because the stop may be for good.
func (m *Member) Stop(ctx context.Context) error {
	m.transferLeadership(ctx)
	m.leaving.Store(true)
	m.leave(ctx)
	m.stopOnce.Do(func() { close(m.stopping) })
	if !m.started.Load() {
		return nil
	}
	select {
	case <-m.done:
	case <-ctx.Done():
	}
	return nil
}

// reset discards all state that a restarted process would not have. Proposals that
// already reached the log fail with ErrOutcomeUnknown, because they may still take
// effect. The addresses of the other members remain: those that this process was started
// with may all have been replaced.
func (m *Member) reset() {
	m.formerPeers = m.knownAddresses()
	m.participating.Store(false)
	m.leaderLease.validUntil.Store(0)
	m.status.Store(&consensus.Status{})
	for _, msg := range m.inbox.Drain(inboxCapacity) {
		m.inboundBytes.Give(messageBytes(msg))
	}
	m.applies.Drain(applyCapacity)
	m.frozen.Drain(1)
	m.snapshots.Drain(1)
	m.failQueued(ErrNotLeader)
	m.waiters.failAll(ErrOutcomeUnknown)
	m.mu.Lock()
	m.state = state.New()
	m.mu.Unlock()
	m.applied.Store(0)
	m.peers.reset()
}

// run opens the data directory, restores the state from it and runs the
// goroutines of the member until one of them ends.
func (m *Member) run(ctx context.Context) error {
	log, opened, err := m.options.Storage.Open(m.options.Cluster)
	if err != nil {
		return m.reportStorageError(err)
	}
	defer log.Close()
	if opened.New {
		m.options.Events.Emit(eventNewIdentity, event.F("member", opened.ID))
	}
	// Until the loop runs, others must not take this member for a new one.
	m.status.Store(&consensus.Status{
		ID: opened.ID, Term: max(opened.Restored.HardState.Term, opened.Restored.Snapshot.Term), Commit: max(opened.Restored.HardState.Commit, opened.Restored.Snapshot.Index),
	})
	restored, err := m.bootstrap(ctx, log, opened.Restored)
	if err != nil {
		return err
	}
	if data := restored.Snapshot.Data; len(data) > 0 {
		s, err := state.Restore(data)
		if err != nil {
			return m.reportCorruption(err)
		}
		m.mu.Lock()
		m.state = s
		m.mu.Unlock()
	}
	m.applied.Store(restored.Snapshot.Index)
	logLimit := int(m.options.Limits.Log)
	node, err := consensus.New(consensus.Config{
		ID: opened.ID, ElectionTicks: m.options.ElectionTicks, HeartbeatTicks: 2, Seed: m.options.Seed,
		MaxLogBytes: logLimit, MaxUncommittedBytes: logLimit / snapshotLogParts, RetainedBytes: logLimit / retainedLogParts,
	}, restored)
	if err != nil {
		return Error.Wrap(err)
	}
	m.options.Events.Emit(eventRestored, event.F("snapshot", restored.Snapshot.Index), event.F("entries", len(restored.Entries)), event.F("torn_bytes", opened.TornBytes))
	return m.runGoroutines(ctx, node, log, newCompaction(&m.options, &restored))
}

// runGoroutines runs the goroutines of the member. When one of them ends, it stops
// the others and returns the result of the first.
func (m *Member) runGoroutines(ctx context.Context, node *consensus.Node, log Log, c compaction) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.tickZero = m.now()
	m.lastMessage.Store(0)
	m.formerLeader.Store(nil)
	m.participating.Store(true)
	results := make(chan error, 5)
	var wg sync.WaitGroup
	for _, task := range []func() error{
		func() error { return m.loop(ctx, node, log, c) },
		func() error { return m.applyLoop(ctx) },
		func() error { return m.snapshotLoop(ctx) },
		func() error { return m.joinLoop(ctx) },
		func() error { return m.leaderLoop(ctx) },
	} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results <- task()
		}()
	}
	err := <-results
	cancel()
	wg.Wait()
	m.peers.stop()
	return err
}

// close closes the queues and fails all pending proposals and node calls.
func (m *Member) close() {
	m.inbox.Close()
	m.proposals.Close()
	m.nodeCalls.Close()
	m.applies.Close()
	m.failQueued(ErrStopped)
	m.waiters.failAll(ErrOutcomeUnknown)
	m.leaderLease.validUntil.Store(0)
}

// failQueued fails the proposals and node calls that the consensus loop has
// not taken from their queues yet.
func (m *Member) failQueued(err error) {
	for _, p := range m.proposals.Drain(proposalCapacity) {
		m.proposalBytes.Give(int64(len(p.data)))
		p.complete(state.Result{}, err)
	}
	for _, c := range m.nodeCalls.Drain(64) {
		c.done <- err
	}
}

// now returns the time of Options.Clock.
func (m *Member) now() time.Time { return m.options.Clock() }

// id returns the ID of this member, or 0 before its data directory is open.
func (m *Member) id() uint64 { return m.status.Load().ID }

// reportStorageError emits an event for an error of the data directory and returns
// the error marked as errStorage, after which Start tries again.
func (m *Member) reportStorageError(err error) error {
	m.options.Events.Emit(eventStorageFailed, event.F("error", err))
	return Error.Wrap(fmt.Errorf("%w: %w", errStorage, err))
}

// reportCorruption emits an event for an entry or a snapshot that cannot be decoded
// and returns the error, which ends the member.
func (m *Member) reportCorruption(err error) error {
	m.options.Events.Emit(eventCorruptEntry, event.F("error", err))
	return Error.Wrap(err)
}

// leaderAddress returns the address of the leader that this member follows. It
// returns "" if there is none or this member is the leader itself.
func (m *Member) leaderAddress() string {
	s := m.status.Load()
	if s.Leader == 0 || s.Leader == s.ID {
		return ""
	}
	return m.address(s.Leader)
}

// address returns the address at which a member is reached: the sender address
// of its last message, or the replicated address if no message has arrived.
func (m *Member) address(id uint64) string {
	if a := m.peers.senderAddress(id); a != "" {
		return a
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Member(id).GetAddress()
}

// VoterAddresses returns the address of each voter, "" for one whose address is not known.
func (m *Member) VoterAddresses() []string {
	var out []string
	for _, id := range m.status.Load().Members.Voters {
		if id == m.id() {
			out = append(out, m.options.Address)
		} else {
			out = append(out, m.address(id))
		}
	}
	return out
}

// replicatedMembers returns the address of each member as stored in the replicated
// state.
func (m *Member) replicatedMembers() []*controlv1.MemberAddress {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Members()
}

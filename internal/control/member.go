package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"auburnstep.example/auburnstep/internal/consensus"
	"auburnstep.example/auburnstep/internal/control/state"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/ring"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// Member is one control member. It is a kernel.Service; Service serves its calls.
type Member struct {
	kernel.Base
	options Options
	metrics memberMetrics

	inbox     *ring.Ring[consensus.Message]
	proposals *ring.Ring[proposal]
	orders    *ring.Ring[order]
	applies   *ring.Ring[applyItem]
	frozen    *ring.Ring[*state.Frozen]
	snapshots *ring.Ring[stateSnapshot]
	wake      chan struct{}

	mu    sync.RWMutex // guards state
	state *state.State
	// applied follows state.Index for waiters and snapshots.
	applied  atomic.Uint64
	waiters  waiters
	peers    peers
	incoming incoming
	prover   prover
	leads    leads
	live     *liveness
	// lost holds since when voters do not answer. It belongs to the leader loop.
	lost     map[uint64]time.Time
	changing chan struct{} // holds a token while a settings change is in flight

	// opened is the time that tick 0 stands for.
	opened time.Time
	status atomic.Pointer[consensus.Status]
	// formed is set once the member has a log or waits for a leader's.
	formed  atomic.Bool
	derived atomic.Pointer[derived]
	// stopping is closed by Stop, done when Start has ended.
	stopping chan struct{}
	stopOnce sync.Once
	started  atomic.Bool
	done     chan struct{}
}

// NewMember returns a member that is not started.
func NewMember(o Options) *Member {
	o = o.withDefaults()
	m := &Member{
		options:   o,
		metrics:   newMemberMetrics(o.Scope),
		inbox:     ring.New[consensus.Message]("control inbox", inboxCapacity, ring.DropOldest),
		proposals: ring.New[proposal]("control proposals", proposalCapacity, ring.Reject),
		orders:    ring.New[order]("control orders", 64, ring.Reject),
		applies:   ring.New[applyItem]("control applies", applyCapacity, ring.Block),
		frozen:    ring.New[*state.Frozen]("control frozen states", 1, ring.DropOldest),
		snapshots: ring.New[stateSnapshot]("control snapshots", 1, ring.DropOldest),
		wake:      make(chan struct{}, 1),
		state:     state.New(),
		waiters:   waiters{byIndex: make(map[uint64]waiter)},
		live:      newLiveness(),
		changing:  make(chan struct{}, 1),
		stopping:  make(chan struct{}),
		done:      make(chan struct{}),
	}
	m.peers.senders = make(map[uint64]*sender)
	m.peers.learned = make(map[uint64]string)
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
		return Error.New("the cluster needs a name")
	case o.Instance == "":
		return Error.New("the instance needs a name")
	case o.Address == "":
		return Error.New("the member needs an address")
	case o.Storage == nil || o.Network == nil:
		return Error.New("the member needs storage and a network")
	}
	return nil
}

// Start implements kernel.Service. After an error of the storage, such as a full
// disk, the member begins anew from its data folder, as a restarted process
// would, until it can write again; the other services of the process go on.
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
			m.options.Events.Emit(eventJoinsAnew, event.F("member", m.id()))
			if cleared := m.options.Storage.Clear(); cleared != nil {
				err = m.storageFailed(cleared)
			}
		}
		m.reset()
		if kernel.Sleep(ctx, storageRetryInterval) != nil {
			break
		}
		err = m.run(ctx)
	}
	m.close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Stop implements kernel.Service: a leader hands over first.
func (m *Member) Stop(ctx context.Context) error {
	m.handOver(ctx)
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

// reset forgets all that a restarted process would not know. What waits for the
// member may or may not have happened.
func (m *Member) reset() {
	m.formed.Store(false)
	m.leads.until.Store(0)
	m.status.Store(&consensus.Status{})
	m.inbox.Drain(inboxCapacity)
	m.applies.Drain(applyCapacity)
	m.frozen.Drain(1)
	m.snapshots.Drain(1)
	m.refuseQueued(ErrNotLeader)
	m.waiters.failAll(ErrUnknown)
	m.mu.Lock()
	m.state = state.New()
	m.mu.Unlock()
	m.applied.Store(0)
	m.peers.reset()
}

func (m *Member) run(ctx context.Context) error {
	log, opened, err := m.options.Storage.Open(m.options.Cluster)
	if err != nil {
		return m.storageFailed(err)
	}
	defer log.Close()
	if opened.New {
		m.options.Events.Emit(eventNewIdentity, event.F("member", opened.ID))
	}
	m.status.Store(&consensus.Status{ID: opened.ID})
	restored, err := m.found(ctx, log, opened.Restored)
	if err != nil {
		return err
	}
	if data := restored.Snapshot.Data; len(data) > 0 {
		s, err := state.Restore(data)
		if err != nil {
			return m.corrupt(err)
		}
		m.mu.Lock()
		m.state = s
		m.mu.Unlock()
	}
	m.applied.Store(restored.Snapshot.Index)
	node, err := consensus.New(consensus.Config{ID: opened.ID, ElectionTicks: m.options.ElectionTicks, HeartbeatTicks: 2, Seed: m.options.Seed}, restored)
	if err != nil {
		return Error.Wrap(err)
	}
	m.options.Events.Emit(eventRestored, event.F("snapshot", restored.Snapshot.Index), event.F("entries", len(restored.Entries)), event.F("torn_bytes", opened.TornBytes))
	return m.duties(ctx, node, log, restored.Snapshot.Index)
}

// duties runs the goroutines of the member until the first of them ends.
func (m *Member) duties(ctx context.Context, node *consensus.Node, log Log, snapshotIndex uint64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.opened = time.Now()
	m.formed.Store(true)
	ended := make(chan error, 5)
	var wg sync.WaitGroup
	for _, duty := range []func() error{
		func() error { return m.loop(ctx, node, log) },
		func() error { return m.applyLoop(ctx, snapshotIndex) },
		func() error { return m.snapshotLoop(ctx) },
		func() error { return m.joinLoop(ctx) },
		func() error { return m.leaderLoop(ctx) },
	} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ended <- duty()
		}()
	}
	err := <-ended
	cancel()
	wg.Wait()
	m.peers.stop()
	return err
}

// close fails everything that waits for the member.
func (m *Member) close() {
	m.inbox.Close()
	m.proposals.Close()
	m.orders.Close()
	m.applies.Close()
	m.refuseQueued(ErrStopped)
	m.waiters.failAll(ErrUnknown)
	m.leads.until.Store(0)
}

// refuseQueued answers what the consensus loop has not taken yet.
func (m *Member) refuseQueued(err error) {
	for _, p := range m.proposals.Drain(proposalCapacity) {
		p.answer(state.Result{}, err)
	}
	for _, o := range m.orders.Drain(64) {
		o.done <- err
	}
}

// id returns the ID of this member, or 0 before its folder is open.
func (m *Member) id() uint64 { return m.status.Load().ID }

func (m *Member) storageFailed(err error) error {
	m.options.Events.Emit(eventStorageFailed, event.F("error", err))
	return Error.Wrap(fmt.Errorf("%w: %w", errStorage, err))
}

func (m *Member) corrupt(err error) error {
	m.options.Events.Emit(eventCorruptEntry, event.F("error", err))
	return Error.Wrap(err)
}

// leaderAddress returns the address of the leader this member follows, or "".
func (m *Member) leaderAddress() string {
	s := m.status.Load()
	if s.Leader == 0 || s.Leader == s.ID {
		return ""
	}
	return m.address(s.Leader)
}

// address returns where a member is reached: the address its last message
// came from, else the replicated one.
func (m *Member) address(id uint64) string {
	if a := m.peers.learnedAddress(id); a != "" {
		return a
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Member(id).GetAddress()
}

// members returns the replicated addresses of all members.
func (m *Member) members() []*controlv1.MemberAddress {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Members()
}

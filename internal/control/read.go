package control

import (
	"context"
	"errors"
	"sync"

	"auburnstep.example/auburnstep/internal/consensus"
)

// pendingReads holds the reads whose leadership is not confirmed yet, by their context in
// consensus.
type pendingReads struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan consensus.ReadState // buffered
}

// add registers a read and returns its context.
func (p *pendingReads) add() (uint64, <-chan consensus.ReadState) {
	confirmed := make(chan consensus.ReadState, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last++
	p.waiting[p.last] = confirmed
	return p.last, confirmed
}

// remove removes a read that has ended.
func (p *pendingReads) remove(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}

// complete passes the result of consensus to a read that still waits.
func (p *pendingReads) complete(s consensus.ReadState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if confirmed := p.waiting[s.Context]; confirmed != nil {
		confirmed <- s
		delete(p.waiting, s.Context)
	}
}

// awaitCurrent waits until the state of this member contains every change that was
// acknowledged before the call. It depends on no clock: a majority confirms that this
// member leads after the call has begun. If this member does not lead, awaitCurrent returns
// the address of the leader or an error.
func (m *Member) awaitCurrent(ctx context.Context) (leaderAddress string, err error) {
	if m.status.Load().Role != consensus.Leader {
		return m.redirect()
	}
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	id, confirmed := m.reads.add()
	defer m.reads.remove(id)
	err = m.do(ctx, func(n *consensus.Node) error { return n.ReadIndex(id) })
	if errors.Is(err, ErrBusy) {
		return "", connectError(err)
	}
	if err != nil {
		return "", errNoLeader()
	}
	select {
	case s := <-confirmed:
		if s.LeadershipLost {
			return "", errNoLeader()
		}
		return "", m.waitCaughtUp(ctx, s.Index, 0)
	case <-ctx.Done():
		return "", errNoLeader()
	}
}

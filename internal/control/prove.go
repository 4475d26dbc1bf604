package control

import (
	"context"
	"sync"
	"time"

	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

const (
	// proveInterval is how long a follower collects polls before it asks the
	// leader. It bounds the requests to the leader to 20 a second for each
	// follower, however many instances poll it.
	proveInterval = 50 * time.Millisecond
	// proveTimeout and the interval together end before an instance gives up its
	// poll and asks another member.
	proveTimeout = 200 * time.Millisecond
	// catchUpTimeout bounds the wait for the entries of a proof.
	catchUpTimeout = 100 * time.Millisecond
	catchUpPause   = 2 * time.Millisecond
)

// proofBatch is a set of polls for which one proof is asked.
type proofBatch struct {
	polls []*controlv1.FeedRequest
	done  chan struct{}
	proof *controlv1.ProveResponse
	err   error
}

// prover collects the polls that reach a follower.
type prover struct {
	mu   sync.Mutex
	next *proofBatch
	// entries is the latest list of a proof.
	entries        []*controlv1.EntryInfo
	entriesVersion uint64
}

// feedByProof answers a poll as a follower.
func (m *Member) feedByProof(ctx context.Context, r *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
	if _, err := m.redirect(); err != nil {
		return nil, err
	}
	b := m.joinBatch(r)
	select {
	case <-b.done:
	case <-ctx.Done():
		return nil, errNoLeader()
	}
	if b.err != nil {
		return nil, errNoLeader()
	}
	return m.answer(ctx, r, b.proof)
}

// joinBatch adds a poll to the batch whose proof is not asked for yet.
func (m *Member) joinBatch(r *controlv1.FeedRequest) *proofBatch {
	p := &m.prover
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.next
	if b == nil {
		b = &proofBatch{done: make(chan struct{})}
		p.next = b
		go m.askProof(b)
	}
	b.polls = append(b.polls, r)
	return b
}

// askProof closes a batch after proveInterval and asks the leader for its proof.
func (m *Member) askProof(b *proofBatch) {
	defer close(b.done)
	wait := time.NewTimer(proveInterval)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-m.stopping:
	}
	p := &m.prover
	p.mu.Lock()
	p.next = nil
	entries, version := p.entries, p.entriesVersion
	p.mu.Unlock()
	address, err := m.redirect()
	if err != nil {
		b.err = err
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), proveTimeout)
	defer cancel()
	b.proof, b.err = m.options.Network.Prove(ctx, address, &controlv1.ProveRequest{Polls: b.polls, EntriesVersion: version})
	if b.err != nil {
		return
	}
	if b.proof.EntriesVersion == version {
		b.proof.Entries = entries
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries, p.entriesVersion = b.proof.Entries, b.proof.EntriesVersion
}

// Prove answers a member that is about to answer polls; see Feed.
func (m *Member) Prove(r *controlv1.ProveRequest) (*controlv1.ProveResponse, error) {
	m.metrics.proofs.Inc(1)
	term, ok := m.lease()
	if !ok {
		return nil, errNoLeader()
	}
	p := m.prove(term, r.GetPolls(), r.GetEntriesVersion())
	if !m.held(term) {
		return nil, errNoLeader()
	}
	return p, nil
}

// prove records polls and returns what their answers must be as new as. It
// holds only if the lease of the term still does afterwards.
func (m *Member) prove(term uint64, polls []*controlv1.FeedRequest, entriesVersion uint64) *controlv1.ProveResponse {
	now := time.Now()
	p := &controlv1.ProveResponse{}
	var revoking map[string]uint64
	for _, r := range polls {
		revoking = m.live.poll(term, now, r)
		p.Resign = append(p.Resign, m.live.resign(r.GetSelf().GetInstance())...)
	}
	for group, epoch := range revoking {
		p.Revoking = append(p.Revoking, &controlv1.Assignment{Group: group, Epoch: epoch})
	}
	p.Index = m.applied.Load()
	p.Entries, p.EntriesVersion = m.live.entries(now)
	if p.EntriesVersion == entriesVersion {
		p.Entries = nil
	}
	m.mu.RLock()
	assignments := m.state.Assignments()
	m.mu.RUnlock()
	p.Groups = m.live.groupReports(assignments)
	return p
}

// caughtUp waits until the state has applied an entry and has a version of the
// settings. The version is one that the instance got from another member, which
// may have applied it earlier.
func (m *Member) caughtUp(ctx context.Context, index, version uint64) error {
	for end := time.Now().Add(catchUpTimeout); ; {
		m.mu.RLock()
		ok := m.applied.Load() >= index && m.state.Version() >= version
		m.mu.RUnlock()
		if ok {
			return nil
		}
		if time.Now().After(end) || kernel.Sleep(ctx, catchUpPause) != nil {
			return errNoLeader()
		}
	}
}

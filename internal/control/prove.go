package control

import (
	"context"
	"sync"
	"time"

	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

const (
	// proveInterval is how long a follower collects polls before it requests a
	// proof from the leader. It limits the requests of each follower to 20 a
	// second, however many instances poll it.
	proveInterval = 50 * time.Millisecond
	// proveTimeout and proveInterval together are shorter than the time after
	// which an instance gives up its poll and calls another member.
	proveTimeout = 200 * time.Millisecond
	// catchUpTimeout bounds the wait until the state has applied the log up to
	// the index of a proof.
	catchUpTimeout      = 100 * time.Millisecond
	catchUpPollInterval = 2 * time.Millisecond
)

// proofBatch is a set of polls for which a follower requests one proof. A proof
// is the information with which the leader itself would respond to the polls at
// one moment within its lease.
type proofBatch struct {
	polls []*controlv1.FeedRequest
	done  chan struct{}
	proof *controlv1.ProveResponse
	err   error
}

// prover collects the polls that a follower receives into batches.
type prover struct {
	mu sync.Mutex
	// openBatch still accepts polls; nil if there is none.
	openBatch *proofBatch
	// entries is the entry list of the latest proof. The next proof omits the
	// list if its version is the same.
	entries        []*controlv1.EntryInfo
	entriesVersion uint64
}

// feedAsFollower serves a poll with a proof from the leader.
func (m *Member) feedAsFollower(ctx context.Context, r *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
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
	return m.buildFeedResponse(ctx, r, b.proof)
}

// joinBatch adds a poll to the batch whose proof has not been requested yet.
func (m *Member) joinBatch(r *controlv1.FeedRequest) *proofBatch {
	p := &m.prover
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.openBatch
	if b == nil {
		b = &proofBatch{done: make(chan struct{})}
		p.openBatch = b
		go m.requestProof(b)
	}
	b.polls = append(b.polls, r)
	return b
}

// requestProof closes a batch after proveInterval and requests its proof from the
// leader.
func (m *Member) requestProof(b *proofBatch) {
	defer close(b.done)
	wait := time.NewTimer(proveInterval)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-m.stopping:
	}
	p := &m.prover
	p.mu.Lock()
	p.openBatch = nil
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

// Prove serves a follower that is about to respond to polls; see Feed.
func (m *Member) Prove(r *controlv1.ProveRequest) (*controlv1.ProveResponse, error) {
	m.metrics.feedProofs.Inc(1)
	term, ok := m.lease()
	if !ok {
		return nil, errNoLeader()
	}
	p := m.buildProof(term, r.GetPolls(), r.GetEntriesVersion())
	if !m.holdsLease(term) {
		return nil, errNoLeader()
	}
	return p, nil
}

// buildProof records polls and returns the minimum state that the responses to
// them must reflect. The proof is valid only if the caller finds the lease of the
// same term still held afterwards.
func (m *Member) buildProof(term uint64, polls []*controlv1.FeedRequest, entriesVersion uint64) *controlv1.ProveResponse {
	now := m.now()
	p := &controlv1.ProveResponse{}
	var revoking map[string]uint64
	for _, r := range polls {
		revoking = m.live.recordPoll(term, now, r)
		p.Resign = append(p.Resign, m.live.groupsToRelease(r.GetSelf().GetInstance())...)
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

// waitCaughtUp waits until the state has applied the log up to index and has at
// least the given version of the settings. The instance that polls may have got
// this version from another member that applied it earlier.
func (m *Member) waitCaughtUp(ctx context.Context, index, version uint64) error {
	for end := time.Now().Add(catchUpTimeout); ; {
		m.mu.RLock()
		caughtUp := m.applied.Load() >= index && m.state.Version() >= version
		m.mu.RUnlock()
		if caughtUp {
			return nil
		}
		if time.Now().After(end) || kernel.Sleep(ctx, catchUpPollInterval) != nil {
			return errNoLeader()
		}
	}
}

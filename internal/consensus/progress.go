package consensus

import "slices"

// progressState is the way in which a leader feeds a member.
type progressState uint8

const (
	// probing sends one append message at a time until the logs agree.
	probing progressState = iota
	// replicating sends append messages ahead of their acknowledgement.
	replicating
	// snapshotting waits until the member has installed a snapshot.
	snapshotting
)

// progress is a leader's view of one member in its term.
type progress struct {
	match, next uint64
	state       progressState
	// probeSent holds back further probes until an answer or a heartbeat.
	probeSent bool
	// nudge asks for an append message even without new entries, by which a
	// lost message is noticed.
	nudge bool
	// inflight holds the last index of each unacknowledged append message.
	inflight []uint64
	// snapshotIndex and snapshotTick describe the snapshot under way.
	snapshotIndex uint64
	snapshotTick  int64
	// heard is the tick of the last message from the member.
	heard int64
	// ackRound is the latest heartbeat round that the member acknowledged, and
	// ackTick the leader's tick at which that round was started.
	ackRound uint64
	ackTick  int64
}

func (p *progress) paused(maxInflight int) bool {
	switch p.state {
	case probing:
		return p.probeSent
	case replicating:
		return len(p.inflight) >= maxInflight
	}
	return true
}

func (p *progress) probe() {
	p.state = probing
	p.next = p.match + 1
	p.probeSent = false
	p.inflight = nil
}

func (p *progress) replicate() {
	p.state = replicating
	p.next = p.match + 1
	p.inflight = nil
}

func (p *progress) snapshot(index uint64, tick int64) {
	p.state = snapshotting
	p.snapshotIndex, p.snapshotTick = index, tick
	p.inflight = nil
}

// sent records an append message with n entries.
func (p *progress) sent(n int) {
	switch {
	case p.state == probing:
		p.probeSent = true
	case n > 0:
		p.next += uint64(n)
		p.inflight = append(p.inflight, p.next-1)
	}
}

// accepted handles a positive answer; it reports whether match has advanced.
func (p *progress) accepted(index uint64) bool {
	if index < p.match {
		return false
	}
	advanced := index > p.match
	p.match = index
	p.next = max(p.next, index+1)
	switch p.state {
	case probing:
		p.replicate()
	case snapshotting:
		if p.match >= p.snapshotIndex {
			p.replicate()
		}
	case replicating:
		n, found := slices.BinarySearch(p.inflight, index)
		if found {
			n++
		}
		p.inflight = p.inflight[n:]
	}
	return advanced
}

// rejected handles a refusal of the append after index; hint is the index
// where the logs may agree. Stale refusals are ignored.
func (p *progress) rejected(index, hint uint64) {
	switch {
	case p.state == replicating && index > p.match:
		p.probe()
	case p.state == probing && p.next-1 == index:
		p.next = max(min(index, hint+1), p.match+1)
		p.probeSent = false
	}
}

// kthLargest returns the value that at least k of the values reach.
func kthLargest[T int64 | uint64](values []T, k int) T {
	slices.Sort(values)
	return values[len(values)-k]
}

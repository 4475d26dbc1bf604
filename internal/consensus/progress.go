package consensus

import "slices"

// progressState is the mode in which a leader replicates its log to a member.
type progressState uint8

const (
	// probing sends one append message at a time until a matching entry is
	// found.
	probing progressState = iota
	// replicating sends append messages without waiting for earlier ones to be
	// acknowledged.
	replicating
	// snapshotting waits until the member has installed a snapshot.
	snapshotting
)

// progress is the replication state of one member, as known to the leader of
// the current term.
type progress struct {
	match, next uint64
	state       progressState
	// probeSent is set while a probe is outstanding. No further probe is sent
	// until the member responds to it or to a heartbeat.
	probeSent bool
	// forceAppend requests an append message even without new entries. The
	// response to it shows whether an earlier message was lost.
	forceAppend bool
	// inflight holds the last index of every unacknowledged append message.
	inflight []uint64
	// snapshotIndex is the index of the snapshot being sent, and snapshotTick
	// the tick at which it was sent.
	snapshotIndex uint64
	snapshotTick  int64
	// lastContactTick is the tick of the last message from the member.
	lastContactTick int64
	// ackedRound is the latest heartbeat round that the member acknowledged,
	// and ackedRoundStart the tick at which the leader started that round.
	ackedRound      uint64
	ackedRoundStart int64
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

// snapshot records that a snapshot up to index was sent at the given tick.
func (p *progress) snapshot(index uint64, tick int64) {
	p.state = snapshotting
	p.snapshotIndex, p.snapshotTick = index, tick
	p.inflight = nil
}

// recordSent records that an append message with n entries was sent.
func (p *progress) recordSent(n int) {
	switch {
	case p.state == probing:
		p.probeSent = true
	case n > 0:
		p.next += uint64(n)
		p.inflight = append(p.inflight, p.next-1)
	}
}

// recordAccepted records that the member has all entries up to index. It
// reports whether match advanced.
func (p *progress) recordAccepted(index uint64) bool {
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

// recordRejected records that the member rejected the append after index; hint
// is the last index at which the logs may agree. Stale rejections are ignored.
func (p *progress) recordRejected(index, hint uint64) {
	switch {
	case p.state == replicating && index > p.match:
		p.probe()
	case p.state == probing && p.next-1 == index:
		p.next = max(min(index, hint+1), p.match+1)
		p.probeSent = false
	}
}

// kthLargest returns the k-th largest of the values. It sorts the values in
// place.
func kthLargest[T int64 | uint64](values []T, k int) T {
	slices.Sort(values)
	return values[len(values)-k]
}

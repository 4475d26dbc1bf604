package consensus

import (
	"slices"
	"sort"
)

// raftLog holds the log entries in memory, the latest snapshot, and the commit
// and apply indexes. Returned slices stay valid because entries are never
// overwritten in place: an append after a truncation reallocates.
type raftLog struct {
	// offset and offsetTerm are the index and term of the entry before
	// entries[0].
	offset, offsetTerm uint64
	entries            []Entry
	snapshot           Snapshot
	commit, applied    uint64
	// bytes is the size of the data of entries, and uncommittedBytes that of those after commit.
	bytes, uncommittedBytes int
	// firstUnstable is the first index that is not known to be durable.
	firstUnstable uint64
	// snapshotPending is set until the driver has installed a received
	// snapshot.
	snapshotPending bool
}

func (l *raftLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *raftLog) lastStable() uint64 { return l.firstUnstable - 1 }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index i. It returns false if the entry
// is compacted or beyond the end of the log.
func (l *raftLog) term(i uint64) (uint64, bool) {
	switch {
	case i == l.offset:
		return l.offsetTerm, true
	case i < l.offset || i > l.last():
		return 0, false
	}
	return l.entries[i-l.offset-1].Term, true
}

func (l *raftLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a log that ends with (index, term) is at least as up
// to date as this log, by the Raft rule for granting votes.
func (l *raftLog) upToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}

// entriesFrom returns entries from index lo on, limited in number and total
// bytes. It returns at least one entry if there is any.
func (l *raftLog) entriesFrom(lo uint64, maxEntries, maxBytes int) []Entry {
	if lo > l.last() {
		return nil
	}
	tail := l.entries[lo-l.offset-1:]
	size := 0
	for i := range tail {
		size += len(tail[i].Data)
		if i > 0 && (i >= maxEntries || size > maxBytes) {
			return tail[:i:i]
		}
	}
	return tail[:len(tail):len(tail)]
}

// entriesBetween returns the entries from lo to hi, inclusive.
func (l *raftLog) entriesBetween(lo, hi uint64) []Entry {
	if lo > hi {
		return nil
	}
	a, b := lo-l.offset-1, hi-l.offset
	return l.entries[a:b:b]
}

// append adds entries that directly follow the end of the log.
func (l *raftLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
	added := DataBytes(entries)
	l.bytes += added
	l.uncommittedBytes += added
}

// commitTo advances the commit index, which never decreases, and reports whether it did.
func (l *raftLog) commitTo(index uint64) bool {
	if index <= l.commit {
		return false
	}
	l.uncommittedBytes -= DataBytes(l.entriesBetween(l.commit+1, index))
	l.commit = index
	return true
}

// committedBytes returns the size of the data of the entries that a snapshot can replace.
func (l *raftLog) committedBytes() int { return l.bytes - l.uncommittedBytes }

// DataBytes returns the size of the data of entries.
func DataBytes(entries []Entry) int {
	n := 0
	for i := range entries {
		n += len(entries[i].Data)
	}
	return n
}

// truncate removes the entries from index on. It also reduces the capacity of
// the slice, so that the next append reallocates and slices returned earlier
// keep their contents.
func (l *raftLog) truncate(index uint64) {
	remaining := index - l.offset - 1
	removed := DataBytes(l.entries[remaining:])
	l.bytes -= removed
	l.uncommittedBytes -= removed
	l.entries = l.entries[:remaining:remaining]
	l.firstUnstable = min(l.firstUnstable, index)
}

// hint returns the largest index up to the given index whose term is at most
// the given term, and the term at that index. The two logs cannot agree beyond
// it.
func (l *raftLog) hint(index, term uint64) (uint64, uint64) {
	index = min(index, l.last())
	if index <= l.offset {
		return index, 0
	}
	n := int(index - l.offset)
	n = sort.Search(n, func(i int) bool { return l.entries[i].Term > term })
	index = l.offset + uint64(n)
	t, _ := l.term(index)
	return index, t
}

// markStable records that the entries up to (index, term) are durable, unless
// they have been replaced in the meantime.
func (l *raftLog) markStable(index, term uint64) {
	if index >= l.firstUnstable && l.matches(index, term) {
		l.firstUnstable = index + 1
	}
}

// restore replaces the log with a received snapshot.
func (l *raftLog) restore(s Snapshot) {
	l.offset, l.offsetTerm = s.Index, s.Term
	l.entries, l.bytes, l.uncommittedBytes = nil, 0, 0
	l.snapshot = s
	l.commit = s.Index
	l.firstUnstable = s.Index + 1
	l.snapshotPending = true
}

// compact replaces the snapshot and drops the entries that it covers, except
// for the last ones: at most maxEntries with at most maxBytes of data.
func (l *raftLog) compact(s Snapshot, maxEntries, maxBytes int) {
	l.snapshot = s
	base := l.retainedFrom(s.Index, maxEntries, maxBytes)
	if base == l.offset {
		return
	}
	t, _ := l.term(base)
	l.bytes -= DataBytes(l.entries[:base-l.offset])
	l.entries = slices.Clone(l.entries[base-l.offset:])
	l.offset, l.offsetTerm = base, t
}

// retainedFrom returns the index after which entries are retained when the log is compacted
// up to index.
func (l *raftLog) retainedFrom(index uint64, maxEntries, maxBytes int) uint64 {
	base, size := index, 0
	for base > l.offset && index-base < uint64(maxEntries) {
		size += len(l.entries[base-l.offset-1].Data)
		if size > maxBytes {
			break
		}
		base--
	}
	return base
}

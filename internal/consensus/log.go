package consensus

import (
	"slices"
	"sort"
)

// raftLog is the in-memory log behind the snapshot, with the commit and apply
// cursors. Slices handed out stay valid: entries are never overwritten in
// place, a truncation reallocates.
type raftLog struct {
	// offset and offsetTerm describe the entry before entries[0].
	offset, offsetTerm uint64
	entries            []Entry
	snapshot           Snapshot
	commit, applied    uint64
	// unstable is the first index that is not known to be durable.
	unstable uint64
	// restoring is set while a received snapshot awaits the driver.
	restoring bool
}

func (l *raftLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *raftLog) stable() uint64 { return l.unstable - 1 }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index i, if it is still known.
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

// upToDate reports whether a log that ends with (index, term) holds at least
// what this log holds, by the rule for granting votes.
func (l *raftLog) upToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}

// slice returns entries from index lo, bounded by number and bytes; at least
// one if there is any.
func (l *raftLog) slice(lo uint64, maxEntries, maxBytes int) []Entry {
	if lo > l.last() {
		return nil
	}
	from := l.entries[lo-l.offset-1:]
	size := 0
	for i := range from {
		size += len(from[i].Data)
		if i > 0 && (i >= maxEntries || size > maxBytes) {
			return from[:i:i]
		}
	}
	return from[:len(from):len(from)]
}

// between returns the entries lo to hi, both included.
func (l *raftLog) between(lo, hi uint64) []Entry {
	if lo > hi {
		return nil
	}
	a, b := lo-l.offset-1, hi-l.offset
	return l.entries[a:b:b]
}

// append adds entries that directly follow the log's end.
func (l *raftLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate removes the entries from index on. The new capacity makes the next
// append copy, so that slices handed out earlier keep their contents.
func (l *raftLog) truncate(index uint64) {
	keep := index - l.offset - 1
	l.entries = l.entries[:keep:keep]
	l.unstable = min(l.unstable, index)
}

// hint returns the largest index not above index whose term is at most term,
// and its term: the best guess where two logs may agree.
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

// stableTo records that the entries up to (index, term) are durable, unless
// they have been replaced since.
func (l *raftLog) stableTo(index, term uint64) {
	if index >= l.unstable && l.matches(index, term) {
		l.unstable = index + 1
	}
}

// restore replaces the log by a received snapshot.
func (l *raftLog) restore(s Snapshot) {
	l.offset, l.offsetTerm = s.Index, s.Term
	l.entries = nil
	l.snapshot = s
	l.commit = s.Index
	l.unstable = s.Index + 1
	l.restoring = true
}

// compact replaces the snapshot and drops entries but the last keep of those
// that it covers.
func (l *raftLog) compact(s Snapshot, keep int) {
	l.snapshot = s
	if s.Index <= l.offset+uint64(keep) {
		return
	}
	base := s.Index - uint64(keep)
	t, _ := l.term(base)
	l.entries = slices.Clone(l.entries[base-l.offset:])
	l.offset, l.offsetTerm = base, t
}

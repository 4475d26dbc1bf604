package wal

import (
	"bytes"
	"path/filepath"

	"auburnstep.example/auburnstep/internal/consensus"
)

// replay rebuilds the state of a log from its segments.
type replay struct {
	log     *Log
	entries []consensus.Entry
	// floating is set while the entries start behind the last marker: the
	// segments in between were removed, and a later marker must follow.
	floating bool
	first    uint64 // sequence number of the first segment
	// tail is the valid part of the last segment.
	tail   []byte
	torn   *TornTail
	marker marker
}

// segments replays all segments in order.
func (p *replay) segments(seqs []uint64) error {
	if len(seqs) == 0 {
		return p.log.corrupt(segmentName(1), 0, "segment is missing")
	}
	p.first = seqs[0]
	for i, seq := range seqs {
		if i > 0 && seq != seqs[i-1]+1 {
			return p.log.corrupt(segmentName(seqs[i-1]+1), 0, "segment is missing")
		}
		if i > 0 {
			p.log.closed = append(p.log.closed, segment{seqs[i-1], p.log.last})
		}
		p.log.seq, p.log.last = seq, 0
		if err := p.segment(seq, i == len(seqs)-1); err != nil {
			return err
		}
	}
	return nil
}

// segment replays one segment. A record that is incomplete at the end of the
// last segment is cut off; any other damage is refused.
func (p *replay) segment(seq uint64, last bool) error {
	name := segmentName(seq)
	b, err := p.log.fs.ReadFile(filepath.Join(p.log.dir, name))
	if err != nil {
		return Error.Wrap(err)
	}
	if !bytes.HasPrefix(b, segmentHeader(seq)) {
		return p.log.corrupt(name, 0, "bad segment header")
	}
	offset := int64(headerSize)
	for offset < int64(len(b)) {
		r, next, ok := readRecord(b, seq, offset)
		if !ok {
			if !last || validRecordAfter(b, seq, offset) {
				return p.log.corrupt(name, offset, "bad record before the end of the log")
			}
			p.torn = &TornTail{File: filepath.Join(p.log.dir, name), Offset: offset, Bytes: int64(len(b)) - offset}
			break
		}
		if !p.apply(r) {
			return p.log.corrupt(name, offset, "record does not continue the log")
		}
		offset = next
	}
	p.tail = b[:offset:offset]
	return nil
}

// apply replays one record; it reports whether the record fits.
func (p *replay) apply(r record) bool {
	if r.hard != nil {
		p.log.hard = *r.hard
	}
	if r.marker != nil && !p.mark(*r.marker) {
		return false
	}
	if len(r.entries) == 0 {
		return true
	}
	l, first := p.log, r.entries[0].Index
	last := l.base.index + uint64(len(p.entries))
	switch {
	case first <= l.base.index && !p.floating:
		return false
	case first > last+1 && len(p.entries) > 0:
		return false
	case first <= l.base.index || first > last+1:
		l.base, p.floating = marker{index: first - 1}, true
	}
	keep := first - l.base.index - 1
	p.entries = append(p.entries[:keep], r.entries...)
	l.last = max(l.last, r.entries[len(r.entries)-1].Index)
	return true
}

// mark replays a marker.
func (p *replay) mark(m marker) bool {
	l := p.log
	switch {
	case m.index < l.base.index && !p.floating:
		return false
	case m.reset:
		p.entries = nil
	case m.index < l.base.index:
		// Segments repeat the last marker at their start; it lies below the
		// entries once the segments in between are removed.
		return true
	case m.index > l.base.index+uint64(len(p.entries)):
		p.entries = nil
	default:
		p.entries = p.entries[m.index-l.base.index:]
	}
	l.base, p.floating = marker{index: m.index, term: m.term}, false
	return true
}

// finish joins the log with the snapshot. The snapshot is newer than the last
// marker if a crash came in between; it is marked then.
func (p *replay) finish(s consensus.Snapshot) error {
	l := p.log
	for _, e := range p.entries {
		l.terms = append(l.terms, e.Term)
	}
	switch {
	case p.floating:
		return l.corrupt(segmentName(p.first-1), 0, "segment is missing")
	case s.Index < l.base.index:
		return l.corrupt(snapshotName(l.base.index), 0, "snapshot is missing")
	case s.Index == l.base.index:
		p.marker = l.base
		return nil
	}
	p.marker = l.markerFor(s)
	if p.marker.reset {
		p.entries = nil
	} else {
		p.entries = p.entries[s.Index-l.base.index:]
	}
	l.rebase(p.marker)
	return nil
}

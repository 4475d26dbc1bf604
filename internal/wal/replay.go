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
	// markerPending is set while there is a gap between the last marker and the
	// entries. The segments in between were removed because of a later snapshot,
	// so the marker of that snapshot must follow.
	markerPending bool
	firstSeq      uint64 // sequence number of the first segment
	// validPrefix is the part of the last segment before any torn record.
	validPrefix []byte
	torn        *TornTail
	marker      marker // marker for the record that Open appends
}

// segments replays all segments in the order of their sequence numbers.
func (p *replay) segments(seqs []uint64) error {
	if len(seqs) == 0 {
		return p.log.corruptError(segmentName(1), 0, "segment is missing")
	}
	p.firstSeq = seqs[0]
	for i, seq := range seqs {
		if i > 0 && seq != seqs[i-1]+1 {
			return p.log.corruptError(segmentName(seqs[i-1]+1), 0, "segment is missing")
		}
		if i > 0 {
			p.log.closedSegments = append(p.log.closedSegments, segment{seqs[i-1], p.log.maxIndex})
		}
		p.log.seq, p.log.maxIndex = seq, 0
		if err := p.segment(seq, i == len(seqs)-1); err != nil {
			return err
		}
	}
	return nil
}

// segment replays one segment. It leaves out an incomplete record at the end of the
// last segment and returns ErrCorrupt for any other damage.
func (p *replay) segment(seq uint64, isLast bool) error {
	name := segmentName(seq)
	b, err := p.log.fs.ReadFile(filepath.Join(p.log.dir, name))
	if err != nil {
		return Error.Wrap(err)
	}
	if !bytes.HasPrefix(b, segmentHeader(seq)) {
		return p.log.corruptError(name, 0, "invalid segment header")
	}
	offset := int64(segmentHeaderSize)
	for offset < int64(len(b)) {
		r, next, ok := readRecord(b, seq, offset)
		if !ok {
			if !isLast || validRecordAfter(b, seq, offset) {
				return p.log.corruptError(name, offset, "invalid record before the end of the log")
			}
			p.torn = &TornTail{File: filepath.Join(p.log.dir, name), Offset: offset, Bytes: int64(len(b)) - offset}
			break
		}
		if !p.applyRecord(r) {
			return p.log.corruptError(name, offset, "record does not continue the log")
		}
		offset = next
	}
	p.validPrefix = b[:offset:offset]
	return nil
}

// applyRecord replays one record and reports whether the record continues the log.
func (p *replay) applyRecord(r record) bool {
	if r.hardState != nil {
		p.log.hardState = *r.hardState
	}
	if r.marker != nil && !p.applyMarker(*r.marker) {
		return false
	}
	if len(r.entries) == 0 {
		return true
	}
	l, first := p.log, r.entries[0].Index
	maxIndex := l.base.index + uint64(len(p.entries))
	switch {
	case first <= l.base.index && !p.markerPending:
		return false
	case first > maxIndex+1 && len(p.entries) > 0:
		return false
	case first <= l.base.index || first > maxIndex+1:
		l.base, p.markerPending = marker{index: first - 1}, true
	}
	kept := first - l.base.index - 1
	p.entries = append(p.entries[:kept], r.entries...)
	l.maxIndex = max(l.maxIndex, r.entries[len(r.entries)-1].Index)
	return true
}

// applyMarker replays a marker and reports whether it fits the log.
func (p *replay) applyMarker(m marker) bool {
	l := p.log
	switch {
	case m.index < l.base.index && !p.markerPending:
		return false
	case m.reset:
		p.entries = nil
	case m.index < l.base.index:
		// Each segment repeats the last marker at its start. That marker is older
		// than the entries if the segments in between were removed.
		return true
	case m.index > l.base.index+uint64(len(p.entries)):
		p.entries = nil
	default:
		p.entries = p.entries[m.index-l.base.index:]
	}
	l.base, p.markerPending = marker{index: m.index, term: m.term}, false
	return true
}

// applySnapshot drops the entries that the latest snapshot covers or discards and
// sets the marker that Open appends. The snapshot is newer than the last marker in
// the log if a crash occurred before the marker of the snapshot was written.
// applySnapshot returns ErrCorrupt if a segment or the snapshot is missing.
func (p *replay) applySnapshot(s consensus.Snapshot) error {
	l := p.log
	for _, e := range p.entries {
		l.terms = append(l.terms, e.Term)
	}
	switch {
	case p.markerPending:
		return l.corruptError(segmentName(p.firstSeq-1), 0, "segment is missing")
	case s.Index < l.base.index:
		return l.corruptError(snapshotName(l.base.index), 0, "snapshot is missing")
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

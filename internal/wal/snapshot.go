package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"strings"

	"auburnstep.example/auburnstep/internal/consensus"
)

const (
	snapshotMagic  = "auburnsn"
	segmentSuffix  = ".wal"
	snapshotSuffix = ".snap"
	tempSuffix     = ".tmp"
)

func segmentName(seq uint64) string { return fmt.Sprintf("%016x%s", seq, segmentSuffix) }

func snapshotName(index uint64) string { return fmt.Sprintf("%016x%s", index, snapshotSuffix) }

// SaveSnapshot makes a snapshot durable, writes a marker for it to the log and
// removes segments and snapshots that are no longer needed. The log keeps the
// entries after the snapshot if it holds the snapshot's last entry with the same
// term. Otherwise it discards all entries, for example when the snapshot comes
// from a leader.
func (l *Log) SaveSnapshot(s consensus.Snapshot) error {
	if l.stopErr != nil {
		return l.stopErr
	}
	if s.Index <= l.base.index {
		return ErrInvalid
	}
	f, err := l.createDurable(snapshotName(s.Index), encodeSnapshot(s))
	if err != nil {
		return l.stop(err)
	}
	_ = f.Close()
	m := l.markerFor(s)
	if err := l.rotate(&m); err != nil {
		return err
	}
	l.rebase(m)
	return l.removeObsolete()
}

// markerFor returns the marker for a snapshot. It sets reset unless the log holds
// the snapshot's last entry with the same term.
func (l *Log) markerFor(s consensus.Snapshot) marker {
	m := marker{index: s.Index, term: s.Term, reset: true}
	if s.Index > l.base.index && s.Index <= l.lastIndex() {
		m.reset = l.terms[s.Index-l.base.index-1] != s.Term
	}
	return m
}

// rebase makes the snapshot of m the base of the log and drops the entries that
// the snapshot covers or that the reset discards.
func (l *Log) rebase(m marker) {
	if m.reset {
		l.terms = nil
		// A discarded entry must not prevent the removal of its segment or be
		// mistaken for a later entry with the same index.
		for i := range l.closedSegments {
			l.closedSegments[i].maxIndex = 0
		}
	} else {
		l.terms = append([]uint64(nil), l.terms[m.index-l.base.index:]...)
	}
	l.base = marker{index: m.index, term: m.term}
	l.hardState.Commit = max(l.hardState.Commit, m.index)
}

// removeObsolete removes the segments and snapshots that the latest snapshot
// replaces. The directory is synced after each removal: otherwise a crash could
// leave a gap in the sequence of segments.
func (l *Log) removeObsolete() error {
	for len(l.closedSegments) > 0 && l.closedSegments[0].maxIndex <= l.base.index {
		if err := l.removeFile(segmentName(l.closedSegments[0].seq)); err != nil {
			return l.stop(err)
		}
		l.closedSegments = l.closedSegments[1:]
	}
	names, err := l.fs.List(l.dir)
	if err != nil {
		return l.stop(err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, snapshotSuffix) && name < snapshotName(l.base.index) {
			if err := l.removeFile(name); err != nil {
				return l.stop(err)
			}
		}
	}
	return nil
}

// removeFile removes a file and makes the removal durable.
func (l *Log) removeFile(name string) error {
	if err := l.fs.Remove(filepath.Join(l.dir, name)); err != nil {
		return err
	}
	return l.fs.SyncDir(l.dir)
}

func encodeSnapshot(s consensus.Snapshot) []byte {
	b := []byte(snapshotMagic)
	b = binary.AppendUvarint(b, s.Index)
	b = binary.AppendUvarint(b, s.Term)
	for _, ids := range [][]uint64{s.Members.Voters, s.Members.Learners, s.Members.Removed} {
		b = binary.AppendUvarint(b, uint64(len(ids)))
		for _, id := range ids {
			b = binary.AppendUvarint(b, id)
		}
	}
	b = binary.AppendUvarint(b, uint64(len(s.Data)))
	b = append(b, s.Data...)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// verifiedBody returns the contents of a file without magic and checksum, and
// whether both are valid.
func verifiedBody(b []byte, magic string) ([]byte, bool) {
	n := len(b) - 4
	if n < len(magic) || string(b[:len(magic)]) != magic {
		return nil, false
	}
	if binary.LittleEndian.Uint32(b[n:]) != crc32.Checksum(b[:n], castagnoli) {
		return nil, false
	}
	return b[len(magic):n], true
}

func decodeSnapshot(b []byte) (s consensus.Snapshot, ok bool) {
	b, ok = verifiedBody(b, snapshotMagic)
	if !ok {
		return s, false
	}
	p := &parser{b: b}
	s.Index, s.Term = p.uvarint(), p.uvarint()
	s.Members.Voters, s.Members.Learners, s.Members.Removed = p.ids(), p.ids(), p.ids()
	if size := p.uvarint(); size > 0 {
		s.Data = p.bytes(size)
	}
	return s, !p.malformed && len(p.b) == 0
}

func (p *parser) ids() []uint64 {
	count := p.uvarint()
	if p.malformed || count > uint64(len(p.b)) {
		p.malformed = true
		return nil
	}
	var ids []uint64
	for range count {
		ids = append(ids, p.uvarint())
	}
	return ids
}

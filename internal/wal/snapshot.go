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
	snapshotMagic   = "auburnsn"
	segmentSuffix   = ".wal"
	snapshotSuffix  = ".snap"
	temporarySuffix = ".tmp"
)

func segmentName(seq uint64) string { return fmt.Sprintf("%016x%s", seq, segmentSuffix) }

func snapshotName(index uint64) string { return fmt.Sprintf("%016x%s", index, snapshotSuffix) }

// SaveSnapshot makes a snapshot durable, marks the log and removes segments
// and snapshots that are no longer needed. Entries behind the snapshot are
// kept if the log holds the snapshot's last entry with the same term; else the
// log is void, as after a snapshot received from a leader.
func (l *Log) SaveSnapshot(s consensus.Snapshot) error {
	if l.stopped != nil {
		return l.stopped
	}
	if s.Index <= l.base.index {
		return ErrInvalid
	}
	f, err := l.create(snapshotName(s.Index), encodeSnapshot(s))
	if err != nil {
		return l.stop(err)
	}
	_ = f.Close()
	m := l.markerFor(s)
	if err := l.rotate(&m); err != nil {
		return err
	}
	l.rebase(m)
	return l.clean()
}

// markerFor decides whether the entries behind the snapshot continue it.
func (l *Log) markerFor(s consensus.Snapshot) marker {
	m := marker{index: s.Index, term: s.Term, reset: true}
	if s.Index > l.base.index && s.Index <= l.lastIndex() {
		m.reset = l.terms[s.Index-l.base.index-1] != s.Term
	}
	return m
}

// rebase forgets the entries that the snapshot covers or voids.
func (l *Log) rebase(m marker) {
	if m.reset {
		l.terms = nil
		// No void entry may keep a segment alive or be taken for a later one.
		for i := range l.closed {
			l.closed[i].last = 0
		}
	} else {
		l.terms = append([]uint64(nil), l.terms[m.index-l.base.index:]...)
	}
	l.base = marker{index: m.index, term: m.term}
	l.hard.Commit = max(l.hard.Commit, m.index)
}

// clean removes segments and snapshots that the latest snapshot replaces. The
// folder is synced after each segment: otherwise a crash could leave a gap.
func (l *Log) clean() error {
	for len(l.closed) > 0 && l.closed[0].last <= l.base.index {
		if err := l.remove(segmentName(l.closed[0].seq)); err != nil {
			return l.stop(err)
		}
		l.closed = l.closed[1:]
	}
	names, err := l.fs.List(l.dir)
	if err != nil {
		return l.stop(err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, snapshotSuffix) && name < snapshotName(l.base.index) {
			if err := l.remove(name); err != nil {
				return l.stop(err)
			}
		}
	}
	return nil
}

func (l *Log) remove(name string) error {
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

// checked returns the contents without magic and checksum, if both are right.
func checked(b []byte, magic string) ([]byte, bool) {
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
	b, ok = checked(b, snapshotMagic)
	if !ok {
		return s, false
	}
	p := &parser{b: b}
	s.Index, s.Term = p.uvarint(), p.uvarint()
	s.Members.Voters, s.Members.Learners, s.Members.Removed = p.ids(), p.ids(), p.ids()
	if size := p.uvarint(); size > 0 {
		s.Data = p.bytes(size)
	}
	return s, !p.bad && len(p.b) == 0
}

func (p *parser) ids() []uint64 {
	count := p.uvarint()
	if p.bad || count > uint64(len(p.b)) {
		p.bad = true
		return nil
	}
	var ids []uint64
	for range count {
		ids = append(ids, p.uvarint())
	}
	return ids
}

package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"auburnstep.example/auburnstep/internal/consensus"
)

// A segment is a header followed by records. The header is the magic, the
// sequence number and the CRC32C of both. A record is the magic, the length of
// the payload, a CRC32C and the payload. The CRC covers the sequence number of
// the segment, the offset of the record, the length and the payload, so that
// bytes copied from elsewhere are never taken for a record.
//
// Every Save writes one record and syncs it. At most one record can thus be
// torn by a crash, and nothing valid follows it.
const (
	segmentMagic  = "auburnwl"
	recordMagic   = "rec1"
	headerSize    = len(segmentMagic) + 8 + 4
	recordHeader  = len(recordMagic) + 4 + 4
	maxRecordSize = 1 << 30 // bytes; the length field has 32 bits

	flagHardState = 1 << 0
	flagMarker    = 1 << 1
	flagReset     = 1 << 2
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// marker states that a snapshot of (index, term) is durable. With reset, the
// entries before the record do not continue the snapshot and are void.
type marker struct {
	index, term uint64
	reset       bool
}

// record is the unit of a Save.
type record struct {
	hard    *consensus.HardState
	marker  *marker
	entries []consensus.Entry
}

func segmentHeader(seq uint64) []byte {
	b := binary.LittleEndian.AppendUint64([]byte(segmentMagic), seq)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// appendRecord appends the encoding of r, which starts at offset of the segment.
func appendRecord(b []byte, seq uint64, offset int64, r record) []byte {
	start := len(b)
	b = append(b, recordMagic...)
	b = append(b, make([]byte, recordHeader-len(recordMagic))...)
	b = appendPayload(b, r)
	payload := b[start+recordHeader:]
	head := b[start+len(recordMagic):]
	binary.LittleEndian.PutUint32(head, uint32(len(payload)))
	binary.LittleEndian.PutUint32(head[4:], recordSum(seq, offset, payload))
	return b
}

func recordSum(seq uint64, offset int64, payload []byte) uint32 {
	var place [20]byte
	binary.LittleEndian.PutUint64(place[:], seq)
	binary.LittleEndian.PutUint64(place[8:], uint64(offset))
	binary.LittleEndian.PutUint32(place[16:], uint32(len(payload)))
	return crc32.Update(crc32.Checksum(place[:], castagnoli), castagnoli, payload)
}

func appendPayload(b []byte, r record) []byte {
	flags := byte(0)
	if r.hard != nil {
		flags |= flagHardState
	}
	if r.marker != nil {
		flags |= flagMarker
		if r.marker.reset {
			flags |= flagReset
		}
	}
	b = append(b, flags)
	if r.hard != nil {
		b = binary.AppendUvarint(b, r.hard.Term)
		b = binary.AppendUvarint(b, r.hard.Vote)
		b = binary.AppendUvarint(b, r.hard.Commit)
	}
	if r.marker != nil {
		b = binary.AppendUvarint(b, r.marker.index)
		b = binary.AppendUvarint(b, r.marker.term)
	}
	b = binary.AppendUvarint(b, uint64(len(r.entries)))
	for i, e := range r.entries {
		if i == 0 {
			b = binary.AppendUvarint(b, e.Index)
		}
		b = binary.AppendUvarint(b, e.Term)
		b = append(b, byte(e.Kind))
		b = binary.AppendUvarint(b, uint64(len(e.Data)))
		b = append(b, e.Data...)
	}
	return b
}

// readRecord reads the record at offset of a segment. ok is false if there is
// no complete record with a valid checksum.
func readRecord(segment []byte, seq uint64, offset int64) (r record, next int64, ok bool) {
	b := segment[offset:]
	if len(b) < recordHeader || string(b[:len(recordMagic)]) != recordMagic {
		return record{}, 0, false
	}
	head := b[len(recordMagic):]
	size := int64(binary.LittleEndian.Uint32(head))
	sum := binary.LittleEndian.Uint32(head[4:])
	b = b[recordHeader:]
	if size > int64(len(b)) || recordSum(seq, offset, b[:size]) != sum {
		return record{}, 0, false
	}
	r, ok = parsePayload(b[:size])
	return r, offset + int64(recordHeader) + size, ok
}

// validRecordAfter reports whether any record starts behind offset.
func validRecordAfter(segment []byte, seq uint64, offset int64) bool {
	for at := offset + 1; at < int64(len(segment)); at++ {
		i := bytes.Index(segment[at:], []byte(recordMagic))
		if i < 0 {
			return false
		}
		at += int64(i)
		if _, _, ok := readRecord(segment, seq, at); ok {
			return true
		}
	}
	return false
}

// parser reads the parts of a payload; bad is set once one does not fit.
type parser struct {
	b   []byte
	bad bool
}

func (p *parser) uvarint() uint64 {
	v, n := binary.Uvarint(p.b)
	if n <= 0 {
		p.bad = true
		return 0
	}
	p.b = p.b[n:]
	return v
}

func (p *parser) bytes(n uint64) []byte {
	if n > uint64(len(p.b)) {
		p.bad = true
		return nil
	}
	b := p.b[:n:n]
	p.b = p.b[n:]
	return b
}

func (p *parser) byte() byte {
	if b := p.bytes(1); len(b) == 1 {
		return b[0]
	}
	return 0
}

func parsePayload(b []byte) (record, bool) {
	p := &parser{b: b}
	var r record
	flags := p.byte()
	if flags&flagHardState != 0 {
		r.hard = &consensus.HardState{Term: p.uvarint(), Vote: p.uvarint(), Commit: p.uvarint()}
	}
	if flags&flagMarker != 0 {
		r.marker = &marker{index: p.uvarint(), term: p.uvarint(), reset: flags&flagReset != 0}
	}
	count := p.uvarint()
	// An entry takes at least three bytes; the check bounds the allocation.
	if p.bad || count > uint64(len(p.b))/3 {
		return record{}, false
	}
	r.entries = p.entries(int(count))
	return r, !p.bad && len(p.b) == 0
}

func (p *parser) entries(count int) []consensus.Entry {
	if count == 0 {
		return nil
	}
	entries := make([]consensus.Entry, count)
	index := p.uvarint()
	for i := range entries {
		e := &entries[i]
		e.Index = index + uint64(i)
		e.Term = p.uvarint()
		e.Kind = consensus.EntryKind(p.byte())
		if size := p.uvarint(); size > 0 {
			e.Data = p.bytes(size)
		}
	}
	return entries
}

package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"auburnstep.example/auburnstep/internal/consensus"
)

// A segment is a header followed by records. The header consists of the segment
// magic, the sequence number and the CRC32C of both. A record consists of the
// record magic, the length of the payload, a CRC32C and the payload. The CRC
// covers the sequence number of the segment, the offset of the record, the length
// and the payload, so that bytes copied from another place are not accepted as a
// record.
//
// Save writes at most one record to the open segment and syncs it. A crash can
// therefore tear only the last record, and no valid record follows a torn one.
const (
	segmentMagic      = "auburnwl"
	recordMagic       = "rec1"
	segmentHeaderSize = len(segmentMagic) + 8 + 4
	recordHeaderSize  = len(recordMagic) + 4 + 4
	maxRecordBytes    = 1 << 30 // must fit the length field of 32 bits

	flagHardState = 1 << 0
	flagMarker    = 1 << 1
	flagReset     = 1 << 2
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// marker states that a snapshot with the index and term is durable. If reset is
// set, the entries before the marker do not continue the snapshot and are
// discarded.
type marker struct {
	index, term uint64
	reset       bool
}

// record is the unit of writing: its parts become durable together. Parts that are
// nil or empty are left out.
type record struct {
	hardState *consensus.HardState
	marker    *marker
	entries   []consensus.Entry
}

func segmentHeader(seq uint64) []byte {
	b := binary.LittleEndian.AppendUint64([]byte(segmentMagic), seq)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// appendRecord appends the encoding of r to b. The record is to be written at the
// given offset of segment seq.
func appendRecord(b []byte, seq uint64, offset int64, r record) []byte {
	start := len(b)
	b = append(b, recordMagic...)
	b = append(b, make([]byte, recordHeaderSize-len(recordMagic))...)
	b = appendPayload(b, r)
	payload := b[start+recordHeaderSize:]
	header := b[start+len(recordMagic):]
	binary.LittleEndian.PutUint32(header, uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], recordChecksum(seq, offset, payload))
	return b
}

func recordChecksum(seq uint64, offset int64, payload []byte) uint32 {
	var position [20]byte // sequence number, offset and payload length
	binary.LittleEndian.PutUint64(position[:], seq)
	binary.LittleEndian.PutUint64(position[8:], uint64(offset))
	binary.LittleEndian.PutUint32(position[16:], uint32(len(payload)))
	return crc32.Update(crc32.Checksum(position[:], castagnoli), castagnoli, payload)
}

func appendPayload(b []byte, r record) []byte {
	flags := byte(0)
	if r.hardState != nil {
		flags |= flagHardState
	}
	if r.marker != nil {
		flags |= flagMarker
		if r.marker.reset {
			flags |= flagReset
		}
	}
	b = append(b, flags)
	if r.hardState != nil {
		b = binary.AppendUvarint(b, r.hardState.Term)
		b = binary.AppendUvarint(b, r.hardState.Vote)
		b = binary.AppendUvarint(b, r.hardState.Commit)
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

// readRecord reads the record at an offset of a segment and returns the offset of
// the next one. ok is false if there is no complete and valid record.
func readRecord(segment []byte, seq uint64, offset int64) (r record, next int64, ok bool) {
	b := segment[offset:]
	if len(b) < recordHeaderSize || string(b[:len(recordMagic)]) != recordMagic {
		return record{}, 0, false
	}
	header := b[len(recordMagic):]
	size := int64(binary.LittleEndian.Uint32(header))
	sum := binary.LittleEndian.Uint32(header[4:])
	b = b[recordHeaderSize:]
	if size > int64(len(b)) || recordChecksum(seq, offset, b[:size]) != sum {
		return record{}, 0, false
	}
	r, ok = parsePayload(b[:size])
	return r, offset + int64(recordHeaderSize) + size, ok
}

// validRecordAfter reports whether a valid record starts after offset.
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

// parser reads the fields of a record payload or a file body. It sets malformed if
// a field exceeds the remaining bytes or is not valid.
type parser struct {
	b         []byte
	malformed bool
}

func (p *parser) uvarint() uint64 {
	v, n := binary.Uvarint(p.b)
	if n <= 0 {
		p.malformed = true
		return 0
	}
	p.b = p.b[n:]
	return v
}

func (p *parser) bytes(n uint64) []byte {
	if n > uint64(len(p.b)) {
		p.malformed = true
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
		r.hardState = &consensus.HardState{Term: p.uvarint(), Vote: p.uvarint(), Commit: p.uvarint()}
	}
	if flags&flagMarker != 0 {
		r.marker = &marker{index: p.uvarint(), term: p.uvarint(), reset: flags&flagReset != 0}
	}
	count := p.uvarint()
	// An encoded entry takes at least three bytes (term, kind and data length).
	// The check bounds the allocation if the count is wrong.
	if p.malformed || count > uint64(len(p.b))/3 {
		return record{}, false
	}
	r.entries = p.entries(int(count))
	return r, !p.malformed && len(p.b) == 0
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

package state

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// encoder writes the snapshot format: varints and length-prefixed byte strings.
type encoder struct{ buf []byte }

func (e *encoder) uint(v uint64)  { e.buf = binary.AppendUvarint(e.buf, v) }
func (e *encoder) int(v int64)    { e.buf = binary.AppendVarint(e.buf, v) }
func (e *encoder) bytes(b []byte) { e.uint(uint64(len(b))); e.buf = append(e.buf, b...) }
func (e *encoder) str(s string)   { e.uint(uint64(len(s))); e.buf = append(e.buf, s...) }
func (e *encoder) bool(v bool) {
	if v {
		e.uint(1)
	} else {
		e.uint(0)
	}
}

// decoder reads the format that encoder writes. After the first error failed is
// set and all methods return zero values.
type decoder struct {
	buf    []byte
	failed bool
}

func (d *decoder) uint() uint64 {
	v, n := binary.Uvarint(d.buf)
	if n <= 0 {
		d.failed, d.buf = true, nil
		return 0
	}
	d.buf = d.buf[n:]
	return v
}

func (d *decoder) int() int64 {
	v, n := binary.Varint(d.buf)
	if n <= 0 {
		d.failed, d.buf = true, nil
		return 0
	}
	d.buf = d.buf[n:]
	return v
}

// count reads the number of elements that follow. An element takes at least one
// byte, so count fails if the number exceeds the remaining bytes; otherwise a
// corrupt snapshot could cause a large allocation.
func (d *decoder) count() int {
	n := d.uint()
	if n > uint64(len(d.buf)) {
		d.failed, d.buf = true, nil
		return 0
	}
	return int(n)
}

// bytes returns a slice of the input without copying it.
func (d *decoder) bytes() []byte {
	n := d.count()
	b := d.buf[:n:n]
	d.buf = d.buf[n:]
	return b
}

func (d *decoder) str() string { return string(d.bytes()) }

func (d *decoder) bool() bool {
	switch d.uint() {
	case 0:
		return false
	case 1:
		return true
	}
	d.failed, d.buf = true, nil
	return false
}

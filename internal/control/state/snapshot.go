package state

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/settings"
)

// The first byte of a snapshot is its format. snapshotFormatNoRouting has no routing table
// at its end and snapshotFormatNoUsage no usage windows. Restore reads all three formats.
// A state without usage windows is written in snapshotFormatNoUsage, so that members of an
// earlier version can read it.
const (
	snapshotFormat          = 3
	snapshotFormatNoUsage   = 2
	snapshotFormatNoRouting = 1
)

// Snapshot encodes the whole state. Equal states have equal encodings. The last
// 8 bytes are a checksum.
func (s *State) Snapshot() []byte {
	e := &encoder{buf: make([]byte, 0, 64<<10)}
	format := uint64(snapshotFormat)
	if !s.usage.Started {
		format = snapshotFormatNoUsage
	}
	e.uint(format)
	e.uint(s.index)
	e.uint(s.version)
	export := s.tree.Export()
	e.uint(uint64(len(export.Nodes)))
	for _, n := range export.Nodes {
		e.str(n.Path)
		e.str(n.Kind)
		e.uint(uint64(len(n.Values)))
		for _, key := range sortedKeys(n.Values) {
			e.str(key)
			e.str(n.Values[key])
		}
	}
	s.encodeChanges(e)
	s.bookings.encode(e)
	e.uint(uint64(len(s.groups)))
	for _, group := range sortedKeys(s.groups) {
		e.message(s.groups[group])
	}
	e.uint(uint64(len(s.members)))
	for _, id := range sortedKeys(s.members) {
		e.message(s.members[id])
	}
	e.bool(s.routing != nil)
	if s.routing != nil {
		e.message(s.routing)
	}
	if format == snapshotFormat {
		s.usage.encode(e)
	}
	return binary.BigEndian.AppendUint64(e.buf, xxhash.Sum64(e.buf))
}

// message writes a protobuf message. The message must not have map fields. Its
// deterministic form is the same on all members that use the same version of the
// protobuf library.
func (e *encoder) message(m proto.Message) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// Marshal fails only for strings that are not valid UTF-8, which no decoded
		// message contains.
		panic(fmt.Sprintf("control state: %v", err))
	}
	e.bytes(b)
}

func (d *decoder) message(m proto.Message) {
	if proto.Unmarshal(d.bytes(), m) != nil {
		d.failed, d.buf = true, nil
	}
}

func (s *State) encodeChanges(e *encoder) {
	e.uint(uint64(len(s.history)))
	for _, a := range s.history {
		e.str(a.changeID)
		e.str(a.actor)
		e.uint(uint64(len(a.operations)))
		for _, op := range a.operations {
			e.message(op)
		}
	}
	e.uint(uint64(len(s.results.order)))
	s.results.oldestFirst(func(m storedResult) {
		e.str(m.changeID)
		e.buf = binary.BigEndian.AppendUint64(e.buf, m.fingerprint)
		e.uint(m.base)
		e.uint(m.version)
		e.uint(uint64(m.outcome))
	})
}

func (b *bookings) encode(e *encoder) {
	e.uint(b.seq)
	e.int(b.nowMs)
	e.uint(uint64(len(b.customers)))
	for _, name := range sortedKeys(b.customers) {
		e.str(name)
		expiredKeys := b.customers[name].tombstones
		e.uint(uint64(len(expiredKeys)))
		sorted := make([]string, 0, len(expiredKeys))
		for t := range expiredKeys {
			sorted = append(sorted, string(t[:]))
		}
		slices.Sort(sorted)
		for _, t := range sorted {
			e.buf = append(e.buf, t...)
		}
	}
	e.uint(uint64(len(b.queue) - b.removed))
	for _, r := range b.queue {
		if !r.removed {
			r.encode(e)
		}
	}
}

func (r *record) encode(e *encoder) {
	e.str(r.customer)
	e.str(r.key)
	e.uint(r.seq)
	e.int(r.insertedAtMs)
	e.bool(r.expiredOnce)
	e.uint(uint64(r.phase))
	e.bytes(r.bodyHash)
	e.str(r.holder)
	if r.phase == finished {
		e.message(r.outcome)
	}
	e.uint(uint64(len(r.closed)))
	for _, c := range r.closed {
		e.str(c.id)
		e.bool(c.released)
	}
}

// Restore decodes a snapshot that Snapshot encoded. Its errors wrap ErrCorrupt.
func Restore(data []byte) (*State, error) {
	if len(data) < 8 {
		return nil, corrupt("%d bytes are less than the checksum takes", len(data))
	}
	body, sum := data[:len(data)-8], binary.BigEndian.Uint64(data[len(data)-8:])
	if xxhash.Sum64(body) != sum {
		return nil, corrupt("checksum mismatch")
	}
	return decode(bytes.Clone(body))
}

func corrupt(format string, args ...any) error {
	return Error.Wrap(fmt.Errorf("%w: "+format, append([]any{ErrCorrupt}, args...)...))
}

// decode reads a snapshot without its checksum. The returned state keeps
// references to body.
func decode(body []byte) (*State, error) {
	d := &decoder{buf: body}
	format := d.uint()
	if format < snapshotFormatNoRouting || format > snapshotFormat {
		return nil, corrupt("unknown snapshot format %d", format)
	}
	s := New()
	s.index = d.uint()
	s.restoredIndex = s.index
	s.version = d.uint()
	export := &controlv1.Settings{}
	for range d.count() {
		n := &controlv1.Node{Path: d.str(), Kind: d.str()}
		for range d.count() {
			if n.Values == nil {
				n.Values = make(map[string]string)
			}
			key := d.str()
			n.Values[key] = d.str()
		}
		export.Nodes = append(export.Nodes, n)
	}
	tree, err := settings.FromProto(export)
	if err != nil {
		return nil, corrupt("%v", err)
	}
	s.tree = tree
	s.decodeChanges(d)
	s.bookings.decode(d)
	for range d.count() {
		a := &controlv1.Assignment{}
		d.message(a)
		s.groups[a.Group] = a
	}
	for range d.count() {
		m := &controlv1.MemberAddress{}
		d.message(m)
		s.members[m.Id] = m
	}
	if format != snapshotFormatNoRouting && d.bool() {
		s.routing = &controlv1.RoutingTable{}
		d.message(s.routing)
	}
	if format == snapshotFormat {
		s.usage.decode(d)
	}
	if d.failed || len(d.buf) != 0 {
		return nil, corrupt("invalid field or trailing data")
	}
	return s, nil
}

func (s *State) decodeChanges(d *decoder) {
	n := d.count()
	if n > MaxHistory || uint64(n) > s.version {
		d.failed, d.buf = true, nil
		return
	}
	for i := range n {
		a := acceptedChange{version: s.version - uint64(n-1-i), changeID: d.str(), actor: d.str()}
		for range d.count() {
			op := &controlv1.Operation{}
			d.message(op)
			a.operations = append(a.operations, op)
		}
		s.addToHistory(a)
	}
	n = d.count()
	if n > MaxResults {
		d.failed, d.buf = true, nil
		return
	}
	for range n {
		m := storedResult{changeID: d.str()}
		if len(d.buf) < 8 {
			d.failed, d.buf = true, nil
			return
		}
		m.fingerprint = binary.BigEndian.Uint64(d.buf)
		d.buf = d.buf[8:]
		m.base = d.uint()
		m.version = d.uint()
		m.outcome = controlv1.ChangeResult_Outcome(d.uint())
		if _, duplicate := s.results.byID[m.changeID]; duplicate {
			d.failed, d.buf = true, nil
			return
		}
		s.results.add(m)
	}
}

func (b *bookings) decode(d *decoder) {
	b.seq = d.uint()
	b.nowMs = d.int()
	for range d.count() {
		c := b.customer(d.str())
		for range d.count() {
			if len(d.buf) < len(tombstone{}) {
				d.failed, d.buf = true, nil
				return
			}
			c.tombstones[tombstone(d.buf)] = struct{}{}
			b.bytes += tombstoneBytes
			d.buf = d.buf[len(tombstone{}):]
		}
	}
	last := uint64(0)
	for range d.count() {
		r := decodeRecord(d)
		c, ok := b.customers[r.customer]
		if !ok || r.seq <= last || r.seq > b.seq || r.phase > finished || c.records[r.key] != nil {
			d.failed, d.buf = true, nil
			return
		}
		last = r.seq
		c.records[r.key] = r
		b.bytes += r.size()
		b.queue = append(b.queue, r)
	}
}

func decodeRecord(d *decoder) *record {
	r := &record{
		customer: d.str(), key: d.str(), seq: d.uint(), insertedAtMs: d.int(), expiredOnce: d.bool(),
		phase: phase(min(d.uint(), 255)),
	}
	if bodyHash := d.bytes(); len(bodyHash) > 0 {
		r.bodyHash = bodyHash
	}
	r.holder = d.str()
	if r.phase == finished {
		r.outcome = &controlv1.BookingOutcome{}
		d.message(r.outcome)
	}
	for range d.count() {
		r.closed = append(r.closed, closedAttempt{id: d.str(), released: d.bool()})
	}
	return r
}

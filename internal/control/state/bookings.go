package state

import (
	"bytes"
	"crypto/sha256"
	"slices"

	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// phase is the progress of a booking record.
type phase uint8

const (
	// released: no attempt holds the key. A new attempt may begin; the attempts in
	// record.closed may not.
	released phase = iota
	// started: the holder may have run the request.
	started
	// finished: the outcome is stored.
	finished
)

// closedAttempt is an attempt that can no longer hold the key: it was released, or
// it was refused with STARTED because another attempt held the key. Delayed or
// repeated messages of a closed attempt must not begin the booking.
type closedAttempt struct {
	id       string
	released bool
}

// record is the booking record of one key of a customer.
type record struct {
	customer, key string
	// seq orders records by the time of their insertion; see bookings.nowMs.
	seq          uint64
	insertedAtMs int64
	// expiredOnce is set on a released record that one expiry has already
	// reached; see bookings.expire.
	expiredOnce bool
	// removed marks a record that is no longer valid but still in bookings.queue.
	removed  bool
	phase    phase
	bodyHash []byte
	holder   string
	outcome  *controlv1.BookingOutcome
	closed   []closedAttempt
}

// tombstone identifies a key whose record has expired, by the first 128 bits of
// the SHA-256 of the key. These are enough to rule out collisions between the keys
// of a customer.
type tombstone [16]byte

func tombstoneOf(key string) tombstone {
	sum := sha256.Sum256([]byte(key))
	return tombstone(sum[:16])
}

type customer struct {
	records    map[string]*record
	tombstones map[tombstone]struct{}
}

type bookings struct {
	customers map[string]*customer
	// queue holds the records ordered by seq. Records with removed set are skipped.
	queue   []*record
	removed int // removed records in queue
	seq     uint64
	// nowMs is the latest time seen in a command. It never decreases, so that the
	// queue is ordered by time although the clocks of successive leaders differ.
	nowMs       int64
	recordLimit int
	// bytes is about what the records and tombstones take in memory.
	bytes int64
}

// recordBytes and tombstoneBytes are what a record and a tombstone take beside the contents of
// the record.
const (
	recordBytes    = 256
	tombstoneBytes = 64
)

// size returns about what the record takes in memory.
func (r *record) size() int64 {
	n := recordBytes + len(r.customer) + len(r.key) + len(r.bodyHash) + len(r.holder) + proto.Size(r.outcome)
	for _, c := range r.closed {
		n += len(c.id)
	}
	return int64(n)
}

// counted executes a command on the record of one key and updates bytes.
func (b *bookings) counted(k *controlv1.BookingKey, command func() *controlv1.BookingResponse) *controlv1.BookingResponse {
	if _, r := b.find(k); r != nil {
		b.bytes -= r.size()
	}
	response := command()
	if _, r := b.find(k); r != nil {
		b.bytes += r.size()
	}
	return response
}

func newBookings() bookings {
	return bookings{customers: make(map[string]*customer), recordLimit: MaxRecords}
}

func response(state controlv1.BookingResponse_State) *controlv1.BookingResponse {
	return &controlv1.BookingResponse{State: state}
}

func (b *bookings) customer(name string) *customer {
	c, ok := b.customers[name]
	if !ok {
		c = &customer{records: make(map[string]*record), tombstones: make(map[tombstone]struct{})}
		b.customers[name] = c
	}
	return c
}

func (b *bookings) find(k *controlv1.BookingKey) (*customer, *record) {
	c, ok := b.customers[k.GetCustomer()]
	if !ok {
		return nil, nil
	}
	return c, c.records[k.GetKey()]
}

func (c *customer) expired(key string) bool {
	if c == nil || len(c.tombstones) == 0 {
		return false
	}
	_, ok := c.tombstones[tombstoneOf(key)]
	return ok
}

// begin makes the attempt the holder of the key if no other attempt holds it.
func (b *bookings) begin(cmd *controlv1.BeginBooking) *controlv1.BookingResponse {
	b.nowMs = max(b.nowMs, cmd.GetAtMs())
	c, r := b.find(cmd.GetKey())
	if r == nil {
		if c.expired(cmd.GetKey().GetKey()) {
			return response(controlv1.BookingResponse_EXPIRED)
		}
		if c != nil && len(c.records) >= b.recordLimit {
			return response(controlv1.BookingResponse_FULL)
		}
		b.insertStarted(&record{customer: cmd.GetKey().GetCustomer(), key: cmd.GetKey().GetKey()}, cmd)
		return response(controlv1.BookingResponse_BEGUN)
	}
	// The body hash of a released record does not bind later attempts, because the
	// request did not run.
	if r.phase != released && !bytes.Equal(r.bodyHash, cmd.GetBodyHash()) {
		return response(controlv1.BookingResponse_MISMATCH)
	}
	if r.phase == finished {
		return &controlv1.BookingResponse{State: controlv1.BookingResponse_FINISHED, Outcome: r.outcome}
	}
	if closed, ok := r.find(cmd.GetAttemptId()); ok {
		if closed.released {
			return response(controlv1.BookingResponse_RELEASED)
		}
		return response(controlv1.BookingResponse_STARTED)
	}
	if r.phase == started {
		if r.holder == cmd.GetAttemptId() {
			return response(controlv1.BookingResponse_BEGUN)
		}
		r.addRefused(cmd.GetAttemptId())
		return response(controlv1.BookingResponse_STARTED)
	}
	b.remove(r)
	b.insertStarted(&record{customer: r.customer, key: r.key, closed: r.closed}, cmd)
	return response(controlv1.BookingResponse_BEGUN)
}

// insertStarted inserts the new record r with the attempt of cmd as its holder.
func (b *bookings) insertStarted(r *record, cmd *controlv1.BeginBooking) {
	r.phase = started
	r.bodyHash = bytes.Clone(cmd.GetBodyHash())
	r.holder = cmd.GetAttemptId()
	b.insert(r)
}

// insert adds r to the records of its customer and to the end of the queue.
func (b *bookings) insert(r *record) {
	b.seq++
	r.seq, r.insertedAtMs = b.seq, b.nowMs
	b.customer(r.customer).records[r.key] = r
	b.queue = append(b.queue, r)
}

// remove marks r as removed and compacts the queue when at least 1024 records and
// half of the queue are removed ones. The caller replaces or deletes the map entry
// of r.
func (b *bookings) remove(r *record) {
	r.removed = true
	b.removed++
	if b.removed < 1024 || b.removed < len(b.queue)/2 {
		return
	}
	kept := make([]*record, 0, len(b.queue)-b.removed)
	for _, q := range b.queue {
		if !q.removed {
			kept = append(kept, q)
		}
	}
	b.queue, b.removed = kept, 0
}

func (r *record) find(attempt string) (closedAttempt, bool) {
	for _, c := range r.closed {
		if c.id == attempt {
			return c, true
		}
	}
	return closedAttempt{}, false
}

// addRefused adds an attempt that received STARTED to the closed attempts. Beyond
// maxRefusedAttempts it discards the oldest refused attempt. Released attempts are
// never discarded.
func (r *record) addRefused(attempt string) {
	refused, oldest := 0, -1
	for i, c := range r.closed {
		if !c.released {
			refused++
			if oldest < 0 {
				oldest = i
			}
		}
	}
	kept := r.closed
	if refused >= maxRefusedAttempts {
		kept = append(append([]closedAttempt(nil), r.closed[:oldest]...), r.closed[oldest+1:]...)
	}
	r.closed = append(kept, closedAttempt{id: attempt})
}

// close adds an attempt to the closed attempts as released. It clones the
// list before it modifies an element, because a frozen copy of the state may share
// the list.
func (r *record) close(attempt string) {
	for i := range r.closed {
		if r.closed[i].id == attempt {
			r.closed = slices.Clone(r.closed)
			r.closed[i].released = true
			return
		}
	}
	r.closed = append(r.closed, closedAttempt{id: attempt, released: true})
}

// finish stores the outcome reported by the holder. If an outcome is already
// stored, finish returns that outcome.
func (b *bookings) finish(cmd *controlv1.FinishBooking) *controlv1.BookingResponse {
	c, r := b.find(cmd.GetKey())
	switch {
	case r == nil && c.expired(cmd.GetKey().GetKey()):
		return response(controlv1.BookingResponse_EXPIRED)
	case r == nil:
		return response(controlv1.BookingResponse_RELEASED)
	case r.phase == finished:
		return &controlv1.BookingResponse{State: controlv1.BookingResponse_FINISHED, Outcome: r.outcome}
	case r.phase == released:
		return response(controlv1.BookingResponse_RELEASED)
	case r.holder != cmd.GetAttemptId():
		return response(controlv1.BookingResponse_STARTED)
	}
	r.phase = finished
	r.outcome = cmd.GetOutcome()
	if r.outcome == nil {
		r.outcome = &controlv1.BookingOutcome{}
	}
	// Only a released record can begin again, and a finished record can no longer
	// be released.
	r.closed = nil
	return &controlv1.BookingResponse{State: controlv1.BookingResponse_FINISHED, Outcome: r.outcome}
}

// release frees the key after proof that the attempt did not run. Only a release
// by the holder changes the phase. An attempt that does not hold the key, because
// its begin has not arrived yet or another attempt began first, is closed so that
// its begin has no effect when it arrives later.
func (b *bookings) release(cmd *controlv1.ReleaseBooking) *controlv1.BookingResponse {
	c, r := b.find(cmd.GetKey())
	if r == nil {
		if c.expired(cmd.GetKey().GetKey()) {
			return response(controlv1.BookingResponse_EXPIRED)
		}
		if c != nil && len(c.records) >= b.recordLimit {
			return response(controlv1.BookingResponse_FULL)
		}
		r = &record{customer: cmd.GetKey().GetCustomer(), key: cmd.GetKey().GetKey()}
		b.insert(r)
	}
	if r.phase == finished {
		return &controlv1.BookingResponse{State: controlv1.BookingResponse_FINISHED, Outcome: r.outcome}
	}
	r.close(cmd.GetAttemptId())
	if r.phase == started && r.holder != cmd.GetAttemptId() {
		return response(controlv1.BookingResponse_STARTED)
	}
	r.phase, r.holder, r.bodyHash = released, "", nil
	return response(controlv1.BookingResponse_RELEASED)
}

// expire turns up to limit records inserted before beforeMs into tombstones.
// Released records leave no tombstone and are deleted only when a second expiry
// reaches them: a release carries no time and does not advance nowMs, so that its
// record may be newer than insertedAtMs says.
func (b *bookings) expire(beforeMs int64, limit int) int {
	b.nowMs = max(b.nowMs, beforeMs)
	n, i := 0, 0
	for ; i < len(b.queue) && n < limit; i++ {
		r := b.queue[i]
		if r.removed {
			b.removed--
			continue
		}
		if r.insertedAtMs >= beforeMs {
			break
		}
		n++
		if r.phase == released && !r.expiredOnce {
			r.expiredOnce = true
			b.insert(r)
			continue
		}
		c := b.customers[r.customer]
		delete(c.records, r.key)
		b.bytes -= r.size()
		if r.phase != released {
			c.tombstones[tombstoneOf(r.key)] = struct{}{}
			b.bytes += tombstoneBytes
		}
		if len(c.records) == 0 && len(c.tombstones) == 0 {
			delete(b.customers, r.customer)
		}
	}
	b.queue = b.queue[i:]
	return n
}

// OldestRecordMs returns the time of the oldest booking record. The leader uses it
// to decide when to propose an expiry.
func (s *State) OldestRecordMs() (int64, bool) {
	for _, r := range s.bookings.queue {
		if !r.removed {
			return r.insertedAtMs, true
		}
	}
	return 0, false
}

// BookingBytes returns about what the booking records and tombstones take in memory.
func (s *State) BookingBytes() int64 { return s.bookings.bytes }

// HoldsBooking reports whether a key has an attempt that started or an outcome.
func (s *State) HoldsBooking(k *controlv1.BookingKey) bool {
	c, r := s.bookings.find(k)
	return r != nil && r.phase != released || c.expired(k.GetKey())
}

// Records returns the number of booking records and the number of tombstones.
func (s *State) Records() (records, tombstones int) {
	for _, c := range s.bookings.customers {
		records += len(c.records)
		tombstones += len(c.tombstones)
	}
	return records, tombstones
}

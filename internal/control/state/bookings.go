package state

import (
	"bytes"
	"crypto/sha256"
	"slices"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

type phase uint8

const (
	// released: no attempt holds the key and none of the closed attempts may.
	released phase = iota
	// started: the holder may have run the request.
	started
	// finished: the outcome is known.
	finished
)

// closedAttempt is an attempt that can never hold the key again: it was
// released, or answered that another attempt holds the key. A late or repeated
// message of it must not begin the booking.
type closedAttempt struct {
	id       string
	released bool
}

// record is the booking record of one key of a customer.
type record struct {
	customer, key string
	// seq orders records by the time they were begun.
	seq  uint64
	atMs int64
	// due is set on a released record whose age was reached once; see expire.
	due     bool
	gone    bool
	phase   phase
	hash    []byte
	holder  string
	outcome *controlv1.BookingOutcome
	closed  []closedAttempt
}

// tombstone is the start of the SHA-256 of a key whose record has expired. At
// 128 bits no two keys of a customer share one.
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
	// queue holds the records by seq; those with gone set are skipped.
	queue []*record
	gone  int
	seq   uint64
	// nowMs is the latest time seen in a command. It never falls, so that the
	// queue is in the order of time although leaders' clocks differ.
	nowMs int64
	limit int
}

func newBookings() bookings {
	return bookings{customers: make(map[string]*customer), limit: MaxRecords}
}

func answer(state controlv1.BookingResponse_State) *controlv1.BookingResponse {
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

// begin gives the key to the attempt if nobody holds it.
func (b *bookings) begin(cmd *controlv1.BeginBooking) *controlv1.BookingResponse {
	b.nowMs = max(b.nowMs, cmd.GetAtMs())
	c, r := b.find(cmd.GetKey())
	if r == nil {
		if c.expired(cmd.GetKey().GetKey()) {
			return answer(controlv1.BookingResponse_EXPIRED)
		}
		if c != nil && len(c.records) >= b.limit {
			return answer(controlv1.BookingResponse_FULL)
		}
		b.hold(&record{customer: cmd.GetKey().GetCustomer(), key: cmd.GetKey().GetKey()}, cmd)
		return answer(controlv1.BookingResponse_BEGUN)
	}
	// The hash of a released record binds nobody: its request did not run.
	if r.phase != released && !bytes.Equal(r.hash, cmd.GetBodyHash()) {
		return answer(controlv1.BookingResponse_MISMATCH)
	}
	if r.phase == finished {
		return &controlv1.BookingResponse{State: controlv1.BookingResponse_FINISHED, Outcome: r.outcome}
	}
	if closed, ok := r.find(cmd.GetAttemptId()); ok {
		if closed.released {
			return answer(controlv1.BookingResponse_RELEASED)
		}
		return answer(controlv1.BookingResponse_STARTED)
	}
	if r.phase == started {
		if r.holder == cmd.GetAttemptId() {
			return answer(controlv1.BookingResponse_BEGUN)
		}
		r.refuse(cmd.GetAttemptId())
		return answer(controlv1.BookingResponse_STARTED)
	}
	b.drop(r)
	b.hold(&record{customer: r.customer, key: r.key, closed: r.closed}, cmd)
	return answer(controlv1.BookingResponse_BEGUN)
}

// hold makes the attempt of cmd the holder of the new record r.
func (b *bookings) hold(r *record, cmd *controlv1.BeginBooking) {
	r.phase = started
	r.hash = bytes.Clone(cmd.GetBodyHash())
	r.holder = cmd.GetAttemptId()
	b.insert(r)
}

func (b *bookings) insert(r *record) {
	b.seq++
	r.seq, r.atMs = b.seq, b.nowMs
	b.customer(r.customer).records[r.key] = r
	b.queue = append(b.queue, r)
}

// drop takes r out of the queue; the caller replaces or deletes its map entry.
func (b *bookings) drop(r *record) {
	r.gone = true
	b.gone++
	if b.gone < 1024 || b.gone < len(b.queue)/2 {
		return
	}
	kept := make([]*record, 0, len(b.queue)-b.gone)
	for _, q := range b.queue {
		if !q.gone {
			kept = append(kept, q)
		}
	}
	b.queue, b.gone = kept, 0
}

func (r *record) find(attempt string) (closedAttempt, bool) {
	for _, c := range r.closed {
		if c.id == attempt {
			return c, true
		}
	}
	return closedAttempt{}, false
}

// refuse remembers an attempt that was answered STARTED. Beyond maxRefused the
// oldest refused one is forgotten; released ones never are.
func (r *record) refuse(attempt string) {
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
	if refused >= maxRefused {
		kept = append(append([]closedAttempt(nil), r.closed[:oldest]...), r.closed[oldest+1:]...)
	}
	r.closed = append(kept, closedAttempt{id: attempt})
}

// close marks an attempt as released. A frozen copy may share the list, so that
// elements are replaced in a new one.
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

// finish stores the outcome of the holder. A repeat answers the stored one.
func (b *bookings) finish(cmd *controlv1.FinishBooking) *controlv1.BookingResponse {
	c, r := b.find(cmd.GetKey())
	switch {
	case r == nil && c.expired(cmd.GetKey().GetKey()):
		return answer(controlv1.BookingResponse_EXPIRED)
	case r == nil:
		return answer(controlv1.BookingResponse_RELEASED)
	case r.phase == finished:
		return &controlv1.BookingResponse{State: controlv1.BookingResponse_FINISHED, Outcome: r.outcome}
	case r.phase == released:
		return answer(controlv1.BookingResponse_RELEASED)
	case r.holder != cmd.GetAttemptId():
		return answer(controlv1.BookingResponse_STARTED)
	}
	r.phase = finished
	r.outcome = cmd.GetOutcome()
	if r.outcome == nil {
		r.outcome = &controlv1.BookingOutcome{}
	}
	// Only a released record can begin again, and this one no longer can be.
	r.closed = nil
	return &controlv1.BookingResponse{State: controlv1.BookingResponse_FINISHED, Outcome: r.outcome}
}

// release gives the key back with proof that the attempt did not run. Only the
// holder changes the record. An attempt that holds nothing, because its begin
// is still on the way or another one was faster, is closed so that a late
// begin of it has no effect.
func (b *bookings) release(cmd *controlv1.ReleaseBooking) *controlv1.BookingResponse {
	c, r := b.find(cmd.GetKey())
	if r == nil {
		if c.expired(cmd.GetKey().GetKey()) {
			return answer(controlv1.BookingResponse_EXPIRED)
		}
		if c != nil && len(c.records) >= b.limit {
			return answer(controlv1.BookingResponse_FULL)
		}
		r = &record{customer: cmd.GetKey().GetCustomer(), key: cmd.GetKey().GetKey()}
		b.insert(r)
	}
	if r.phase == finished {
		return &controlv1.BookingResponse{State: controlv1.BookingResponse_FINISHED, Outcome: r.outcome}
	}
	r.close(cmd.GetAttemptId())
	if r.phase == started && r.holder != cmd.GetAttemptId() {
		return answer(controlv1.BookingResponse_STARTED)
	}
	r.phase, r.holder, r.hash = released, "", nil
	return answer(controlv1.BookingResponse_RELEASED)
}

// expire turns up to limit records begun before beforeMs into tombstones. A
// released record leaves none, but only the second expiry that reaches it drops
// it: a release carries no time, so its record may look older than it is.
func (b *bookings) expire(beforeMs int64, limit int) int {
	b.nowMs = max(b.nowMs, beforeMs)
	n, i := 0, 0
	for ; i < len(b.queue) && n < limit; i++ {
		r := b.queue[i]
		if r.gone {
			b.gone--
			continue
		}
		if r.atMs >= beforeMs {
			break
		}
		n++
		if r.phase == released && !r.due {
			r.due = true
			b.insert(r)
			continue
		}
		c := b.customers[r.customer]
		delete(c.records, r.key)
		if r.phase != released {
			c.tombstones[tombstoneOf(r.key)] = struct{}{}
		}
		if len(c.records) == 0 && len(c.tombstones) == 0 {
			delete(b.customers, r.customer)
		}
	}
	b.queue = b.queue[i:]
	return n
}

// OldestRecordMs returns the time of the oldest booking record, for the leader
// to decide when to expire.
func (s *State) OldestRecordMs() (int64, bool) {
	for _, r := range s.bookings.queue {
		if !r.gone {
			return r.atMs, true
		}
	}
	return 0, false
}

// Records returns the number of booking records and of tombstones.
func (s *State) Records() (records, tombstones int) {
	for _, c := range s.bookings.customers {
		records += len(c.records)
		tombstones += len(c.tombstones)
	}
	return records, tombstones
}

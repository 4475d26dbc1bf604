package usage

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
)

const (
	// maxCountsPerPoll bounds the counts in one poll. 8,192 counts are about 160 KB, which
	// a link of 7.5 Mbit/s carries within 0.2 s; what is left goes with the next polls.
	maxCountsPerPoll = 8192
	// timeInterval is the time between two polls of a member that carry the time of day. A
	// steady clock keeps the offset meanwhile.
	timeInterval = 2 * time.Second
	// maxRoundTrip is the longest round trip after which the times in a poll and its response
	// are used. Longer ones occur where this entry was suspended meanwhile, and would move the
	// offsets of all members at once by half of that time.
	maxRoundTrip = 500 * time.Millisecond
)

// Counter counts requests at an entry. It is safe for concurrent use.
type Counter struct {
	length time.Duration
	// start distinguishes processes of the same instance.
	start            int64
	counted, dropped tally.Counter
	ownError         tally.Gauge

	mu   sync.Mutex
	time Estimate
	// revision increases with each counted request.
	revision uint64
	windows  map[int64]*entryWindow
}

// entryWindow holds the counts of one window in columns, so that a poll copies what has
// changed without a lookup by name.
type entryWindow struct {
	revision  uint64 // of the last change
	customers map[string]int
	names     []string
	counts    []versionedCount
}

type versionedCount struct{ count, revision uint64 }

// NewCounter returns a counter of windows of the given length. The times are readings of
// the steady clock and the wall clock; the wall clock names the start of the process too.
func NewCounter(length time.Duration, steady, wall time.Time, scope tally.Scope) *Counter {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &Counter{
		length: length, start: wall.UnixMilli(), time: newEstimate(steady, wall, false), windows: make(map[int64]*entryWindow),
		counted: scope.Counter("usage_requests_counted"), dropped: scope.Counter("usage_counts_dropped"), ownError: scope.Gauge("usage_clock_error_seconds"),
	}
}

// Begin counts a request of a customer that an endpoint began to run at a steady time.
func (c *Counter) Begin(customer string, at time.Time) {
	c.mu.Lock()
	counted := c.count(customer, at)
	c.mu.Unlock()
	if counted {
		c.counted.Inc(1)
	} else {
		c.dropped.Inc(1)
	}
}

func (c *Counter) count(customer string, at time.Time) bool {
	now := c.time.At(at)
	number := windowAt(now, c.length)
	w := c.windows[number]
	if w == nil {
		c.prune(now)
		w = &entryWindow{customers: make(map[string]int)}
		c.windows[number] = w
	}
	i, known := w.customers[customer]
	if !known {
		if len(w.names) >= maxCustomers {
			return false
		}
		i = len(w.names)
		w.customers[customer] = i
		w.names, w.counts = append(w.names, customer), append(w.counts, versionedCount{})
	}
	c.revision++
	w.revision = c.revision
	w.counts[i] = versionedCount{count: w.counts[i].count + 1, revision: c.revision}
	return true
}

// prune drops windows past their retention, and those as far in the future, which a wrong
// estimate has left behind.
func (c *Counter) prune(now time.Time) {
	for number := range c.windows {
		if age := now.Sub(windowEnd(number, c.length)); age > entryRetention || age < -entryRetention {
			delete(c.windows, number)
		}
	}
}

// Progress is what one member has received from a Counter. The zero value is a member that
// has received nothing. It is not safe for concurrent use, and only one poll of the member may be
// in flight.
type Progress struct {
	// epoch is that of the member's last response, and cursor the revision of the counter
	// that it has.
	epoch, cursor uint64
	// timeSentAt is when a poll carried the time of day last.
	timeSentAt time.Time
}

// Sent describes the content of a poll for Acknowledge.
type Sent struct {
	from, to uint64
	at       time.Time
	timed    bool
}

// Prepare adds to a poll of a member what has changed since the member's last response.
func (c *Counter) Prepare(p *Progress, steady, wall time.Time, req *directoryv1.SyncRequest) Sent {
	sent := Sent{from: p.cursor, at: steady}
	if p.timeSentAt.IsZero() || steady.Sub(p.timeSentAt) >= timeInterval {
		req.TimeOfDayMs, sent.timed = wall.UnixMilli(), true
	}
	c.mu.Lock()
	c.time.ObserveOwn(steady, wall)
	c.prune(c.time.At(steady))
	sent.to = c.revision
	ownError := c.time.OwnError()
	c.mu.Unlock()
	c.ownError.Update(ownError.Seconds())
	changes := c.changesSince(p.cursor)
	if len(changes) > maxCountsPerPoll {
		slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(a.revision, b.revision) })
		changes = changes[:maxCountsPerPoll]
		sent.to = changes[len(changes)-1].revision
	}
	if len(changes) > 0 {
		req.ProcessStartMs, req.Usage = c.start, packChanges(changes)
	}
	return sent
}

// change is a count that a member lacks.
type change struct {
	versionedCount
	window   int64
	customer string
}

// changesSince returns the counts that have changed after a revision. Only these are sent, not
// the other customers of the same windows, since most entries serve few customers between
// two polls. It may include counts of requests that began meanwhile.
func (c *Counter) changesSince(revision uint64) (out []change) {
	for _, number := range c.windowsSince(revision) {
		names, counts := c.copyWindow(number)
		for i, v := range counts {
			if v.revision > revision {
				out = append(out, change{versionedCount: v, window: number, customer: names[i]})
			}
		}
	}
	return out
}

func (c *Counter) windowsSince(revision uint64) (out []int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for number, w := range c.windows {
		if w.revision > revision {
			out = append(out, number)
		}
	}
	return out
}

// copyWindow returns the columns of one window. Begin waits for a copy, so the counts are
// looked through afterwards. Names are only appended, which leaves those returned as they are.
func (c *Counter) copyWindow(number int64) ([]string, []versionedCount) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.windows[number]
	if w == nil {
		return nil, nil
	}
	return w.names, slices.Clone(w.counts)
}

func packChanges(changes []change) (out []*directoryv1.UsageWindow) {
	byNumber := make(map[int64]*directoryv1.UsageWindow)
	for _, ch := range changes {
		w := byNumber[ch.window]
		if w == nil {
			w = &directoryv1.UsageWindow{Window: ch.window, Counts: make(map[string]uint64)}
			byNumber[ch.window] = w
			out = append(out, w)
		}
		w.Counts[ch.customer] = ch.count
	}
	slices.SortFunc(out, func(a, b *directoryv1.UsageWindow) int { return cmp.Compare(a.Window, b.Window) })
	return out
}

// Acknowledge records the response to a poll, which arrived at a steady time. A member with
// another epoch than before has restarted. It has only what the poll carried.
func (c *Counter) Acknowledge(p *Progress, sent Sent, member string, steady time.Time, res *directoryv1.SyncResponse) {
	p.cursor = sent.to
	prompt := steady.Sub(sent.at) <= maxRoundTrip
	if sent.timed && prompt {
		p.timeSentAt = sent.at
	}
	if res.GetEpoch() != p.epoch {
		p.epoch = res.GetEpoch()
		if sent.from != 0 {
			p.cursor = 0
		}
		if !sent.timed {
			p.timeSentAt = time.Time{}
		}
	}
	if ms := res.GetTrueTimeMs(); ms != 0 && prompt {
		// The member read its clock between the two; half of the round trip is the best guess.
		c.mu.Lock()
		c.time.Observe(member, sent.at.Add(steady.Sub(sent.at)/2), time.UnixMilli(ms))
		c.mu.Unlock()
	}
}

// Delivered reports whether a member has received all counts.
func (c *Counter) Delivered(p *Progress) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return p.cursor >= c.revision
}

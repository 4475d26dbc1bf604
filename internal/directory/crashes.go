package directory

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/quarantine"
)

var (
	eventQuarantined = event.Define(7104, "part-quarantined", event.Warn, "a prompt part or a request crashes the endpoints that run it; requests with it are refused")
	eventReleased    = event.Define(7105, "part-released", event.Info, "requests with a prompt part, or a request, are accepted again")
)

// Crashes holds the crash reports that this process has observed or received. It is safe
// for concurrent use.
type Crashes struct {
	events *event.Recorder
	size   tally.Gauge
	// added receives a value after this process has observed a crash.
	added chan struct{}
	// changed receives a value after the quarantined parts have changed.
	changed chan struct{}
	// quarantined is read for each request, without the lock.
	quarantined atomic.Pointer[map[string]bool]

	mu     sync.Mutex
	ledger *quarantine.Ledger
}

// NewCrashes returns an empty set of reports.
func NewCrashes(events *event.Recorder, scope tally.Scope) *Crashes {
	if scope == nil {
		scope = tally.NoopScope
	}
	c := &Crashes{events: events, size: scope.Gauge("quarantined_parts"), added: make(chan struct{}, 1), changed: make(chan struct{}, 1), ledger: quarantine.NewLedger()}
	c.quarantined.Store(&map[string]bool{})
	return c
}

// Added returns a channel that receives a value after Add.
func (c *Crashes) Added() <-chan struct{} { return c.added }

// Changed returns a channel that receives a value after a change of the quarantine.
func (c *Crashes) Changed() <-chan struct{} { return c.changed }

// Add records a crash that this process observed, with the requests that may have caused it.
func (c *Crashes) Add(now time.Time, reports ...quarantine.Report) {
	c.update(func(l *quarantine.Ledger) bool { return l.Add(now, reports...) })
	select {
	case c.added <- struct{}{}:
	default:
	}
}

// Merge records reports of another process.
func (c *Crashes) Merge(now time.Time, reports []quarantine.Report) {
	if len(reports) == 0 {
		return
	}
	c.update(func(l *quarantine.Ledger) bool { return l.Merge(now, reports...) })
}

// RecordAnswered records a complete answer to a request with the parts.
func (c *Crashes) RecordAnswered(now time.Time, parts []string) {
	if len(parts) > 0 {
		c.update(func(l *quarantine.Ledger) bool {
			before := l.Revision()
			l.RecordAnswered(now, parts)
			return l.Revision() != before
		})
	}
}

// Update draws the conclusions that depend on the time; see quarantine.Ledger.Update.
func (c *Crashes) Update(now time.Time) {
	c.update(func(l *quarantine.Ledger) bool { l.Update(now); return true })
}

// Find returns the first quarantined part.
func (c *Crashes) Find(parts []string) (string, bool) {
	quarantined := *c.quarantined.Load()
	if len(quarantined) == 0 {
		return "", false
	}
	if i := slices.IndexFunc(parts, func(p string) bool { return quarantined[p] }); i >= 0 {
		return parts[i], true
	}
	return "", false
}

// Since returns the reports that have changed since a revision, and the present revision.
func (c *Crashes) Since(revision uint64) ([]quarantine.Report, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Since(revision), c.ledger.Revision()
}

// Missing returns what another ledger lacks; see quarantine.Ledger.Missing.
func (c *Crashes) Missing(now time.Time, known func(quarantine.Key) []quarantine.Soundness, forwardDelay time.Duration) []quarantine.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Missing(now, known, forwardDelay)
}

// update changes the ledger and publishes what changed in the quarantine.
func (c *Crashes) update(change func(l *quarantine.Ledger) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !change(c.ledger) {
		return
	}
	before, after := *c.quarantined.Load(), c.ledger.Quarantined()
	if maps.Equal(before, after) {
		return
	}
	c.quarantined.Store(&after)
	select {
	case c.changed <- struct{}{}:
	default:
	}
	c.size.Update(float64(len(after)))
	for part := range after {
		if !before[part] {
			c.emit(eventQuarantined, part)
		}
	}
	for part := range before {
		if !after[part] {
			c.emit(eventReleased, part)
		}
	}
}

// emit records an event with the crashes that speak against a part.
func (c *Crashes) emit(e *event.Event, part string) {
	var endpoints, requests []string
	for _, r := range c.ledger.Against(part) {
		endpoints, requests = append(endpoints, r.Endpoint), append(requests, r.Request)
	}
	c.events.Emit(e, event.F("part", part), event.F("endpoints", strings.Join(endpoints, ",")), event.F("requests", strings.Join(requests, ",")))
}

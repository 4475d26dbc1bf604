package directory

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
)

const (
	// limitRetention is how long a limit is remembered after it was last observed.
	limitRetention = 2 * time.Minute
	// permitTimeout bounds the request for a permit.
	permitTimeout = 100 * time.Millisecond
	// permitBurst is the time whose permits may be given at once, and minPermitBurst the
	// number that may be at least. Requests with shared prompt parts do not arrive evenly.
	permitBurst    = time.Second
	minPermitBurst = 2.0
	// minPermitWait and maxPermitWait bound the time for which an entry is told to wait for a
	// permit. Messages hold it in milliseconds.
	minPermitWait = time.Millisecond
	maxPermitWait = time.Second
)

// endpointKey identifies an incarnation of an endpoint.
type endpointKey struct {
	id          string
	incarnation int64
}

// permits is a token bucket for the requests to one endpoint.
type permits struct {
	available float64
	at        time.Time
}

// take takes a permit, or returns the time until there is one.
func (p *permits) take(now time.Time, perSecond float64) (granted bool, wait time.Duration) {
	capacity := max(minPermitBurst, perSecond*permitBurst.Seconds())
	p.available = min(capacity, p.available+perSecond*max(0, now.Sub(p.at).Seconds()))
	p.at = now
	if p.available < 1 {
		return false, min(maxPermitWait, max(minPermitWait, time.Duration((1-p.available)/perSecond*float64(time.Second))))
	}
	p.available--
	return true, 0
}

// limitTable holds the limits of endpoints at one member, and the permits for those that
// the member coordinates. It does no I/O and is not safe for concurrent use.
type limitTable struct {
	revision uint64
	limits   map[endpointKey]*limitRecord
}

type limitRecord struct {
	limit    dispatch.Limit
	revision uint64
	permits  permits
}

func newLimitTable() *limitTable { return &limitTable{limits: make(map[endpointKey]*limitRecord)} }

// observe records a limit, unless a later observation is known.
func (t *limitTable) observe(now time.Time, key endpointKey, l dispatch.Limit) *limitRecord {
	rec := t.limits[key]
	if rec == nil {
		if len(t.limits) >= maxEndpoints {
			return nil
		}
		// There is no permit at first, since another member may just have given some.
		rec = &limitRecord{permits: permits{at: now}}
		t.limits[key] = rec
	}
	if !l.At.After(rec.limit.At) {
		return rec
	}
	if l.PerSecond != rec.limit.PerSecond {
		t.revision++
		rec.revision = t.revision
	}
	rec.limit = l
	return rec
}

// acquire takes a permit to send a request to an endpoint.
func (t *limitTable) acquire(now time.Time, key endpointKey, l dispatch.Limit) (granted bool, wait time.Duration) {
	rec := t.observe(now, key, l)
	if rec == nil {
		return false, maxPermitWait
	}
	if rec.limit.PerSecond == 0 {
		return true, 0
	}
	return rec.permits.take(now, rec.limit.PerSecond)
}

// since returns the limits that have changed since a revision.
func (t *limitTable) since(revision uint64) map[endpointKey]dispatch.Limit {
	out := make(map[endpointKey]dispatch.Limit)
	for key, rec := range t.limits {
		if rec.revision > revision {
			out[key] = rec.limit
		}
	}
	return out
}

// expire removes limits that have not been observed for limitRetention.
func (t *limitTable) expire(now time.Time) {
	maps.DeleteFunc(t.limits, func(_ endpointKey, rec *limitRecord) bool { return now.Sub(rec.limit.At) > limitRetention })
}

// packLimits encodes limits as messages, with their ages in place of times.
func packLimits(now time.Time, limits map[endpointKey]dispatch.Limit) (out []*directoryv1.EndpointLimit) {
	for key, l := range limits {
		out = append(out, packLimit(now, key, l))
	}
	slices.SortFunc(out, func(a, b *directoryv1.EndpointLimit) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

func packLimit(now time.Time, key endpointKey, l dispatch.Limit) *directoryv1.EndpointLimit {
	return &directoryv1.EndpointLimit{
		Endpoint: key.id, Incarnation: key.incarnation, PerSecond: l.PerSecond, AgeMs: uint32(max(0, now.Sub(l.At).Milliseconds())),
	}
}

func unpackLimit(now time.Time, m *directoryv1.EndpointLimit) (endpointKey, dispatch.Limit) {
	perSecond := m.GetPerSecond()
	if !(perSecond >= 0) || math.IsInf(perSecond, 0) {
		perSecond = 0
	}
	return endpointKey{m.GetEndpoint(), m.GetIncarnation()}, dispatch.Limit{PerSecond: perSecond, At: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)}
}

// Limits holds the limits of endpoints as this entry and the others have observed them,
// and acquires permits for requests to these endpoints. It is safe for concurrent use.
type Limits struct {
	// coordinate asks the coordinator of an endpoint for a permit; nil if there is none.
	coordinate func(ctx context.Context, key endpointKey, l dispatch.Limit) (granted bool, wait time.Duration, err error)
	// entries returns the number of entries that send to the same endpoints.
	entries func() int

	acquired, denied, alone tally.Counter

	mu sync.Mutex
	// own holds what this entry has observed, shared what members have told.
	own, shared map[endpointKey]dispatch.Limit
	// changed is set if shared has changed since the last call of Changed.
	changed bool
	// fallback holds this entry's part of the permits while no coordinator responds.
	// coordinatedAt is when one last responded.
	fallback      map[endpointKey]*permits
	coordinatedAt time.Time
}

// NewLimits returns an empty set of limits without a coordinator.
func NewLimits(scope tally.Scope) *Limits {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &Limits{
		entries: func() int { return 1 }, own: make(map[endpointKey]dispatch.Limit), shared: make(map[endpointKey]dispatch.Limit), fallback: make(map[endpointKey]*permits),
		acquired: scope.Counter("permits_acquired"), denied: scope.Counter("permits_denied"), alone: scope.Counter("permits_without_coordinator"),
	}
}

// UseService makes the directory of a member in the same process the coordinator.
func (l *Limits) UseService(s *Service, entries int) {
	l.entries = func() int { return entries }
	l.coordinate = func(_ context.Context, key endpointKey, limit dispatch.Limit) (bool, time.Duration, error) {
		granted, wait := s.acquire(time.Now(), key, limit)
		return granted, wait, nil
	}
}

// Observe records a limit that an endpoint has named to this entry.
func (l *Limits) Observe(e dispatch.Endpoint, limit dispatch.Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own[endpointKey{e.ID, e.Incarnation}] = limit
}

// Of returns the latest limit of an endpoint that other entries have observed, the zero
// value if there is none.
func (l *Limits) Of(id string, incarnation int64) dispatch.Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shared[endpointKey{id, incarnation}]
}

// Changed reports whether other entries have observed a change since the last call.
func (l *Limits) Changed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := l.changed
	l.changed = false
	return changed
}

// Acquire asks for a permit to send a request to an endpoint that names a limit. If it is
// denied, no request may be sent there for the time returned. While the coordinator does
// not respond, the entry uses its part of the permits.
func (l *Limits) Acquire(ctx context.Context, e dispatch.Endpoint, limit dispatch.Limit) (granted bool, wait time.Duration) {
	key := endpointKey{e.ID, e.Incarnation}
	err := Error.New("no coordinator")
	if l.coordinate != nil {
		granted, wait, err = l.coordinate(ctx, key, limit)
	}
	if err != nil {
		l.alone.Inc(1)
		granted, wait = l.takeAlone(time.Now(), key, limit)
	} else {
		l.recordCoordinated(time.Now())
	}
	if granted {
		l.acquired.Inc(1)
	} else {
		l.denied.Inc(1)
	}
	return granted, wait
}

func (l *Limits) recordCoordinated(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coordinatedAt = now
}

// takeAlone takes one of this entry's part of the permits. None remain from before the last
// response of a coordinator, which gave out those of that time.
func (l *Limits) takeAlone(now time.Time, key endpointKey, limit dispatch.Limit) (granted bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.fallback[key]
	if p == nil || p.at.Before(l.coordinatedAt) {
		p = &permits{at: now}
		l.fallback[key] = p
	}
	return p.take(now, limit.PerSecond/float64(max(1, l.entries())))
}

// merge records limits that a member has told.
func (l *Limits) merge(now time.Time, messages []*directoryv1.EndpointLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range messages {
		if key, limit := unpackLimit(now, m); limit.At.After(l.shared[key].At) {
			l.shared[key], l.changed = limit, true
		}
	}
}

// unreported returns the observations of this entry that differ from those that a member
// has been told, and expires old ones.
func (l *Limits) unreported(now time.Time, reported map[endpointKey]dispatch.Limit) map[endpointKey]dispatch.Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	isOld := func(_ endpointKey, limit dispatch.Limit) bool { return now.Sub(limit.At) > limitRetention }
	maps.DeleteFunc(l.own, isOld)
	maps.DeleteFunc(l.shared, isOld)
	maps.DeleteFunc(l.fallback, func(_ endpointKey, p *permits) bool { return now.Sub(p.at) > limitRetention })
	out := make(map[endpointKey]dispatch.Limit)
	for key, limit := range l.own {
		if known, ok := reported[key]; !ok || limit.PerSecond != known.PerSecond || limit.At.After(known.At) {
			out[key] = limit
		}
	}
	return out
}

// coordinatorWeight ranks the members as coordinators of an endpoint. All entries choose
// the member with the highest weight among those that respond.
func coordinatorWeight(member string, key endpointKey) uint64 {
	return xxhash.Sum64String(member + " " + key.id)
}

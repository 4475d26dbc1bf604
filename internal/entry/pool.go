package entry

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/settings"
	"auburnstep.example/auburnstep/internal/verdict"
)

const (
	// numTiers is the number of priority tiers; 0 is the highest tier.
	numTiers   = 3
	lowestTier = numTiers - 1

	// DefaultBodyMemory (in bytes) and DefaultMaxRequests replace zero values in
	// Options.
	DefaultBodyMemory  = 256 << 20
	DefaultMaxRequests = 4096
	// MinBodyMemory is the smallest Options.BodyMemory, in bytes, that admits the largest
	// body allowed by body.max (64 MiB): the lowest tier can use half of the memory.
	MinBodyMemory = 128 << 20

	// initialReservation is the number of bytes reserved at first for a body of unknown
	// length. The reservation doubles as the body grows.
	initialReservation = 64 << 10
	// responseChargeStep is the number of bytes by which the charge for a buffered
	// response grows.
	responseChargeStep = 16 << 10
	// overloadRetryAfter is the Retry-After of a request that is refused because a pool
	// has no capacity left.
	overloadRetryAfter = time.Second
)

// tieredPool divides an amount of a resource among the tiers. An eighth is guaranteed
// to each tier, so that none starves. The rest is shared: tier 1 may reserve from it
// only until four fifths are in use, and tier 2 until three fifths are in use, so that
// lower tiers always leave capacity for higher tiers.
type tieredPool struct {
	mu    sync.Mutex
	total int64
	used  [numTiers]int64
	// gauge exports the sum of used. It may be nil.
	gauge tally.Gauge
}

// adjustLocked adds n to the tier's use. The caller must hold mu.
func (p *tieredPool) adjustLocked(tier int, n int64) {
	p.used[tier] += n
	if p.gauge != nil {
		p.gauge.Update(float64(p.used[0] + p.used[1] + p.used[2]))
	}
}

// guaranteed returns the amount that is guaranteed to each tier.
func (p *tieredPool) guaranteed() int64 { return p.total / 8 }

// fits reports whether the tier may reserve n more. The caller must hold mu.
func (p *tieredPool) fits(tier int, n int64) bool {
	guaranteed := p.guaranteed()
	if p.used[tier]+n <= guaranteed {
		return true
	}
	sharedUse := n
	for t, used := range p.used {
		// The unused part of another tier's guarantee is not available.
		if excess := used - guaranteed; t == tier || excess > 0 {
			sharedUse += excess
		}
	}
	shared := p.total - numTiers*guaranteed
	return sharedUse <= shared-shared*int64(tier)/5
}

// tryReserve reserves n for the tier if it fits, and reports whether it did.
func (p *tieredPool) tryReserve(tier int, n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.fits(tier, n) {
		return false
	}
	p.adjustLocked(tier, n)
	return true
}

// adjust adds n to the tier's use without a check of the capacity. A negative n
// releases capacity.
func (p *tieredPool) adjust(tier int, n int64) {
	p.mu.Lock()
	p.adjustLocked(tier, n)
	p.mu.Unlock()
}

// moveTier moves a reservation of n to another tier if it fits there.
func (p *tieredPool) moveTier(from, to int, n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used[from] -= n
	if !p.fits(to, n) {
		p.used[from] += n
		return false
	}
	p.used[to] += n
	return true
}

// reservation is the share of the pools that one request holds. It is not safe for
// concurrent use.
type reservation struct {
	// memory is the body pool of the server, requestPool its pool of requests in
	// flight.
	memory, requestPool *tieredPool
	tier                int
	heldBytes           int64
}

// reserveRequest counts the request against the limit of requests in flight.
func (s *Server) reserveRequest(tier int) (*reservation, *verdict.Error) {
	if !s.requestPool.tryReserve(tier, 1) {
		return nil, verdict.Overloaded("too_many_requests_in_flight",
			"this entry serves as many requests as it may; use another entry", overloadRetryAfter)
	}
	return &reservation{memory: s.bodyPool, requestPool: s.requestPool, tier: tier}, nil
}

// release returns everything to the pools.
func (r *reservation) release() {
	r.memory.adjust(r.tier, -r.heldBytes)
	r.requestPool.adjust(r.tier, -1)
}

// reserve reserves n more bytes and reports whether they fit.
func (r *reservation) reserve(n int64) bool {
	if !r.memory.tryReserve(r.tier, n) {
		return false
	}
	r.heldBytes += n
	return true
}

// charge adds n bytes even if they do not fit. A response that is being buffered is
// not aborted for lack of memory; instead new requests are refused while the pool is
// full.
func (r *reservation) charge(n int64) {
	r.memory.adjust(r.tier, n)
	r.heldBytes += n
}

// moveToTier moves the reservation to the tier of the request, once it is known. If
// it does not fit there, it stays in the tier under which the request was admitted.
func (r *reservation) moveToTier(tier int) {
	if tier == r.tier || !r.requestPool.moveTier(r.tier, tier, 1) {
		return
	}
	if !r.memory.moveTier(r.tier, tier, r.heldBytes) {
		r.requestPool.adjust(tier, -1)
		r.requestPool.adjust(r.tier, 1)
		return
	}
	r.tier = tier
}

// chatTier returns the tier under which a chat request is admitted. The service is
// unknown until the body with the model has been read, so this is the lowest tier
// that the request can have in any service.
func chatTier(q *request, h http.Header) int {
	tier := -1
	for _, service := range q.index.Services() {
		name := h.Get(HeaderClass)
		if name == "" {
			name = service.DefaultClass
		}
		if class, ok := findClassPolicy(q.index, service, name, q.customer); ok && service.Engine {
			tier = max(tier, tierOf(class))
		}
	}
	if tier < 0 {
		return lowestTier
	}
	return tier
}

// tierOf returns the tier of a class, limited to the tiers of the pools.
func tierOf(c *settings.ClassPolicy) int { return min(c.Tier, lowestTier) }

func findClassPolicy(x *settings.Index, service *settings.ServicePolicy, name, customer string) (*settings.ClassPolicy, bool) {
	if name == "" {
		return nil, false
	}
	return x.ClassPolicy(service.Name, name, customer)
}

// readReservedBody reads a request body of at most limit bytes, within the read
// deadline that was set when the request arrived. It reserves memory before using it;
// for a body of known length it reserves all memory before the first read.
func readReservedBody(w http.ResponseWriter, r *http.Request, limit int64, reserved *reservation) ([]byte, *verdict.Error) {
	if r.ContentLength > limit {
		return nil, requestTooLarge(limit)
	}
	size := r.ContentLength
	if size < 0 {
		size = min(initialReservation, limit+1)
	}
	if !reserved.reserve(size) {
		return nil, bodyMemoryExhausted()
	}
	// With one extra byte, a body of the announced length reaches EOF without growing
	// the buffer.
	buf := make([]byte, 0, size+1)
	for {
		n, err := r.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > limit:
			return nil, requestTooLarge(limit)
		case err == io.EOF:
			clearReadDeadline(w)
			return buf, nil
		case err != nil:
			return nil, bodyUnreadable(err)
		case len(buf) == cap(buf):
			more := min(int64(cap(buf)), limit+1-int64(cap(buf)))
			if !reserved.reserve(more) {
				return nil, bodyMemoryExhausted()
			}
			buf = append(make([]byte, 0, int64(cap(buf))+more), buf...)
		}
	}
}

func bodyMemoryExhausted() *verdict.Error {
	return verdict.Overloaded("body_memory_exhausted",
		"this entry has no memory left for request bodies of this tier; use another entry", overloadRetryAfter)
}

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
	// tiers is the number of priority tiers; 0 is the highest.
	tiers      = 3
	lowestTier = tiers - 1

	// DefaultBodyMemory and DefaultMaxRequests apply where Options leave 0.
	DefaultBodyMemory  = 256 << 20
	DefaultMaxRequests = 4096
	// MinBodyMemory lets the largest body that body.max allows (64 MiB) into
	// the half that the lowest tier can use.
	MinBodyMemory = 128 << 20

	// reserveStep is the first part reserved for a body of unknown length. It
	// doubles as the body grows.
	reserveStep = 64 << 10
	// answerStep is how much of a collected answer is accounted at a time.
	answerStep = 16 << 10
	// overloadPause is the Retry-After of a request refused for lack of room.
	overloadPause = time.Second
)

// pool divides an amount among the tiers. An eighth belongs to each tier, so
// that none starves. The rest is common, but tier 1 may add to it only up to
// four fifths and tier 2 up to three fifths, so that a higher tier always finds
// room that lower tiers cannot fill.
type pool struct {
	mu    sync.Mutex
	total int64
	used  [tiers]int64
	// gauge shows the sum of used; it may be nil.
	gauge tally.Gauge
}

// change adds n to what the tier uses. The caller holds mu.
func (p *pool) change(tier int, n int64) {
	p.used[tier] += n
	if p.gauge != nil {
		p.gauge.Update(float64(p.used[0] + p.used[1] + p.used[2]))
	}
}

// own returns the part that belongs to each tier alone.
func (p *pool) own() int64 { return p.total / 8 }

// fits reports whether the tier may hold n more.
func (p *pool) fits(tier int, n int64) bool {
	own := p.own()
	if p.used[tier]+n <= own {
		return true
	}
	common := n
	for t, used := range p.used {
		// A tier below its own part lends nothing.
		if over := used - own; t == tier || over > 0 {
			common += over
		}
	}
	rest := p.total - tiers*own
	return common <= rest-rest*int64(tier)/5
}

// take reserves n for the tier and reports whether there was room.
func (p *pool) take(tier int, n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.fits(tier, n) {
		return false
	}
	p.change(tier, n)
	return true
}

// add accounts n, negative to give back, without asking for room.
func (p *pool) add(tier int, n int64) {
	p.mu.Lock()
	p.change(tier, n)
	p.mu.Unlock()
}

// move accounts n to another tier if there is room.
func (p *pool) move(from, to int, n int64) bool {
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

// room is what one request holds of the pools of an entry. It is used by one
// goroutine.
type room struct {
	bytes, requests *pool
	tier            int
	held            int64
}

// enter counts the request against the bound on requests in flight.
func (s *Server) enter(tier int) (*room, *verdict.Error) {
	if !s.requests.take(tier, 1) {
		return nil, verdict.Overloaded("too_many_requests_in_flight",
			"this entry serves as many requests as it may; use another entry", overloadPause)
	}
	return &room{bytes: s.bodies, requests: s.requests, tier: tier}, nil
}

// leave gives everything back.
func (r *room) leave() {
	r.bytes.add(r.tier, -r.held)
	r.requests.add(r.tier, -1)
}

// grow reserves n bytes more.
func (r *room) grow(n int64) bool {
	if !r.bytes.take(r.tier, n) {
		return false
	}
	r.held += n
	return true
}

// charge accounts n bytes that must not be refused: an answer that is being
// collected is not cut for lack of memory, it keeps new requests out instead.
func (r *room) charge(n int64) {
	r.bytes.add(r.tier, n)
	r.held += n
}

// settle accounts the request to its tier, once that is known. Without room
// there it stays where it was counted when it was admitted.
func (r *room) settle(tier int) {
	if tier == r.tier || !r.requests.move(r.tier, tier, 1) {
		return
	}
	if !r.bytes.move(r.tier, tier, r.held) {
		r.requests.add(tier, -1)
		r.requests.add(r.tier, 1)
		return
	}
	r.tier = tier
}

// chatTier returns the tier of a chat request before its body, which names the
// model and with it the service, was read: the lowest of the services that it
// may be for.
func chatTier(q *request, h http.Header) int {
	tier := -1
	for _, service := range q.index.Services() {
		name := h.Get(HeaderClass)
		if name == "" {
			name = service.DefaultClass
		}
		if class, ok := classOf(q.index, service, name, q.customer); ok && service.Engine {
			tier = max(tier, tierOf(class))
		}
	}
	if tier < 0 {
		return lowestTier
	}
	return tier
}

// tierOf returns the tier of a class, within the tiers that pools know.
func tierOf(c *settings.ClassPolicy) int { return min(c.Tier, lowestTier) }

func classOf(x *settings.Index, service *settings.ServicePolicy, name, customer string) (*settings.ClassPolicy, bool) {
	if name == "" {
		return nil, false
	}
	return x.ClassPolicy(service.Name, name, customer)
}

// readBounded reads at most limit bytes of a request body, within the deadline
// that was set when the request arrived.
// Memory is reserved before it is used: for a body of known length before the
// first byte is read.
func readBounded(w http.ResponseWriter, r *http.Request, limit int64, memory *room) ([]byte, *verdict.Error) {
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	size := r.ContentLength
	if size < 0 {
		size = min(reserveStep, limit+1)
	}
	if !memory.grow(size) {
		return nil, noMemory()
	}
	// One byte more than announced lets the reader see the end without growing.
	buf := make([]byte, 0, size+1)
	for {
		n, err := r.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > limit:
			return nil, tooLarge(limit)
		case err == io.EOF:
			clearReadDeadline(w)
			return buf, nil
		case err != nil:
			return nil, unreadable(err)
		case len(buf) == cap(buf):
			more := min(int64(cap(buf)), limit+1-int64(cap(buf)))
			if !memory.grow(more) {
				return nil, noMemory()
			}
			buf = append(make([]byte, 0, int64(cap(buf))+more), buf...)
		}
	}
}

func noMemory() *verdict.Error {
	return verdict.Overloaded("body_memory_exhausted",
		"this entry has no memory left for request bodies of this tier; use another entry", overloadPause)
}

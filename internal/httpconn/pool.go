package httpconn

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// maxIdlePerEndpoint bounds the idle connections to one endpoint; connections
	// beyond it are closed.
	maxIdlePerEndpoint = 16
	// maxIdleTime is how long an idle connection is kept if the endpoint sends no
	// Keep-Alive timeout.
	maxIdleTime = 20 * time.Second
	// idleCloseMargin is how long before the endpoint's own idle timeout a connection
	// is closed, so that no request is sent while the endpoint closes it.
	idleCloseMargin = 700 * time.Millisecond
	// sweepInterval is the time between removals of expired connections.
	sweepInterval = time.Second
)

// Pool keeps idle connections to endpoints. It is safe for concurrent use.
type Pool struct {
	mu        sync.Mutex
	idle      map[string][]*conn
	lastSweep time.Time

	opened, reused, closed tally.Counter
	openGauge              tally.Gauge
	openCount              int
}

// NewPool returns an empty pool.
func NewPool(scope tally.Scope) *Pool {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &Pool{
		idle:   make(map[string][]*conn),
		opened: scope.Counter("endpoint_connections_opened"), reused: scope.Counter("endpoint_connections_reused"),
		closed: scope.Counter("endpoint_connections_closed"), openGauge: scope.Gauge("endpoint_connections"),
	}
}

// Do sends a request and returns its response once the head has been read; the
// caller reads the body and closes the response. Errors are of type *RequestError.
// When ctx ends, the request is cancelled.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	c := p.take(address, r.MaxIdle)
	reused := c != nil
	if !reused {
		var err error
		if c, err = dial(ctx, address); err != nil {
			if ctx.Err() != nil {
				err = context.Cause(ctx)
			}
			return nil, &RequestError{Err: err}
		}
		p.opened.Inc(1)
		p.addOpen(1)
	}
	resp, err := c.roundTrip(ctx, r)
	if err != nil {
		p.recordClosed()
		return nil, err
	}
	resp.pool, resp.Reused = p, reused
	return resp, nil
}

// take returns the most recently used idle connection, or nil if there is none.
func (p *Pool) take(address string, maxIdle time.Duration) *conn {
	now := time.Now()
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		age := now.Sub(c.idleSince)
		if maxIdle > 0 && age > maxIdle && !c.expired(now) {
			p.mu.Unlock()
			return nil // All others were idle for longer.
		}
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		if !c.expired(now) && c.reusable() {
			p.reused.Inc(1)
			return c
		}
		_ = c.Close()
		p.recordClosed()
	}
}

func (c *conn) expired(now time.Time) bool {
	limit := maxIdleTime
	if c.closesAfter > 0 {
		limit = c.closesAfter - idleCloseMargin
	}
	return now.Sub(c.idleSince) >= limit
}

// put returns a connection to the pool after a complete response.
func (p *Pool) put(c *conn) {
	now := time.Now()
	c.idleSince = now
	p.mu.Lock()
	list := p.idle[c.address]
	full := len(list) >= maxIdlePerEndpoint
	if !full {
		p.idle[c.address] = append(list, c)
	}
	var expired []*conn
	if now.Sub(p.lastSweep) >= sweepInterval {
		p.lastSweep = now
		expired = p.sweep(now)
	}
	p.mu.Unlock()
	if full {
		expired = append(expired, c)
	}
	for _, e := range expired {
		_ = e.Close()
		p.recordClosed()
	}
}

// sweep removes and returns the expired connections. The caller holds mu.
func (p *Pool) sweep(now time.Time) (expired []*conn) {
	for address, list := range p.idle {
		keep := list[:0]
		for _, c := range list {
			if c.expired(now) {
				expired = append(expired, c)
			} else {
				keep = append(keep, c)
			}
		}
		if len(keep) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = keep
		}
	}
	return expired
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
		p.recordClosed()
	}
}

func (p *Pool) recordClosed() {
	p.closed.Inc(1)
	p.addOpen(-1)
}

func (p *Pool) addOpen(n int) {
	p.mu.Lock()
	p.openCount += n
	openCount := p.openCount
	p.mu.Unlock()
	p.openGauge.Update(float64(openCount))
}

package httpconn

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// maxIdlePerEndpoint bounds the kept connections to one endpoint; further
	// ones are closed.
	maxIdlePerEndpoint = 16
	// maxIdleTime is how long a connection is kept if the endpoint names no time.
	maxIdleTime = 20 * time.Second
	// closeMargin is how long before the endpoint's own timeout a kept connection
	// is given up, so that no request meets its closing on the way.
	closeMargin = 700 * time.Millisecond
	// sweepInterval is the time between looks for expired connections.
	sweepInterval = time.Second
)

// Pool keeps idle connections to endpoints. It is safe for concurrent use.
type Pool struct {
	mu    sync.Mutex
	idle  map[string][]*conn
	swept time.Time

	opened, reused, dropped tally.Counter
	connections             tally.Gauge
	open                    int
}

// NewPool returns an empty pool.
func NewPool(scope tally.Scope) *Pool {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &Pool{
		idle:   make(map[string][]*conn),
		opened: scope.Counter("endpoint_connections_opened"), reused: scope.Counter("endpoint_connections_reused"),
		dropped: scope.Counter("endpoint_connections_closed"), connections: scope.Gauge("endpoint_connections"),
	}
}

// Do sends a request and returns the head of its answer; the caller reads the
// body and closes the response. Errors are a *Failure. The request ends with ctx.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	c := p.take(address, r.MaxIdle)
	if c == nil {
		var err error
		if c, err = dial(ctx, address); err != nil {
			if ctx.Err() != nil {
				err = context.Cause(ctx)
			}
			return nil, &Failure{Err: err}
		}
		p.opened.Inc(1)
		p.count(1)
	}
	resp, err := c.exchange(ctx, r)
	if err != nil {
		p.drop()
		return nil, err
	}
	resp.pool = p
	return resp, nil
}

// take returns the kept connection that was used last, or nil.
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
		if !c.expired(now) && c.quiet() {
			p.reused.Inc(1)
			return c
		}
		_ = c.Close()
		p.drop()
	}
}

func (c *conn) expired(now time.Time) bool {
	limit := maxIdleTime
	if c.closesAfter > 0 {
		limit = c.closesAfter - closeMargin
	}
	return now.Sub(c.idleSince) >= limit
}

// put keeps a connection after a complete answer.
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
	if now.Sub(p.swept) >= sweepInterval {
		p.swept = now
		expired = p.sweep(now)
	}
	p.mu.Unlock()
	if full {
		expired = append(expired, c)
	}
	for _, e := range expired {
		_ = e.Close()
		p.drop()
	}
}

// sweep removes and returns expired connections. Callers hold the mutex.
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

// Forget closes the kept connections to an address.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
		p.drop()
	}
}

func (p *Pool) drop() {
	p.dropped.Inc(1)
	p.count(-1)
}

func (p *Pool) count(n int) {
	p.mu.Lock()
	p.open += n
	open := p.open
	p.mu.Unlock()
	p.connections.Update(float64(open))
}

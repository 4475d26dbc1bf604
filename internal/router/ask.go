package router

import (
	"context"
	"io"
	"net/http"
	"time"

	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/httpconn"
)

const (
	// askTimeout bounds how long a request waits for the loads of its candidates. Endpoints
	// that report their pace answer a health check at once, within a round trip, or two on a
	// new connection; the objectives of requests are 150 ms and more.
	askTimeout = 15 * time.Millisecond
	// maxHealthBody bounds the body of a health response that is read to reuse the connection.
	maxHealthBody = 4 << 10
)

// askCandidates asks the likely endpoints of a request for their load and pace, all at the
// same time, and passes what they say to the balancer. It does nothing unless endpoints of
// the service report their pace.
func (q *request) askCandidates(ctx context.Context) {
	path := q.healthPath()
	if path == "" {
		return
	}
	var candidates []dispatch.Endpoint
	q.withBalancer(func(b *dispatch.Balancer) { candidates = b.ToAsk(time.Now(), q.demand, q.avoid) })
	if len(candidates) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reports := make(chan struct{}, len(candidates))
	for _, e := range candidates {
		go func() {
			q.askEndpoint(ctx, e, path)
			reports <- struct{}{}
		}()
	}
	for range candidates {
		select {
		case <-reports:
		case <-ctx.Done():
			return
		}
	}
}

// healthPath returns the health path of the request's service, "" if it has none.
func (q *request) healthPath() string {
	if s := q.table.Index.Service(q.service); s != nil {
		return s.HealthPath
	}
	return ""
}

func (q *request) askEndpoint(ctx context.Context, e dispatch.Endpoint, path string) {
	q.server.metrics.loadsAsked.Inc(1)
	resp, err := q.server.pool.Do(ctx, e.Address, &httpconn.Request{Method: http.MethodGet, Target: path, Host: e.Address, Header: http.Header{}})
	if err != nil {
		q.server.metrics.loadsUnanswered.Inc(1)
		return
	}
	head := q.server.options.Codec.ResponseHead(resp.Response)
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxHealthBody))
	_ = resp.Close(err == nil && n < maxHealthBody) // What follows the response belongs to no request.
	if head.Endpoint != e.ID {
		q.server.metrics.loadsUnanswered.Inc(1)
		return
	}
	// What endpoints say of themselves holds in all their responses.
	c := &dispatch.Choice{Endpoint: e}
	if head.Limit != nil {
		q.recordLimit(c, head.Limit)
	}
	if head.Leaving {
		q.recordEndpointLeaving(c)
	}
	if head.Load == nil {
		q.server.metrics.loadsUnanswered.Inc(1)
		return
	}
	q.withBalancer(func(b *dispatch.Balancer) { b.RecordLoad(time.Now(), e.ID, e.Incarnation, *head.Load) })
}

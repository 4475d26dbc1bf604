// Package upstream is the HTTP/1.1 client for endpoints. It reads the token streams of
// model engines and calls plain services. It classifies every failure but never retries
// a request; only the entry retries.
package upstream

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/endpointapi"
	"auburnstep.example/auburnstep/internal/event"
)

// Headers of the endpoint API.
const (
	HeaderRequestID    = endpointapi.HeaderRequestID
	HeaderPriority     = endpointapi.HeaderPriority
	HeaderResumeOffset = endpointapi.HeaderResumeOffset
	// HeaderTimeout is the time until the deadline of the request in milliseconds.
	HeaderTimeout = "X-Auburnstep-Timeout-Ms"
)

// Defaults for Options.
const (
	DefaultDialTimeout     = time.Second
	DefaultCancelTimeout   = time.Second
	DefaultIdleTimeout     = 30 * time.Second
	DefaultIdlePerEndpoint = 64
)

const (
	// maxConcurrentCancels bounds the cancel requests in flight. Above the bound no
	// cancel request is sent, and the endpoint can only notice the closed connection.
	maxConcurrentCancels = 256
	// drainTimeout bounds the wait for the end of a response body after its last
	// event. If the body does not end in time, the connection is closed instead of
	// reused.
	drainTimeout = 100 * time.Millisecond
	// maxErrorBodyBytes bounds how much of the body of an error response is read.
	maxErrorBodyBytes = 64 << 10
	// maxHeaderBytes bounds the size of a response header.
	maxHeaderBytes = 64 << 10
)

// Options configures a Client. Zero values are replaced by the defaults.
type Options struct {
	DialTimeout     time.Duration
	CancelTimeout   time.Duration
	IdleTimeout     time.Duration
	IdlePerEndpoint int
	// TLS, if set, is used for the connections to all endpoints.
	TLS *tls.Config
	// Dial, if set, replaces the TCP dialer.
	Dial  func(ctx context.Context, network, address string) (net.Conn, error)
	Scope tally.Scope
	// Events may be nil.
	Events *event.Recorder
}

// Client sends requests to endpoints. It is safe for concurrent use.
type Client struct {
	options     Options
	scheme      string
	pooled      *http.Transport
	unpooled    *http.Transport
	metrics     *clientMetrics
	cancelSlots chan struct{}
	// baseCtx ends when the client is closed. It is the parent context of cancel
	// requests only.
	baseCtx    context.Context
	cancelBase context.CancelFunc

	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup
}

// New returns a Client with the given options.
func New(o Options) *Client {
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.CancelTimeout == 0 {
		o.CancelTimeout = DefaultCancelTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.IdlePerEndpoint == 0 {
		o.IdlePerEndpoint = DefaultIdlePerEndpoint
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	c := &Client{options: o, scheme: "http", cancelSlots: make(chan struct{}, maxConcurrentCancels)}
	if o.TLS != nil {
		c.scheme = "https"
	}
	c.metrics = newClientMetrics(o.Scope.SubScope("upstream"))
	c.baseCtx, c.cancelBase = context.WithCancel(context.Background())
	c.pooled, c.unpooled = c.transport(false), c.transport(true)
	return c
}

// transport returns a transport that uses HTTP/1.1 only. A connection then carries one
// request at a time, so that a stalled connection affects only one request.
func (c *Client) transport(disableKeepAlives bool) *http.Transport {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            c.dial,
		DialTLSContext:         c.dialTLS,
		Protocols:              &protocols,
		DisableKeepAlives:      disableKeepAlives,
		DisableCompression:     true,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    c.options.IdlePerEndpoint,
		IdleConnTimeout:        c.options.IdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dialCounting(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &endpointConn{Conn: conn, counting: conn}, nil
}

func (c *Client) dialCounting(ctx context.Context, network, address string) (*countingConn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.DialTimeout)
	defer cancel()
	conn, err := c.options.Dial(ctx, network, address)
	if err != nil {
		c.metrics.connectionsFailed.Inc(1)
		return nil, err
	}
	c.metrics.connectionsOpened.Inc(1)
	return &countingConn{Conn: conn}, nil
}

// Close waits for background work and closes idle connections. Streams that are still
// open stay usable until their contexts end.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancelBase()
	c.wg.Wait()
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// runInBackground runs f in a goroutine that Close waits for. After Close it does not run
// f and returns false.
func (c *Client) runInBackground(f func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		f()
	}()
	return true
}

// roundTrip sends req once. It uses an idle connection only if reuseConnection is set, that
// is, if the request may be repeated: if the endpoint has closed the idle connection, it is
// unknown whether it ran the request.
func (c *Client) roundTrip(req *http.Request, reuseConnection bool, sendBefore time.Time) (*http.Response, *writeTracker, error) {
	transport := c.unpooled
	if reuseConnection {
		transport = c.pooled
	}
	tracker := &writeTracker{sendBefore: sendBefore}
	resp, err := transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), tracker.trace())))
	if err == nil && !tracker.headSeen() {
		_ = resp.Body.Close()
		return nil, tracker, errEarlierBytes
	}
	return resp, tracker, err
}

// cancelAtEndpoint asks an endpoint in the background to cancel a request.
func (c *Client) cancelAtEndpoint(endpoint, id string) {
	select {
	case c.cancelSlots <- struct{}{}:
	default:
		c.metrics.cancelsDropped.Inc(1)
		return
	}
	started := c.runInBackground(func() {
		defer func() { <-c.cancelSlots }()
		if err := c.sendCancel(endpoint, id); err != nil {
			c.metrics.cancelsFailed.Inc(1)
			c.options.Events.Emit(eventCancelFailed, event.Request(id), event.F("endpoint", endpoint), event.F("error", err))
			return
		}
		c.metrics.cancelsSent.Inc(1)
	})
	if !started {
		<-c.cancelSlots
	}
}

func (c *Client) sendCancel(endpoint, id string) error {
	ctx, cancel := context.WithTimeout(c.baseCtx, c.options.CancelTimeout)
	defer cancel()
	req, err := c.newRequest(ctx, http.MethodDelete, endpoint, "/v1/requests/"+escapeSegment(id))
	if err != nil {
		return err
	}
	resp, err := c.unpooled.RoundTrip(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

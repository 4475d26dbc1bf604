// Package upstream is the HTTP/1.1 client to endpoints: token streams of model
// engines and calls of plain services. It classifies every failure and retries
// nothing; the entry alone retries.
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
	// HeaderTimeout is the time left for the request in milliseconds.
	HeaderTimeout = "X-Auburnstep-Timeout-Ms"
)

// Defaults of Options.
const (
	DefaultDialTimeout     = time.Second
	DefaultCancelTimeout   = time.Second
	DefaultIdleTimeout     = 30 * time.Second
	DefaultIdlePerEndpoint = 64
)

const (
	// maxCancels bounds the cancel calls in flight. Beyond it the closed
	// connection alone tells the endpoint.
	maxCancels = 256
	// drainTimeout bounds the wait for the end of a body after its last chunk.
	// A connection that does not end in time is closed in place of reused.
	drainTimeout = 100 * time.Millisecond
	// maxErrorBody bounds what is read of an error response.
	maxErrorBody = 64 << 10
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 64 << 10
)

// Options set up a Client. Zero values take the defaults.
type Options struct {
	DialTimeout     time.Duration
	CancelTimeout   time.Duration
	IdleTimeout     time.Duration
	IdlePerEndpoint int
	// TLS is used towards all endpoints if it is set.
	TLS *tls.Config
	// Dial replaces the TCP dialer.
	Dial  func(ctx context.Context, network, address string) (net.Conn, error)
	Scope tally.Scope
	// Events may be nil.
	Events *event.Recorder
}

// Client sends requests to endpoints. It is safe for concurrent use.
type Client struct {
	options Options
	scheme  string
	pooled  *http.Transport
	fresh   *http.Transport
	metrics *clientMetrics
	cancels chan struct{}
	// base ends when the client is closed. It bounds cancel calls only.
	base context.Context
	end  context.CancelFunc

	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup
}

// New returns a client.
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
	c := &Client{options: o, scheme: "http", cancels: make(chan struct{}, maxCancels)}
	if o.TLS != nil {
		c.scheme = "https"
	}
	c.metrics = newClientMetrics(o.Scope.SubScope("upstream"))
	c.base, c.end = context.WithCancel(context.Background())
	c.pooled, c.fresh = c.transport(false), c.transport(true)
	return c
}

// transport returns a transport that speaks HTTP/1.1 only: one stream per
// connection, so that a silent connection harms one request.
func (c *Client) transport(fresh bool) *http.Transport {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            c.dial,
		TLSClientConfig:        c.options.TLS,
		Protocols:              &protocols,
		DisableKeepAlives:      fresh,
		DisableCompression:     true,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    c.options.IdlePerEndpoint,
		IdleConnTimeout:        c.options.IdleTimeout,
		TLSHandshakeTimeout:    c.options.DialTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.DialTimeout)
	defer cancel()
	conn, err := c.options.Dial(ctx, network, address)
	if err != nil {
		c.metrics.dialFailed.Inc(1)
		return nil, err
	}
	c.metrics.dialed.Inc(1)
	return &countingConn{Conn: conn}, nil
}

// Close closes idle connections and waits for background work. Streams that are
// still open stay usable until their contexts end.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.end()
	c.wg.Wait()
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// background runs f in a goroutine that Close waits for. It is false after Close.
func (c *Client) background(f func()) bool {
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

// roundTrip sends req once. An idle connection is used only if the request may
// be repeated: a stale one would make its fate unknown.
func (c *Client) roundTrip(req *http.Request, mayRepeat bool, sendBefore time.Time) (*http.Response, *writeProof, error) {
	transport := c.fresh
	if mayRepeat {
		transport = c.pooled
	}
	proof := &writeProof{sendBefore: sendBefore}
	trace := &httptrace.ClientTrace{GotConn: proof.gotConn}
	resp, err := transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	return resp, proof, err
}

// cancelAtEndpoint asks an endpoint to drop a request, in the background.
func (c *Client) cancelAtEndpoint(endpoint, id string) {
	select {
	case c.cancels <- struct{}{}:
	default:
		c.metrics.cancelDropped.Inc(1)
		return
	}
	started := c.background(func() {
		defer func() { <-c.cancels }()
		if err := c.sendCancel(endpoint, id); err != nil {
			c.metrics.cancelFailed.Inc(1)
			c.options.Events.Emit(eventCancelFailed, event.Request(id), event.F("endpoint", endpoint), event.F("error", err))
			return
		}
		c.metrics.cancelled.Inc(1)
	})
	if !started {
		<-c.cancels
	}
}

func (c *Client) sendCancel(endpoint, id string) error {
	ctx, cancel := context.WithTimeout(c.base, c.options.CancelTimeout)
	defer cancel()
	req, err := c.newRequest(ctx, http.MethodDelete, endpoint, "/v1/requests/"+escapeSegment(id))
	if err != nil {
		return err
	}
	resp, err := c.fresh.RoundTrip(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

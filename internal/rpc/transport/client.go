package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/hlc"
)

// Options configures a Pool. With the zero value, calls use plain text and no token.
type Options struct {
	// TLS enables mutual TLS; see LoadTLS.
	TLS *tls.Config
	// Token is sent as a bearer token with each call, unless it is empty.
	Token string
	// Sender is the address on which other processes reach this process. It is sent in
	// SenderHeader, unless it is empty.
	Sender string
	Clock  *hlc.Clock
	Scope  tally.Scope
	// Dial opens connections. The default is a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Timeout limits calls whose context has no deadline. Zero means DefaultTimeout.
	Timeout time.Duration
	// MaxMessageBytes limits the size of a message in bytes. Zero means DefaultMaxMessageBytes.
	MaxMessageBytes int
}

// Pool holds a Peer for each called address. It is safe for concurrent use.
type Pool struct {
	options Options
	bytes   *byteCounters

	mu    sync.Mutex
	peers map[string]*Peer
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool {
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.MaxMessageBytes == 0 {
		o.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if o.Clock == nil {
		o.Clock = hlc.New(nil)
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Pool{options: o, bytes: newByteCounters(o.Scope, "client"), peers: make(map[string]*Peer)}
}

// Peer returns the Peer that calls the process at address ("host:port").
func (p *Pool) Peer(address string) *Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, ok := p.peers[address]
	if !ok {
		peer = &Peer{pool: p, address: address}
		p.peers[address] = peer
	}
	return peer
}

// Remove removes the peer of an address that is no longer called. Its connection is
// closed once no call uses it.
func (p *Pool) Remove(address string) {
	p.mu.Lock()
	peer := p.peers[address]
	delete(p.peers, address)
	p.mu.Unlock()
	if peer != nil {
		peer.close()
	}
}

// Close removes all peers. Their connections are closed once no call uses them.
func (p *Pool) Close() {
	p.mu.Lock()
	peers := p.peers
	p.peers = make(map[string]*Peer)
	p.mu.Unlock()
	for _, peer := range peers {
		peer.close()
	}
}

// Peer calls one process. It reuses one HTTP/2 connection and replaces it when a
// call over it fails without a response.
type Peer struct {
	pool    *Pool
	address string

	mu      sync.Mutex
	current *peerConn
}

// peerConn is one HTTP/2 connection with the state of the calls that use it.
type peerConn struct {
	transport *http.Transport
	// responded is set once a call over this connection has received a response.
	responded bool
	// retired is set once no new call may use the connection. It is closed after the
	// active calls have ended.
	retired     bool
	activeCalls int
}

// attempt is the state of an attempt of a call. The context passes it to Do.
type attempt struct {
	peerConn *peerConn
	// errorStatus is set if the HTTP status of the response is not 200. The peer has
	// responded then, although not with a message of the protocol.
	errorStatus bool
}

// attemptKey and idempotentKey are keys of context values.
type attemptKey struct{}
type idempotentKey struct{}

// MarkIdempotent returns a context that marks calls as idempotent. If such a call fails
// without a response on a connection that has worked before, it is repeated once on
// a new connection.
func MarkIdempotent(ctx context.Context) context.Context {
	return context.WithValue(ctx, idempotentKey{}, true)
}

// Client returns the arguments for the constructor of a connect client:
//
//	controlv1connect.NewControlClient(peer.Client())
func (p *Peer) Client() (connect.HTTPClient, string, connect.ClientOption) {
	scheme := "http"
	if p.pool.options.TLS != nil {
		scheme = "https"
	}
	return p, scheme + "://" + p.address, connect.WithClientOptions(
		connect.WithInterceptors(connect.UnaryInterceptorFunc(p.intercept)),
		connect.WithReadMaxBytes(p.pool.options.MaxMessageBytes),
		connect.WithSendMaxBytes(p.pool.options.MaxMessageBytes),
	)
}

// Address returns the address of the peer.
func (p *Peer) Address() string { return p.address }

// Do implements connect.HTTPClient. It uses the connection of the attempt that
// intercept has put into the context.
func (p *Peer) Do(r *http.Request) (*http.Response, error) {
	a, ok := r.Context().Value(attemptKey{}).(*attempt)
	if !ok {
		return nil, Error.New("streaming calls are not supported")
	}
	o := &p.pool.options
	r.Header.Set(hlc.Header, o.Clock.Now().String())
	if o.Token != "" {
		r.Header.Set("Authorization", "Bearer "+o.Token)
	}
	if o.Sender != "" {
		r.Header.Set(SenderHeader, o.Sender)
	}
	sent, received := p.pool.bytes.forPath(r.URL.Path)
	if r.Body != nil {
		r.Body = &countedBody{ReadCloser: r.Body, counter: sent}
	}
	resp, err := a.peerConn.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	a.errorStatus = resp.StatusCode != http.StatusOK
	if t, err := hlc.Parse(resp.Header.Get(hlc.Header)); err == nil {
		o.Clock.Observe(t)
	}
	resp.Body = &countedBody{ReadCloser: resp.Body, counter: received}
	return resp, nil
}

// intercept gives each call a deadline and a connection, and retries idempotent
// calls. The first attempt of an idempotent call over a connection that has worked
// before gets half of the remaining time: if that connection has gone silent, enough
// time is left for an attempt over a new one.
func (p *Peer) intercept(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		if _, ok := ctx.Deadline(); !ok {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, p.pool.options.Timeout)
			defer cancel()
		}
		retry, _ := ctx.Value(idempotentKey{}).(bool)
		resp, result, err := p.attempt(ctx, req, next, retry)
		if retry && err != nil && !result.responded && !result.newConn && ctx.Err() == nil {
			resp, result, err = p.attempt(ctx, req, next, false)
		}
		if err != nil && result.newConn && !result.responded && !errors.Is(ctx.Err(), context.Canceled) {
			err = connect.NewError(connect.CodeOf(err), fmt.Errorf("%w: %s: %w", ErrUnreachable, p.address, err))
		}
		return resp, err
	}
}

// attemptResult describes what an attempt has shown about its connection.
type attemptResult struct {
	// newConn is set if no call over the connection had received a response before
	// this attempt, as on a connection that was opened for it.
	newConn bool
	// responded is set if the peer sent a response, which may be an error.
	responded bool
}

// attempt makes one attempt of a call. If halveTimeout is set and the connection has
// worked before, the attempt gets half of the remaining time. If the attempt fails
// without a response, later calls use a new connection.
func (p *Peer) attempt(ctx context.Context, req connect.AnyRequest, next connect.UnaryFunc, halveTimeout bool) (connect.AnyResponse, attemptResult, error) {
	c, newConn := p.acquire()
	attemptCtx := ctx
	if deadline, ok := ctx.Deadline(); ok && halveTimeout && !newConn {
		var cancel context.CancelFunc
		attemptCtx, cancel = context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
	}
	a := &attempt{peerConn: c}
	resp, err := next(context.WithValue(attemptCtx, attemptKey{}, a), req)
	responded := err == nil || a.errorStatus || connect.IsWireError(err)
	// If the caller canceled the call, its failure does not indicate a broken connection.
	p.release(c, responded, responded || errors.Is(ctx.Err(), context.Canceled))
	return resp, attemptResult{newConn: newConn, responded: responded}, err
}

// acquire returns the connection for a call, and whether no call over it has
// received a response yet.
func (p *Peer) acquire() (c *peerConn, newConn bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		p.current = &peerConn{transport: p.newTransport()}
	}
	p.current.activeCalls++
	return p.current, !p.current.responded
}

// release ends a call over c. It retires the connection unless it is reusable, and
// closes a retired connection after its last call.
func (p *Peer) release(c *peerConn, responded, reusable bool) {
	p.mu.Lock()
	c.activeCalls--
	c.responded = c.responded || responded
	if !reusable {
		c.retired = true
		if p.current == c {
			p.current = nil
		}
	}
	idle := c.retired && c.activeCalls == 0
	p.mu.Unlock()
	if idle {
		c.transport.CloseIdleConnections()
	}
}

// close retires the connection and closes it if it is idle.
func (p *Peer) close() {
	p.mu.Lock()
	c := p.current
	p.current = nil
	if c != nil {
		c.retired = true
	}
	p.mu.Unlock()
	if c != nil {
		c.transport.CloseIdleConnections()
	}
}

func (p *Peer) newTransport() *http.Transport {
	o := &p.pool.options
	t := &http.Transport{
		DialContext:         o.Dial,
		Protocols:           protocols(o.TLS != nil),
		HTTP2:               http2Config(),
		DisableCompression:  true,
		TLSHandshakeTimeout: handshakeTimeout,
	}
	if o.TLS != nil {
		t.TLSClientConfig = o.TLS.Clone()
	}
	return t
}

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

// Options configures a Pool. The zero value calls in plain text without a token.
type Options struct {
	// TLS switches to mutual TLS; see LoadTLS.
	TLS *tls.Config
	// Token is sent as bearer token with each call.
	Token string
	// Sender is the address under which this process is reached.
	Sender string
	Clock  *hlc.Clock
	Scope  tally.Scope
	// Dial opens connections; a net.Dialer by default.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Timeout bounds calls without a deadline; DefaultTimeout where it is zero.
	Timeout time.Duration
	// MaxMessage bounds messages in bytes; DefaultMaxMessage where it is zero.
	MaxMessage int
}

// Pool holds one Peer for each address. It is safe for concurrent use.
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
	if o.MaxMessage == 0 {
		o.MaxMessage = DefaultMaxMessage
	}
	if o.Clock == nil {
		o.Clock = hlc.New(nil)
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Pool{options: o, bytes: newByteCounters(o.Scope, "client"), peers: make(map[string]*Peer)}
}

// Peer returns the client side of the process at address ("host:port").
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

// Forget closes the connections to an address that is no longer called.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	peer := p.peers[address]
	delete(p.peers, address)
	p.mu.Unlock()
	if peer != nil {
		peer.close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	peers := p.peers
	p.peers = make(map[string]*Peer)
	p.mu.Unlock()
	for _, peer := range peers {
		peer.close()
	}
}

// Peer calls one process. It keeps one HTTP/2 connection and replaces it when
// a call over it fails.
type Peer struct {
	pool    *Pool
	address string

	mu      sync.Mutex
	current *generation
}

// generation is one connection and the calls that use it.
type generation struct {
	transport *http.Transport
	// proven is set once a call over this connection was answered.
	proven  bool
	retired bool
	calls   int
}

// attempt is one try of a call.
type attempt struct {
	generation *generation
	// refused is set by an HTTP status other than 200: the peer answered,
	// though not with a message of the protocol.
	refused bool
}

type attemptKey struct{}
type idempotentKey struct{}

// Idempotent marks calls made with the returned context as safe to repeat: one
// that fails on a connection in use is repeated once on a fresh connection.
func Idempotent(ctx context.Context) context.Context {
	return context.WithValue(ctx, idempotentKey{}, true)
}

// Client returns the arguments of a connect client constructor:
//
//	controlv1connect.NewControlClient(peer.Client())
func (p *Peer) Client() (connect.HTTPClient, string, connect.ClientOption) {
	scheme := "http"
	if p.pool.options.TLS != nil {
		scheme = "https"
	}
	return p, scheme + "://" + p.address, connect.WithClientOptions(
		connect.WithInterceptors(connect.UnaryInterceptorFunc(p.intercept)),
		connect.WithReadMaxBytes(p.pool.options.MaxMessage),
		connect.WithSendMaxBytes(p.pool.options.MaxMessage),
	)
}

// Address returns the address of the peer.
func (p *Peer) Address() string { return p.address }

// Do implements connect.HTTPClient over the connection chosen for the attempt.
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
	sent, received := p.pool.bytes.get(r.URL.Path)
	if r.Body != nil {
		r.Body = &countedBody{ReadCloser: r.Body, counter: sent}
	}
	resp, err := a.generation.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	a.refused = resp.StatusCode != http.StatusOK
	if t, err := hlc.Parse(resp.Header.Get(hlc.Header)); err == nil {
		o.Clock.Observe(t)
	}
	resp.Body = &countedBody{ReadCloser: resp.Body, counter: received}
	return resp, nil
}

// intercept gives each call a deadline and its connection. The first attempt
// of an idempotent call over a connection in use gets half of the time that is
// left, so that a silent connection leaves time for a fresh one.
func (p *Peer) intercept(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		if _, ok := ctx.Deadline(); !ok {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, p.pool.options.Timeout)
			defer cancel()
		}
		retry, _ := ctx.Value(idempotentKey{}).(bool)
		resp, o, err := p.attempt(ctx, req, next, retry)
		if retry && err != nil && !o.answered && !o.fresh && ctx.Err() == nil {
			resp, o, err = p.attempt(ctx, req, next, false)
		}
		if err != nil && o.fresh && !o.answered && !errors.Is(ctx.Err(), context.Canceled) {
			err = connect.NewError(connect.CodeOf(err), fmt.Errorf("%w: %s: %w", ErrUnreachable, p.address, err))
		}
		return resp, err
	}
}

// outcome says what an attempt showed about its connection.
type outcome struct {
	// fresh is set where the connection was opened for this attempt.
	fresh bool
	// answered is set where the peer sent an answer, which may be an error.
	answered bool
}

// attempt makes one try of a call and replaces the connection if it failed.
func (p *Peer) attempt(ctx context.Context, req connect.AnyRequest, next connect.UnaryFunc, half bool) (connect.AnyResponse, outcome, error) {
	g, fresh := p.acquire()
	call := ctx
	if deadline, ok := ctx.Deadline(); ok && half && !fresh {
		var cancel context.CancelFunc
		call, cancel = context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
	}
	a := &attempt{generation: g}
	resp, err := next(context.WithValue(call, attemptKey{}, a), req)
	answered := err == nil || a.refused || connect.IsWireError(err)
	// A caller that gave up says nothing about the connection.
	p.release(g, answered, answered || errors.Is(ctx.Err(), context.Canceled))
	return resp, outcome{fresh: fresh, answered: answered}, err
}

func (p *Peer) acquire() (g *generation, fresh bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		p.current = &generation{transport: p.newTransport()}
	}
	p.current.calls++
	return p.current, !p.current.proven
}

func (p *Peer) release(g *generation, proven, keep bool) {
	p.mu.Lock()
	g.calls--
	g.proven = g.proven || proven
	if !keep {
		g.retired = true
		if p.current == g {
			p.current = nil
		}
	}
	idle := g.retired && g.calls == 0
	p.mu.Unlock()
	if idle {
		g.transport.CloseIdleConnections()
	}
}

func (p *Peer) close() {
	p.mu.Lock()
	g := p.current
	p.current = nil
	if g != nil {
		g.retired = true
	}
	p.mu.Unlock()
	if g != nil {
		g.transport.CloseIdleConnections()
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

package transport

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"errors"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/hlc"
	"auburnstep.example/auburnstep/internal/kernel"
)

// Role is the kind of caller that a token stands for.
type Role int

const (
	// PeerRole is another process of the cluster.
	PeerRole Role = 1 << iota
	// OperatorRole is an operator's tool.
	OperatorRole
	// AnyRole admits both.
	AnyRole = PeerRole | OperatorRole
)

// Tokens lists the valid tokens of each role. Several are valid while tokens
// are rotated. With no token at all every caller has both roles, which a server
// permits only on loopback or with mutual TLS.
type Tokens struct {
	Peers     []string
	Operators []string
}

func (t Tokens) empty() bool { return len(t.Peers) == 0 && len(t.Operators) == 0 }

// role returns the roles of the token. The time taken depends neither on which
// token matches nor on where a wrong one differs.
func (t Tokens) role(token string) Role {
	if t.empty() {
		return AnyRole
	}
	sum := sha256.Sum256([]byte(token))
	match := func(valid []string) bool {
		found := 0
		for _, v := range valid {
			s := sha256.Sum256([]byte(v))
			found |= subtle.ConstantTimeCompare(s[:], sum[:])
		}
		return found == 1
	}
	var r Role
	if match(t.Peers) {
		r |= PeerRole
	}
	if match(t.Operators) {
		r |= OperatorRole
	}
	return r
}

// ServerOptions configures a Server.
type ServerOptions struct {
	// Address is the TCP address to listen on, unless Listener is set.
	Address  string
	Listener net.Listener
	TLS      *tls.Config
	Tokens   Tokens
	Clock    *hlc.Clock
	Scope    tally.Scope
	// Open admits callers without a token on any address. It is for networks
	// that only processes of this cluster can reach.
	Open bool
	// MaxMessage bounds messages in bytes; DefaultMaxMessage where it is zero.
	MaxMessage int
	// ErrorLog takes errors of connections; the standard logger where it is nil.
	ErrorLog *log.Logger
}

// Server serves calls of other processes. It is a kernel.Service.
type Server struct {
	kernel.Base
	options ServerOptions
	bytes   *byteCounters
	mux     *http.ServeMux
	http    *http.Server
}

// NewServer returns a server without handlers.
func NewServer(o ServerOptions) *Server {
	if o.MaxMessage == 0 {
		o.MaxMessage = DefaultMaxMessage
	}
	if o.Clock == nil {
		o.Clock = hlc.New(nil)
	}
	s := &Server{options: o, bytes: newByteCounters(o.Scope, "server"), mux: http.NewServeMux()}
	protos := protocols(o.TLS != nil)
	protos.SetHTTP1(true) // for operators' tools
	s.http = &http.Server{
		Handler:           s.mux,
		Protocols:         protos,
		HTTP2:             http2Config(),
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       time.Minute,
		TLSConfig:         o.TLS.Clone(),
		ErrorLog:          o.ErrorLog,
	}
	return s
}

// HandlerOptions are passed to connect handler constructors.
func (s *Server) HandlerOptions() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithReadMaxBytes(s.options.MaxMessage),
		connect.WithCompressMinBytes(compressMinBytes),
	)
}

// Handle serves the handler of a connect service to callers of a role. Roles
// of single procedures, by path, go before the role of the service.
func (s *Server) Handle(path string, h http.Handler, role Role, procedures map[string]Role) {
	s.mux.Handle(path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		need := role
		if p, ok := procedures[r.URL.Path]; ok {
			need = p
		}
		s.serve(w, r, h, need)
	}))
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, h http.Handler, need Role) {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	has := s.options.Tokens.role(token)
	switch {
	case has == 0:
		http.Error(w, "unknown token", http.StatusUnauthorized)
		return
	case has&need == 0:
		http.Error(w, "the token is not valid for this call", http.StatusForbidden)
		return
	}
	if t, err := hlc.Parse(r.Header.Get(hlc.Header)); err == nil {
		s.options.Clock.Observe(t)
	}
	sent, received := s.bytes.get(r.URL.Path)
	r.Body = &countedBody{ReadCloser: http.MaxBytesReader(w, r.Body, int64(s.options.MaxMessage)+1024), counter: received}
	h.ServeHTTP(&countedWriter{ResponseWriter: w, counter: sent, clock: s.options.Clock}, r.WithContext(context.WithValue(r.Context(), roleKey{}, has)))
}

type roleKey struct{}

// RoleOf returns the roles of the caller of a handler.
func RoleOf(ctx context.Context) Role {
	r, _ := ctx.Value(roleKey{}).(Role)
	return r
}

// countedWriter counts the bytes of a response and stamps it with the clock.
type countedWriter struct {
	http.ResponseWriter
	counter tally.Counter
	clock   *hlc.Clock
	wrote   bool
}

// WriteHeader implements http.ResponseWriter.
func (w *countedWriter) WriteHeader(status int) {
	w.stamp()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *countedWriter) Write(p []byte) (int, error) {
	w.stamp()
	w.counter.Inc(int64(len(p)))
	return w.ResponseWriter.Write(p)
}

// Unwrap serves http.ResponseController.
func (w *countedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *countedWriter) stamp() {
	if !w.wrote {
		w.wrote = true
		w.Header().Set(hlc.Header, w.clock.Now().String())
	}
}

// Validate implements kernel.Service.
func (s *Server) Validate() error {
	if s.options.Tokens.empty() && s.options.TLS == nil && !s.options.Open && !loopback(s.host()) {
		return Error.New("listening on %s needs a cluster token or mutual TLS", s.host())
	}
	return nil
}

func (s *Server) host() string {
	if s.options.Listener != nil {
		return s.options.Listener.Addr().String()
	}
	return s.options.Address
}

func loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// Start implements kernel.Service.
func (s *Server) Start(ctx context.Context) error {
	l := s.options.Listener
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", s.options.Address); err != nil {
			return Error.Wrap(err)
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	var err error
	if s.options.TLS != nil {
		err = s.http.ServeTLS(l, "", "")
	} else {
		err = s.http.Serve(l)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return Error.Wrap(err)
}

// Stop implements kernel.Service: calls in progress finish until ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return Error.Wrap(s.http.Close())
	}
	return nil
}

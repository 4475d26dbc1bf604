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
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	"auburnstep.example/auburnstep/internal/hlc"
	"auburnstep.example/auburnstep/internal/kernel"
)

// Role is a set of kinds of callers. A token determines the role of a caller.
type Role int

const (
	// PeerRole is another process of the cluster.
	PeerRole Role = 1 << iota
	// OperatorRole is an operator's tool.
	OperatorRole
	// AnyRole is the set of both roles.
	AnyRole = PeerRole | OperatorRole
)

// Tokens lists the valid tokens of each role. A role has several tokens during
// rotation. Without any token, every caller has both roles; Validate permits this
// only on loopback, with mutual TLS or with ServerOptions.AllowUnauthenticated.
type Tokens struct {
	Peers     []string
	Operators []string
}

func (t Tokens) empty() bool { return len(t.Peers) == 0 && len(t.Operators) == 0 }

// roles returns the roles of token. Its running time depends neither on which valid
// token matches nor on the position at which a wrong token differs, so that it
// reveals nothing about valid tokens.
func (t Tokens) roles(token string) Role {
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
	// AllowUnauthenticated permits a server without tokens and TLS to listen on any
	// address. It is meant for networks that only processes of this cluster can reach.
	AllowUnauthenticated bool
	// MaxMessageBytes limits the size of a message in bytes. Zero means DefaultMaxMessageBytes.
	MaxMessageBytes int
	// ErrorLog receives errors of connections. Nil means the standard logger.
	ErrorLog *log.Logger
	// Configure may change the HTTP server before it starts, nil for no change.
	Configure func(*http.Server)
	// Wrap returns a listener whose connections are decrypted with config, which is nil without
	// TLS. If Wrap is nil, the server decrypts them.
	Wrap func(l net.Listener, config *tls.Config) net.Listener
}

// Server serves calls of other processes and of operators. It is a kernel.Service.
type Server struct {
	kernel.Base
	options ServerOptions
	bytes   *byteCounters
	mux     *http.ServeMux
	http    *http.Server
}

// NewServer returns a server without handlers.
func NewServer(o ServerOptions) *Server {
	if o.MaxMessageBytes == 0 {
		o.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if o.Clock == nil {
		o.Clock = hlc.New(nil)
	}
	s := &Server{options: o, bytes: newByteCounters(o.Scope, "server"), mux: http.NewServeMux()}
	protos := protocols(o.TLS != nil && o.Wrap == nil)
	protos.SetHTTP1(true) // for operator tools
	s.http = &http.Server{
		Handler:           s.mux,
		Protocols:         protos,
		HTTP2:             serverHTTP2Config(),
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       time.Minute,
		TLSConfig:         o.TLS.Clone(),
		ErrorLog:          o.ErrorLog,
	}
	if o.Configure != nil {
		o.Configure(s.http)
	}
	return s
}

// HandlerOptions returns the options for constructors of connect handlers.
func (s *Server) HandlerOptions() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithReadMaxBytes(s.options.MaxMessageBytes),
		connect.WithCompressMinBytes(compressMinBytes),
	)
}

// Handle registers the handler of a connect service. Callers need the given role.
// procedures overrides it for single procedures, by their path.
func (s *Server) Handle(path string, h http.Handler, role Role, procedures map[string]Role) {
	known := knownProcedures(path)
	s.mux.Handle(path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counted := path
		if known[r.URL.Path] {
			counted = r.URL.Path
		}
		required := role
		if p, ok := procedures[r.URL.Path]; ok {
			required = p
		}
		s.authorizeAndServe(w, r, h, required, counted)
	}))
}

// knownProcedures returns the paths of the procedures of the connect service at path. It is empty
// if the service is not known.
func knownProcedures(path string) map[string]bool {
	out := make(map[string]bool)
	d, err := protoregistry.GlobalFiles.FindDescriptorByName(protoreflect.FullName(strings.Trim(path, "/")))
	service, ok := d.(protoreflect.ServiceDescriptor)
	if err != nil || !ok {
		return out
	}
	for i := range service.Methods().Len() {
		out[path+string(service.Methods().Get(i).Name())] = true
	}
	return out
}

// authorizeAndServe refuses callers whose token lacks the required role and passes
// other calls to h. The bytes are counted under the path counted.
func (s *Server) authorizeAndServe(w http.ResponseWriter, r *http.Request, h http.Handler, required Role, counted string) {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	granted := s.options.Tokens.roles(token)
	switch {
	case granted == 0:
		http.Error(w, "unknown token", http.StatusUnauthorized)
		return
	case granted&required == 0:
		http.Error(w, "the token is not valid for this call", http.StatusForbidden)
		return
	}
	if t, err := hlc.Parse(r.Header.Get(hlc.Header)); err == nil {
		s.options.Clock.Observe(t)
	}
	sent, received := s.bytes.forPath(counted)
	r.Body = &countedBody{ReadCloser: http.MaxBytesReader(w, r.Body, int64(s.options.MaxMessageBytes)+1024), counter: received}
	h.ServeHTTP(&countedWriter{ResponseWriter: w, counter: sent, clock: s.options.Clock}, r.WithContext(context.WithValue(r.Context(), roleKey{}, granted)))
}

// roleKey is the key of the context value with the caller's roles.
type roleKey struct{}

// RoleOf returns the roles of the caller from the context of a handler.
func RoleOf(ctx context.Context) Role {
	r, _ := ctx.Value(roleKey{}).(Role)
	return r
}

// countedWriter counts the bytes of a response and sets its clock header.
type countedWriter struct {
	http.ResponseWriter
	counter tally.Counter
	clock   *hlc.Clock
	stamped bool
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

// Unwrap lets http.ResponseController access the underlying writer.
func (w *countedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// stamp sets the clock header before the response header is written.
func (w *countedWriter) stamp() {
	if !w.stamped {
		w.stamped = true
		w.Header().Set(hlc.Header, w.clock.Now().String())
	}
}

// Validate implements kernel.Service. It returns an error if any process on the
// network could make calls without authentication.
func (s *Server) Validate() error {
	if s.options.Tokens.empty() && s.options.TLS == nil && !s.options.AllowUnauthenticated && !isLoopback(s.listenAddress()) {
		return Error.New("listening on %s needs a cluster token or mutual TLS", s.listenAddress())
	}
	return nil
}

func (s *Server) listenAddress() string {
	if s.options.Listener != nil {
		return s.options.Listener.Addr().String()
	}
	return s.options.Address
}

func isLoopback(address string) bool {
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
	switch {
	case s.options.Wrap != nil:
		err = s.http.Serve(s.options.Wrap(l, s.wrapTLS()))
	case s.options.TLS != nil:
		err = s.http.ServeTLS(l, "", "")
	default:
		err = s.http.Serve(l)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return Error.Wrap(err)
}

// wrapTLS returns the configuration for Wrap, nil without TLS.
func (s *Server) wrapTLS() *tls.Config {
	if s.options.TLS == nil {
		return nil
	}
	c := s.options.TLS.Clone()
	c.NextProtos = []string{"h2", "http/1.1"}
	return c
}

// Stop implements kernel.Service. Calls in progress may finish until ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return Error.Wrap(s.http.Close())
	}
	return nil
}

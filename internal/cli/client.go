package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"

	"auburnstep.example/auburnstep/internal/hlc"
	"auburnstep.example/auburnstep/internal/rpc/controlv1/controlv1connect"
	"auburnstep.example/auburnstep/internal/rpc/eventsv1/eventsv1connect"
	"auburnstep.example/auburnstep/internal/rpc/schedulerv1/schedulerv1connect"
)

const (
	// callTimeout bounds one call, so that a silent server leaves time for the others.
	callTimeout = 2 * time.Second
	// retryPause is the time between two rounds over the servers; an election
	// takes about a second.
	retryPause = 250 * time.Millisecond
	// maxRedirects bounds how often one call follows a leader that has moved.
	maxRedirects = 3
)

// client calls the instances.
type client struct {
	http   *http.Client
	scheme string
	opts   connect.Option
}

func newClient(s *session) (*client, error) {
	c := &client{scheme: "http", opts: connect.WithInterceptors(headers(s))}
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: callTimeout}).DialContext, ForceAttemptHTTP2: true}
	secure := s.TLSCA != "" || s.TLSCert != ""
	for i, server := range s.Server {
		address, https := strings.CutPrefix(server, "https://")
		secure = secure || https
		s.Server[i] = strings.TrimSuffix(strings.TrimPrefix(address, "http://"), "/")
		if _, port, err := net.SplitHostPort(s.Server[i]); err != nil || port == "" {
			return nil, fmt.Errorf("--server: %q is not HOST:PORT", server)
		}
	}
	if secure {
		c.scheme = "https"
		config, err := tlsConfig(s.grammar)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = config
	}
	c.http = &http.Client{Transport: transport}
	return c, nil
}

func tlsConfig(g *grammar) (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if g.TLSCA != "" {
		pem, err := os.ReadFile(g.TLSCA)
		if err != nil {
			return nil, fmt.Errorf("--tls-ca: %w", err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("--tls-ca: %s holds no certificate in PEM form", g.TLSCA)
		}
	}
	if g.TLSCert != "" || g.TLSKey != "" {
		pair, err := tls.LoadX509KeyPair(g.TLSCert, g.TLSKey)
		if err != nil {
			return nil, fmt.Errorf("--tls-cert, --tls-key: %w", err)
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}

// headers sends the token and the clock with every call and takes the clock of
// the answer, so that a change is ordered after what it was made from.
func headers(s *session) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if s.Token != "" {
				req.Header().Set("Authorization", "Bearer "+s.Token)
			}
			req.Header().Set(hlc.Header, s.clock.Now().String())
			res, err := next(ctx, req)
			if err == nil {
				if at, err := hlc.Parse(res.Header().Get(hlc.Header)); err == nil {
					s.clock.Observe(at)
				}
			}
			return res, err
		}
	}
}

func (c *client) url(address string) string { return c.scheme + "://" + address }

func (c *client) control(address string) controlv1connect.ControlClient {
	return controlv1connect.NewControlClient(c.http, c.url(address), c.opts)
}

func (c *client) instance(address string) eventsv1connect.InstanceClient {
	return eventsv1connect.NewInstanceClient(c.http, c.url(address), c.opts)
}

func (c *client) scheduler(address string) schedulerv1connect.SchedulerClient {
	return schedulerv1connect.NewSchedulerClient(c.http, c.url(address), c.opts)
}

// callError is the failure of all attempts of a call.
type callError struct {
	// sent reports whether a server may have acted on one of the attempts.
	sent bool
	// final reports that a server refused the call, so that repeating it does not help.
	final bool
	code  connect.Code
	err   error
}

// Error returns the text of the last failure.
func (e *callError) Error() string { return e.err.Error() }

// Unwrap returns the last failure.
func (e *callError) Unwrap() error { return e.err }

// method is a call of the control service.
type method[Req, Res any] func(controlv1connect.ControlClient, context.Context, *connect.Request[Req]) (*connect.Response[Res], error)

// ask calls a method at the servers in turn until one answers, and follows the
// leader's address. leader returns that address, and whether the response is the answer.
func ask[Req, Res any](s *session, call method[Req, Res], req *Req, leader func(*Res) (address string, done bool)) (*Res, *callError) {
	failed := &callError{}
	for {
		connected := false
		for _, server := range s.Server {
			res, err := follow(s, server, call, req, leader, &connected)
			if err == nil {
				return res, nil
			}
			failed.sent = failed.sent || err.sent
			failed.err, failed.final, failed.code = err.err, err.final, err.code
			if err.final {
				return nil, failed
			}
		}
		// Where no server accepts a connection, waiting is left to the operator.
		if !connected || !s.Now().Add(retryPause).Before(s.deadline) {
			return nil, failed
		}
		s.Sleep(s.ctx, retryPause)
	}
}

func follow[Req, Res any](s *session, server string, call method[Req, Res], req *Req, leader func(*Res) (string, bool), connected *bool) (*Res, *callError) {
	failed := &callError{err: fmt.Errorf("%s: the leader moved %d times", server, maxRedirects)}
	for range maxRedirects {
		if !s.Now().Before(s.deadline) {
			failed.err = errors.New("no time was left")
			return nil, failed
		}
		ctx, cancel := s.callContext()
		res, err := call(s.client.control(server), ctx, connect.NewRequest(req))
		cancel()
		if err != nil {
			dial := dialFailed(err)
			*connected = *connected || !dial
			failed.sent = failed.sent || !dial && !notStarted(err)
			failed.err, failed.final, failed.code = fmt.Errorf("%s: %w", server, plain(err)), refused(err), connect.CodeOf(err)
			return nil, failed
		}
		*connected = true
		address, done := leader(res.Msg)
		if done || address == server {
			return res.Msg, nil
		}
		if address == "" {
			failed.err = fmt.Errorf("%s: no leader is known", server)
			return nil, failed
		}
		server = address
	}
	return nil, failed
}

func (s *session) callContext() (context.Context, context.CancelFunc) {
	left := max(s.deadline.Sub(s.Now()), 0)
	return context.WithTimeout(s.ctx, min(left, s.callTimeout))
}

// refused reports whether a server answered that it will not do the call.
func refused(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnauthenticated, connect.CodePermissionDenied, connect.CodeInvalidArgument, connect.CodeNotFound,
		connect.CodeUnimplemented, connect.CodeFailedPrecondition:
		return true
	}
	return false
}

// notStarted reports whether a server answered that it did not begin the call.
func notStarted(err error) bool {
	return refused(err) || connect.CodeOf(err) == connect.CodeResourceExhausted
}

// dialFailed reports whether no connection was made, so that nothing was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// plain drops what connect and net/http add to a failure, such as the URL of the call.
func plain(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Err != nil {
		return op.Err
	}
	var e *connect.Error
	if errors.As(err, &e) {
		return fmt.Errorf("%s (%s)", e.Message(), e.Code())
	}
	return err
}

// readError gives the failure of a call that changes nothing its exit code.
func readError(err *callError) error {
	switch {
	case err.final && err.code == connect.CodeNotFound:
		return exit(CodeNotFound, "%w", err)
	case err.final:
		return exit(CodeFailure, "%w", err)
	}
	return exit(CodeUnreachable, "no server answered, last tried %w", err)
}

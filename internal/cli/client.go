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
	// callTimeout bounds one call, so that time is left to try the other servers when
	// one does not respond.
	callTimeout = 2 * time.Second
	// retryInterval is the pause after all servers have been tried without success.
	// An election takes about a second.
	retryInterval = 250 * time.Millisecond
	// maxRedirects bounds the servers that one call visits while the leader changes.
	maxRedirects = 3
)

// client creates the RPC clients for the services of an instance.
type client struct {
	http   *http.Client
	scheme string
	opts   connect.Option
}

// newClient normalizes the --server addresses of the session to HOST:PORT and selects
// TLS if a flag or one of the addresses asks for it.
func newClient(s *session) (*client, error) {
	c := &client{scheme: "http", opts: connect.WithInterceptors(headerInterceptor(s))}
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

// headerInterceptor sends the token and the hybrid logical clock with every call and
// advances the clock to that of the response. A change is then ordered after the
// settings it was computed from.
func headerInterceptor(s *session) connect.UnaryInterceptorFunc {
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

func (c *client) baseURL(address string) string { return c.scheme + "://" + address }

func (c *client) control(address string) controlv1connect.ControlClient {
	return controlv1connect.NewControlClient(c.http, c.baseURL(address), c.opts)
}

func (c *client) instance(address string) eventsv1connect.InstanceClient {
	return eventsv1connect.NewInstanceClient(c.http, c.baseURL(address), c.opts)
}

func (c *client) scheduler(address string) schedulerv1connect.SchedulerClient {
	return schedulerv1connect.NewSchedulerClient(c.http, c.baseURL(address), c.opts)
}

// callError is returned when all attempts of a call have failed.
type callError struct {
	// mayHaveRun reports whether a server may have executed one of the attempts.
	mayHaveRun bool
	// permanent reports that a server refused the call, so that a retry cannot succeed.
	permanent bool
	// code and err belong to the last failed attempt.
	code connect.Code
	err  error
}

// Error returns the text of the last attempt's error.
func (e *callError) Error() string { return e.err.Error() }

// Unwrap returns the last attempt's error.
func (e *callError) Unwrap() error { return e.err }

// controlMethod is a method of the control service's client.
type controlMethod[Req, Res any] func(controlv1connect.ControlClient, context.Context, *connect.Request[Req]) (*connect.Response[Res], error)

// callLeader calls a method at the servers in turn and follows redirects to the leader. It
// retries until a call succeeds, a server refuses it, no server accepts a connection, or
// the time is up. redirect returns the leader's address from a response, and whether the
// response contains the result.
func callLeader[Req, Res any](s *session, call controlMethod[Req, Res], req *Req, redirect func(*Res) (address string, done bool)) (*Res, *callError) {
	lastErr := &callError{}
	for {
		connected := false
		for _, server := range s.Server {
			res, err := callWithRedirects(s, server, call, req, redirect, &connected)
			if err == nil {
				return res, nil
			}
			lastErr.mayHaveRun = lastErr.mayHaveRun || err.mayHaveRun
			lastErr.err, lastErr.permanent, lastErr.code = err.err, err.permanent, err.code
			if err.permanent {
				return nil, lastErr
			}
		}
		// If no server accepts a connection, the command fails at once and the operator
		// decides whether to wait.
		if !connected || !s.Now().Add(retryInterval).Before(s.deadline) {
			return nil, lastErr
		}
		s.Sleep(s.ctx, retryInterval)
	}
}

// callWithRedirects calls a method at a server and then at the leader it names, for at
// most maxRedirects servers. It sets connected if any of them accepted a connection.
func callWithRedirects[Req, Res any](s *session, server string, call controlMethod[Req, Res], req *Req, redirect func(*Res) (string, bool), connected *bool) (*Res, *callError) {
	callErr := &callError{err: fmt.Errorf("%s: no leader found after %d calls", server, maxRedirects)}
	for range maxRedirects {
		if !s.Now().Before(s.deadline) {
			callErr.err = errors.New("the timeout expired before the call was sent")
			return nil, callErr
		}
		ctx, cancel := s.callContext()
		res, err := call(s.client.control(server), ctx, connect.NewRequest(req))
		cancel()
		if err != nil {
			dialError := isDialError(err)
			*connected = *connected || !dialError
			callErr.mayHaveRun = callErr.mayHaveRun || !dialError && !notStarted(err)
			callErr.err, callErr.permanent, callErr.code = fmt.Errorf("%s: %w", server, conciseError(err)), isRefusal(err), connect.CodeOf(err)
			return nil, callErr
		}
		*connected = true
		address, done := redirect(res.Msg)
		if done || address == server {
			return res.Msg, nil
		}
		if address == "" {
			callErr.err = fmt.Errorf("%s: the server knows no leader", server)
			return nil, callErr
		}
		server = address
	}
	return nil, callErr
}

// callContext returns the context of one call, which ends after the call timeout or at
// the deadline of the command, whichever is earlier.
func (s *session) callContext() (context.Context, context.CancelFunc) {
	remaining := max(s.deadline.Sub(s.Now()), 0)
	return s.WithTimeout(s.ctx, min(remaining, s.callTimeout))
}

// isRefusal reports whether a server responded that it will not execute the call.
func isRefusal(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnauthenticated, connect.CodePermissionDenied, connect.CodeInvalidArgument, connect.CodeNotFound,
		connect.CodeUnimplemented, connect.CodeFailedPrecondition:
		return true
	}
	return false
}

// notStarted reports whether a server responded that it did not start the call.
func notStarted(err error) bool {
	return isRefusal(err) || connect.CodeOf(err) == connect.CodeResourceExhausted
}

// isDialError reports whether no connection was established, so that nothing was sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// conciseError removes the parts that connect and net/http add to an error, such as the
// URL of the call.
func conciseError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Err != nil {
		return opErr.Err
	}
	var connectErr *connect.Error
	if errors.As(err, &connectErr) {
		return fmt.Errorf("%s (%s)", connectErr.Message(), connectErr.Code())
	}
	return err
}

// newReadError adds the exit code to the error of a call that changes nothing.
func newReadError(err *callError) error {
	switch {
	case err.permanent && err.code == connect.CodeNotFound:
		return exitErrorf(CodeNotFound, "%w", err)
	case err.permanent:
		return exitErrorf(CodeFailure, "%w", err)
	}
	return exitErrorf(CodeUnreachable, "no server answered; last error: %w", err)
}

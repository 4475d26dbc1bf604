package kernel

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// httpHeaderTimeout limits the time to read the headers of a request. Requests to
// these services are small and come from operators and other systems, not from callers.
const httpHeaderTimeout = 5 * time.Second

// httpIdleTimeout ends connections without a request. Callers inside their limits keep them for
// up to 15 s.
const httpIdleTimeout = time.Minute

// HTTP serves a handler on a listener. It is a Service.
type HTTP struct {
	Base
	listener net.Listener
	server   *http.Server
}

// NewHTTP returns a service that serves h on l once it is started. configure, which may be nil,
// may change the server before.
func NewHTTP(l net.Listener, h http.Handler, configure func(*http.Server)) *HTTP {
	s := &HTTP{listener: l, server: &http.Server{Handler: h, ReadHeaderTimeout: httpHeaderTimeout, IdleTimeout: httpIdleTimeout}}
	if configure != nil {
		configure(s.server)
	}
	return s
}

// Start implements Service.
func (s *HTTP) Start(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

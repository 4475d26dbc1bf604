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

// HTTP serves a handler on a listener. It is a Service.
type HTTP struct {
	Base
	listener net.Listener
	server   *http.Server
}

// NewHTTP returns a service that serves h on l once it is started.
func NewHTTP(l net.Listener, h http.Handler) *HTTP {
	return &HTTP{listener: l, server: &http.Server{Handler: h, ReadHeaderTimeout: httpHeaderTimeout}}
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

package upstream

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"auburnstep.example/auburnstep/internal/httpconn"
)

// endpointConn is a connection to an endpoint, with TLS or without. It checks the first lines
// of the responses that pass, since net/http takes some that are invalid for responses.
type endpointConn struct {
	net.Conn
	// counting is the connection below TLS.
	counting *countingConn

	mu   sync.Mutex
	head httpconn.HeadCheck
	// invalid is set after an invalid head. The error that net/http returns may be that of the
	// write that failed because the connection was closed.
	invalid bool
}

// Read implements net.Conn.
func (c *endpointConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	invalid := c.head.Check(p[:n])
	c.invalid = c.invalid || invalid != nil
	c.mu.Unlock()
	if invalid != nil {
		return 0, invalid
	}
	return n, err
}

// startRequest prepares the check for the response to a request.
func (c *endpointConn) startRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Start()
}

func (c *endpointConn) headInvalid() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.invalid
}

// headSeen reports whether a final status line has been read since startRequest.
func (c *endpointConn) headSeen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.FinalSeen()
}

// dialTLS opens a connection with TLS.
func (c *Client) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	counting, err := c.dialCounting(ctx, network, address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.DialTimeout)
	defer cancel()
	config := c.options.TLS.Clone()
	if config.ServerName == "" {
		if config.ServerName, _, err = net.SplitHostPort(address); err != nil {
			config.ServerName = address
		}
	}
	secured := tls.Client(counting, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = counting.Close()
		return nil, err
	}
	return &endpointConn{Conn: secured, counting: counting}, nil
}

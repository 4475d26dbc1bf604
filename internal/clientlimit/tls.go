package clientlimit

import (
	"bytes"
	"crypto/tls"
	"errors"
	"io"
	"net"

	"auburnstep.example/auburnstep/internal/event"
)

const (
	// httpMethodInitials are the first letters of the methods of HTTP/1. No TLS record begins
	// with them.
	httpMethodInitials = "GHPODTC"
	plainTextAnswer    = "HTTP/1.0 400 Bad Request\r\n\r\nthe request is not encrypted, but this port uses TLS\n"
)

// handshakeConn charges what a client sends during a TLS handshake, of which crypto/tls buffers
// up to 256 KB.
type handshakeConn struct {
	net.Conn
	c *conn
}

// Read implements net.Conn.
func (h *handshakeConn) Read(b []byte) (int, error) {
	n, err := h.Conn.Read(b)
	if n > 0 && h.c.handshaking.Load() && !h.c.receivedHandshake(n) {
		h.c.abort()
		return 0, ErrExhausted
	}
	return n, err
}

// receivedHandshake charges n bytes of a handshake, and reports whether the account has room.
func (c *conn) receivedHandshake(n int) bool {
	c.mu.Lock()
	c.headBytes += n
	need := headCost(c.headBytes, 0) - c.headCharge
	c.mu.Unlock()
	return c.chargeHead(need)
}

// handshakeFailed reports the error of a handshake. A client that does not encrypt gets an answer
// that says so.
func (c *conn) handshakeFailed(err error) {
	var plain tls.RecordHeaderError
	if errors.As(err, &plain) && plain.Conn != nil && bytes.ContainsAny(plain.RecordHeader[:1], httpMethodInitials) {
		_, _ = io.WriteString(c.transport, plainTextAnswer) // The connection ends in any case.
	}
	if t, ok := c.Conn.(*tls.Conn); ok && !t.ConnectionState().HandshakeComplete && !errors.Is(err, io.EOF) {
		c.guard.report(eventHandshake, &c.guard.handshakeEmitted, c.address(), event.F("error", err))
	}
}

// endHandshake returns the charge for the handshake when the first decrypted bytes arrive.
func (c *conn) endHandshake() {
	if c.handshaking.CompareAndSwap(true, false) {
		c.releaseHead()
	}
}

// Package httpconn sends HTTP/1.1 requests to endpoints over kept connections.
// Unlike a general transport it never repeats a request, it tells whether any
// byte of a request left, and it passes over answers that belong to another
// request.
package httpconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// Error is the class of errors of this package.
var Error = errs.Class("endpoint connection")

var (
	// ErrForeignAnswer means that the connection carried an answer to another
	// request and then none to this one.
	ErrForeignAnswer = errors.New("the answer belongs to another request")
	// ErrTrailing means that bytes followed a complete answer.
	ErrTrailing = errors.New("bytes followed the answer")
)

const (
	// dialTimeout bounds the opening of a connection: a first packet that is
	// lost is sent again after 1 s, by which time another endpoint is better.
	dialTimeout = 500 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged. Connections
	// that have gone silent are noticed by it; round trips take a few ms.
	userTimeout = 700 * time.Millisecond
	// keepAliveIdle, keepAliveEvery and keepAliveCount notice a connection that
	// goes silent while an answer is awaited, in about 3 s.
	keepAliveIdle  = time.Second
	keepAliveEvery = time.Second
	keepAliveCount = 2
	// maxForeign is the number of foreign answers that are passed over.
	maxForeign = 2
	// readBuffer fits the head of an answer and several events.
	readBuffer = 4 << 10
	// inlineBody is the size up to which a body is written before the answer is
	// read. Larger ones are written while it is read, since an endpoint may
	// answer before it has read them.
	inlineBody = 4 << 10
)

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// idleSince is when the last answer ended, and closesAfter how long the
	// endpoint keeps the connection idle, 0 if it did not say.
	idleSince   time.Time
	closesAfter time.Duration
}

func dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount,
	}, Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
		return errors.Join(err, failed)
	}}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, address: address, reader: bufio.NewReaderSize(c, readBuffer)}, nil
}

// quiet reports whether the connection is open and nothing unasked has arrived on it.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Request is one request to an endpoint.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// Matches tells whether an answer belongs to this request; nil accepts all.
	Matches func(*http.Response) bool
	// MaxIdle is how long a kept connection may have been idle; 0 sets no bound.
	// A connection that was idle for longer is likelier to be closed just now.
	MaxIdle time.Duration
}

// head returns the request line and the headers.
func (r *Request) head() []byte {
	var b strings.Builder
	b.Grow(512)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return []byte(b.String())
}

// Failure is a request without an answer.
type Failure struct {
	// Sent is false only if no byte of the request left this process.
	Sent bool
	// Reached is false if no connection could be made.
	Reached bool
	Err     error
}

// Error implements error.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap serves errors.Is.
func (f *Failure) Unwrap() error { return f.Err }

// Response is an answer whose body is read from the connection.
type Response struct {
	*http.Response
	// Foreign is the number of answers to other requests that came before.
	Foreign int

	pool    *Pool
	conn    *conn
	written chan error // the result of writing the body
	stop    func() bool
	closed  bool
}

// Close returns the connection to the pool if the answer was read to its end
// and nothing follows it, and closes it otherwise. It returns ErrTrailing where
// bytes followed the answer; they belong to no request.
func (r *Response) Close(complete bool) error {
	if r.closed {
		return nil
	}
	r.closed = true
	stopped := r.stop()
	wrote := false
	select {
	case err := <-r.written:
		wrote = err == nil
	default: // The endpoint has answered without reading the whole body.
	}
	trailing := complete && r.conn.reader.Buffered() > 0
	if !complete || !stopped || !wrote || trailing || r.Response.Close || !framed(r.Response) {
		_ = r.conn.Close()
		r.pool.drop()
		if trailing {
			return ErrTrailing
		}
		return nil
	}
	r.conn.closesAfter = keepAlive(r.Header)
	r.pool.put(r.conn)
	return nil
}

// framed reports whether the end of the body shows without closing the connection.
func framed(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
}

// keepAlive returns how long the endpoint keeps an idle connection, 0 if it does not say.
func keepAlive(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && strings.EqualFold(name, "timeout") && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// exchange sends a request over a connection and reads the head of its answer.
func (c *conn) exchange(ctx context.Context, r *Request) (*Response, error) {
	out := &Response{conn: c, written: make(chan error, 1)}
	// The connection is closed when the caller gives up, which also ends the
	// work at the endpoint.
	out.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	fail := func(sent bool, err error) (*Response, error) {
		out.stop()
		_ = c.Close()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Failure{Sent: sent, Reached: true, Err: err}
	}
	if ctx.Err() != nil {
		return fail(false, ctx.Err())
	}
	buffers := net.Buffers{r.head()}
	if len(r.Body) > 0 {
		buffers = append(buffers, r.Body)
	}
	write := func() {
		_, err := buffers.WriteTo(c.Conn)
		out.written <- err
	}
	if len(r.Body) <= inlineBody {
		write()
	} else {
		go write()
	}
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				err = Error.New("the connection was closed before the answer: %w", err)
			}
			if out.Foreign > 0 {
				err = errors.Join(ErrForeignAnswer, err)
			}
			return fail(true, err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches == nil || r.Matches(resp) {
			out.Response = resp
			return out, nil
		}
		out.Foreign++
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<20)); err != nil || out.Foreign > maxForeign || !framed(resp) {
			return fail(true, ErrForeignAnswer)
		}
	}
}

// Package httpconn sends HTTP/1.1 requests to endpoints over persistent
// connections. Unlike http.Transport it never retries a request, it reports
// whether any byte of a request was sent, and it skips responses that belong to
// another request.
package httpconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"

	"auburnstep.example/auburnstep/internal/text"
)

// Error is the error class of this package.
var Error = errs.Class("endpoint connection")

var (
	// ErrResponseMismatch means that the connection carried a response to another
	// request and none to this one.
	ErrResponseMismatch = errors.New("the answer belongs to another request")
	// ErrHeadTooLarge means that the head of the response, with interim responses before
	// it, exceeds maxHeadBytes.
	ErrHeadTooLarge = errors.New("the head of the response is too large")
	// ErrInvalidRequest means that a request cannot be sent, because its head would contain a
	// control character.
	ErrInvalidRequest = errors.New("the head of the request contains a control character")
	// ErrTrailingData means that bytes followed a complete response.
	ErrTrailingData = errors.New("unexpected bytes after the response")
)

const (
	// dialTimeout bounds connection setup. TCP retransmits a lost SYN only after 1 s,
	// and by then another endpoint is the better choice.
	dialTimeout = 500 * time.Millisecond
	// tcpUserTimeout (TCP_USER_TIMEOUT) is how long sent bytes may stay
	// unacknowledged before the connection counts as dead; round trips take a few ms.
	tcpUserTimeout = 700 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a connection that
	// dies while a response is awaited, within about 3 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// maxMismatched is the number of responses to other requests that are skipped.
	maxMismatched = 2
	// maxHeadBytes bounds what is read before the body of a response.
	maxHeadBytes = 64 << 10
	// readBufferBytes holds a response head and several events.
	readBufferBytes = 4 << 10
	// maxInlineBodyBytes is the size up to which a body is written before the
	// response is read. Larger bodies are written concurrently, since an endpoint may
	// respond before it has read the whole body.
	maxInlineBodyBytes = 4 << 10
)

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	limit   *readLimit
	// idleSince is when the last response ended. closesAfter is how long the endpoint
	// keeps the connection open while idle, 0 if it did not state a timeout.
	idleSince   time.Time
	closesAfter time.Duration
}

func dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}, Control: func(_, _ string, c syscall.RawConn) error {
		var sockoptErr error
		err := c.Control(func(fd uintptr) {
			sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
		})
		return errors.Join(err, sockoptErr)
	}}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	limit := &readLimit{reader: c, left: noLimit}
	return &conn{Conn: c, address: address, reader: bufio.NewReaderSize(limit, readBufferBytes), limit: limit}, nil
}

const (
	// crashCheckDelay is the time between the loss of a connection and the check whether the
	// process has ended: it may close the connection before its listener.
	crashCheckDelay = 20 * time.Millisecond
	// crashCheckTimeout bounds the check.
	crashCheckTimeout = 500 * time.Millisecond
)

// HasCrashed reports whether no process listens at an address to which a connection has
// just been lost.
func HasCrashed(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	select {
	case <-ctx.Done():
		return false
	case <-time.After(crashCheckDelay):
	}
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err == nil {
		_ = c.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// noLimit is the value of readLimit.left that lifts the limit.
const noLimit = math.MaxInt64

// readLimit is a reader that fails with ErrHeadTooLarge once left bytes were read. It
// bounds the parser of response heads, which would read a line without end.
type readLimit struct {
	reader io.Reader
	left   int64
	// total is the number of all bytes read.
	total int64
	head  HeadCheck
}

// Read implements io.Reader.
func (l *readLimit) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := l.reader.Read(p[:min(int64(len(p)), l.left)])
	l.total += int64(n)
	if invalid := l.head.Check(p[:n]); invalid != nil {
		return 0, invalid
	}
	if l.left != noLimit {
		l.left -= int64(n)
	}
	return n, err
}

// consumed returns the number of bytes of responses that were taken from the reader.
func (c *conn) consumed() int64 { return c.limit.total - int64(c.reader.Buffered()) }

// reusable reports whether the connection is open and no unsolicited bytes have
// arrived on it.
func (c *conn) reusable() bool {
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
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && reusable
}

// Request is an HTTP request to an endpoint.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// Matches reports whether a response belongs to this request; nil accepts every
	// response.
	Matches func(*http.Response) bool
	// MaxIdle is how long a reused connection may have been idle; 0 means no limit.
	// The longer a connection has been idle, the likelier the endpoint is closing it.
	MaxIdle time.Duration
}

// head returns the request line and the headers. It fails if one of them contains a line break or
// another control character, behind which the endpoint would read another field or request.
func (r *Request) head() ([]byte, error) {
	if !text.IsFieldValue(r.Method) || !text.IsFieldValue(r.Target) || !text.IsFieldValue(r.Host) {
		return nil, ErrInvalidRequest
	}
	var b strings.Builder
	b.Grow(512)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			if !text.IsFieldValue(name) || !text.IsFieldValue(v) {
				return nil, ErrInvalidRequest
			}
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return []byte(b.String()), nil
}

// RequestError reports a request that got no response.
type RequestError struct {
	// Sent is false only if no byte of the request left this process.
	Sent bool
	// Connected is false if no connection could be established.
	Connected bool
	// Begun is true if a part of the head of a response had arrived, other than those of
	// interim responses and of responses to other requests.
	Begun bool
	Err   error
}

// Error implements error.
func (e *RequestError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *RequestError) Unwrap() error { return e.Err }

// Response is a response whose body is read from the connection.
type Response struct {
	*http.Response
	// Reused is set if the connection had carried another request before.
	Reused bool
	// Mismatched is the number of responses to other requests that preceded this one.
	Mismatched int

	pool   *Pool
	conn   *conn
	upload *upload
	stop   func() bool
	closed bool
}

// Close returns the connection to the pool if complete is set, the whole request
// was written and no bytes follow the response; otherwise it closes the
// connection. It returns ErrTrailingData if bytes followed the response; they
// belong to no request.
func (r *Response) Close(complete bool) error {
	if r.closed {
		return nil
	}
	r.closed = true
	stopped := r.stop()
	requestWritten := r.upload.written() // not if the endpoint has responded without reading the whole body
	trailing := complete && r.conn.reader.Buffered() > 0
	if !complete || !stopped || !requestWritten || trailing || r.Response.Close || !selfDelimited(r.Response) {
		_ = r.conn.Close()
		r.pool.recordClosed()
		if trailing {
			return ErrTrailingData
		}
		return nil
	}
	r.conn.closesAfter = keepAliveTimeout(r.Header)
	r.pool.put(r.conn)
	return nil
}

// selfDelimited reports whether the end of the body is known without closing the
// connection.
func selfDelimited(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
}

// keepAliveTimeout returns how long the endpoint keeps an idle connection open, 0
// if it does not state a timeout.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && strings.EqualFold(name, "timeout") && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// roundTrip sends a request over the connection and reads the head of its
// response.
func (c *conn) roundTrip(ctx context.Context, r *Request) (*Response, error) {
	response := &Response{conn: c, upload: &upload{done: make(chan struct{})}}
	// Closing the connection when ctx ends also cancels the work at the endpoint.
	response.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	fail := func(sent, begun bool, err error) (*Response, error) {
		response.stop()
		_ = c.Close()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &RequestError{Sent: sent, Connected: true, Begun: begun, Err: err}
	}
	if ctx.Err() != nil {
		return fail(false, false, ctx.Err())
	}
	head, err := r.head()
	if err != nil {
		return fail(false, false, err)
	}
	c.limit.head.Start()
	buffers := net.Buffers{head}
	if len(r.Body) > 0 {
		buffers = append(buffers, r.Body)
	}
	if len(r.Body) <= maxInlineBodyBytes {
		response.upload.write(c.Conn, buffers)
	} else {
		go response.upload.write(c.Conn, buffers)
	}
	c.limit.left = maxHeadBytes
	defer func() { c.limit.left = noLimit }()
	for {
		headStart := c.consumed()
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				err = Error.New("the connection was closed before the answer: %w", err)
			}
			if response.Mismatched > 0 {
				err = errors.Join(ErrResponseMismatch, err)
			}
			return fail(true, c.limit.total > headStart, err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches == nil || r.Matches(resp) {
			response.Response = resp
			response.guardEnd(ctx)
			return response, nil
		}
		response.Mismatched++
		c.limit.left = noLimit
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<20)); err != nil || response.Mismatched > maxMismatched || !selfDelimited(resp) {
			return fail(true, false, ErrResponseMismatch)
		}
		c.limit.left = maxHeadBytes
		if err := c.checkNextHead(); err != nil {
			return fail(true, false, errors.Join(ErrResponseMismatch, err))
		}
	}
}

// checkNextHead begins the check of another response, of which some bytes may have been read.
func (c *conn) checkNextHead() error {
	c.limit.head.Start()
	buffered, err := c.reader.Peek(c.reader.Buffered())
	return errors.Join(err, c.limit.head.Check(buffered))
}

package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// server answers each request on a connection by handle, which returns false to
// close it, and counts connections.
func server(t *testing.T, handle func(c net.Conn, r *bufio.Reader) bool) (address string, connections *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	connections = new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for handle(c, r) {
				}
			}()
		}
	}()
	return l.Addr().String(), connections
}

// read consumes one request with its body.
func read(r *bufio.Reader) (string, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	body, err := io.ReadAll(req.Body)
	return req.Method + " " + req.RequestURI + " " + string(body), err == nil
}

func ok(c net.Conn, extra string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\nfine", extra)
	return err == nil
}

// do sends a request and reads the whole answer.
func do(p *Pool, address string, r *Request) (string, error) {
	resp, err := p.Do(context.Background(), address, r)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		_ = resp.Close(false)
		return "", err
	}
	return string(body), resp.Close(true)
}

func post(body string) *Request {
	return &Request{Method: http.MethodPost, Target: "/x?y=1", Host: "h", Header: http.Header{}, Body: []byte(body)}
}

// Guards against a connection for each request, and against one that is used
// after the endpoint said that it closes it.
func TestKeptConnections(t *testing.T) {
	for _, c := range []struct {
		name, header string
		maxIdle      time.Duration
		connections  int64
	}{
		{"kept", "", 0, 1}, {"kept for a while", "Keep-Alive: timeout=5\r\n", 0, 1}, {"closed by the endpoint", "Connection: close\r\n", 0, 3},
		{"kept too short", "Keep-Alive: timeout=0\r\n", 0, 1}, {"idle for too long", "", time.Nanosecond, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, connections := server(t, func(conn net.Conn, r *bufio.Reader) bool {
				text, whole := read(r)
				return whole && text == "POST /x?y=1 body" && ok(conn, c.header)
			})
			p := NewPool(nil)
			for range 3 {
				r := post("body")
				r.MaxIdle = c.maxIdle
				got, err := do(p, address, r)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, got, qt.Equals, "fine")
			}
			qt.Assert(t, connections.Load(), qt.Equals, c.connections)
		})
	}
}

// Guards the proof that a request has not left this process, which is the ground
// for sending one that must not run twice again.
func TestProofOfNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	closed := l.Addr().String()
	l.Close()
	_, err = do(NewPool(nil), closed, post("body"))
	var f *Failure
	qt.Assert(t, errors.As(err, &f), qt.IsTrue)
	qt.Check(t, f.Sent || f.Reached, qt.IsFalse)

	address, _ := server(t, func(_ net.Conn, r *bufio.Reader) bool { _, _ = read(r); return false })
	_, err = do(NewPool(nil), address, post("body"))
	qt.Assert(t, errors.As(err, &f), qt.IsTrue)
	qt.Check(t, f.Sent && f.Reached, qt.IsTrue)
}

// Guards against a kept connection that the endpoint has closed, or on which
// bytes came that nobody asked for.
func TestSpoiledConnectionIsNotUsed(t *testing.T) {
	for _, c := range []struct {
		name  string
		after func(conn net.Conn) bool
	}{
		{"closed", func(net.Conn) bool { return false }},
		{"unasked bytes", func(conn net.Conn) bool { time.Sleep(20 * time.Millisecond); return ok(conn, "") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, connections := server(t, func(conn net.Conn, r *bufio.Reader) bool {
				if _, whole := read(r); !whole {
					return false
				}
				return ok(conn, "") && c.after(conn)
			})
			p := NewPool(nil)
			for range 3 {
				got, err := do(p, address, post("body"))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, got, qt.Equals, "fine")
				time.Sleep(60 * time.Millisecond)
			}
			qt.Assert(t, connections.Load(), qt.Equals, int64(3))
		})
	}
}

// Guards against bytes after an answer that reach the next request.
func TestTrailingBytes(t *testing.T) {
	address, connections := server(t, func(conn net.Conn, r *bufio.Reader) bool {
		_, whole := read(r)
		if !whole {
			return false
		}
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfineHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
		return err == nil
	})
	p := NewPool(nil)
	for range 2 {
		got, err := do(p, address, post("body"))
		qt.Assert(t, got, qt.Equals, "fine")
		qt.Assert(t, err, qt.ErrorIs, ErrTrailing)
	}
	qt.Assert(t, connections.Load(), qt.Equals, int64(2))
}

// Guards against other bytes where the rest of a body is due, if an endpoint
// answers before it has read it.
func TestEarlyAnswer(t *testing.T) {
	long := strings.Repeat("b", 8<<20)
	address, connections := server(t, func(conn net.Conn, r *bufio.Reader) bool {
		if _, err := http.ReadRequest(r); err != nil {
			return false
		}
		if !ok(conn, "") {
			return false
		}
		n, _ := io.Copy(io.Discard, io.LimitReader(r, int64(len(long))))
		rest, _ := r.Peek(1)
		if n == int64(len(long)) && len(rest) > 0 && rest[0] != 'P' {
			t.Errorf("%q follows the body", rest)
		}
		return n == int64(len(long))
	})
	p := NewPool(nil)
	for range 2 {
		got, err := do(p, address, post(long))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.Equals, "fine")
	}
	qt.Check(t, connections.Load() >= 1, qt.IsTrue)
}

// Guards against an answer to another request, and against waiting for the own
// one for ever.
func TestForeignAnswer(t *testing.T) {
	address, _ := server(t, func(conn net.Conn, r *bufio.Reader) bool {
		_, whole := read(r)
		return whole && ok(conn, "X-Id: other\r\n") && ok(conn, "X-Id: own\r\n")
	})
	r := post("body")
	r.Matches = func(resp *http.Response) bool { return resp.Header.Get("X-Id") == "own" }
	resp, err := NewPool(nil).Do(context.Background(), address, r)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.Foreign, qt.Equals, 1)
	qt.Check(t, resp.Header.Get("X-Id"), qt.Equals, "own")
	qt.Check(t, resp.Close(false), qt.IsNil)
}

// Guards against a request that outlives its caller.
func TestCancel(t *testing.T) {
	address, _ := server(t, func(_ net.Conn, r *bufio.Reader) bool { _, _ = read(r); time.Sleep(time.Second); return false })
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err := NewPool(nil).Do(ctx, address, post("body"))
	qt.Assert(t, err, qt.ErrorIs, context.DeadlineExceeded)
	qt.Assert(t, time.Since(began) < 500*time.Millisecond, qt.IsTrue)
}

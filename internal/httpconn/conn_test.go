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

// startServer runs a server that calls handle for each request on a connection
// until handle returns false, and then closes the connection. It returns the
// server's address and a counter of accepted connections.
func startServer(t *testing.T, handle func(c net.Conn, r *bufio.Reader) bool) (address string, connections *atomic.Int64) {
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

// readRequest reads one request with its body.
func readRequest(r *bufio.Reader) (string, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	body, err := io.ReadAll(req.Body)
	return req.Method + " " + req.RequestURI + " " + string(body), err == nil
}

func writeOK(c net.Conn, extra string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\nfine", extra)
	return err == nil
}

// roundTrip sends a request and reads the whole response.
func roundTrip(p *Pool, address string, r *Request) (string, error) {
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

// TestConnectionReuse guards against opening a connection for each request, and
// against reusing a connection after the endpoint announced that it closes it
// or after it was idle for longer than MaxIdle.
func TestConnectionReuse(t *testing.T) {
	for _, c := range []struct {
		name, header string
		maxIdle      time.Duration
		connections  int64
	}{
		{"kept", "", 0, 1}, {"kept with a timeout", "Keep-Alive: timeout=5\r\n", 0, 1}, {"closed by the endpoint", "Connection: close\r\n", 0, 3},
		{"zero timeout is ignored", "Keep-Alive: timeout=0\r\n", 0, 1}, {"idle for longer than MaxIdle", "", time.Nanosecond, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, connections := startServer(t, func(conn net.Conn, r *bufio.Reader) bool {
				text, complete := readRequest(r)
				return complete && text == "POST /x?y=1 body" && writeOK(conn, c.header)
			})
			p := NewPool(nil)
			for range 3 {
				r := post("body")
				r.MaxIdle = c.maxIdle
				got, err := roundTrip(p, address, r)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, got, qt.Equals, "fine")
			}
			qt.Assert(t, connections.Load(), qt.Equals, c.connections)
		})
	}
}

// TestRequestErrorSent guards the value of RequestError.Sent: a request that must
// not run twice is sent again only if no byte of it left this process.
func TestRequestErrorSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	closedAddress := l.Addr().String()
	l.Close()
	_, err = roundTrip(NewPool(nil), closedAddress, post("body"))
	var reqErr *RequestError
	qt.Assert(t, errors.As(err, &reqErr), qt.IsTrue)
	qt.Check(t, reqErr.Sent || reqErr.Connected, qt.IsFalse)

	address, _ := startServer(t, func(_ net.Conn, r *bufio.Reader) bool { _, _ = readRequest(r); return false })
	_, err = roundTrip(NewPool(nil), address, post("body"))
	qt.Assert(t, errors.As(err, &reqErr), qt.IsTrue)
	qt.Check(t, reqErr.Sent && reqErr.Connected, qt.IsTrue)
}

// TestUnusableConnectionNotReused guards against reusing a connection that the
// endpoint has closed, or on which unsolicited bytes have arrived.
func TestUnusableConnectionNotReused(t *testing.T) {
	for _, c := range []struct {
		name          string
		afterResponse func(conn net.Conn) bool
	}{
		{"closed", func(net.Conn) bool { return false }},
		{"unsolicited bytes", func(conn net.Conn) bool { return writeOK(conn, "") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			// The server acts only once the client has taken the response and returned
			// the connection to the pool.
			taken, done := make(chan struct{}), make(chan struct{})
			address, connections := startServer(t, func(conn net.Conn, r *bufio.Reader) bool {
				if _, complete := readRequest(r); !complete {
					return false
				}
				if !writeOK(conn, "") {
					return false
				}
				<-taken
				again := c.afterResponse(conn)
				if !again {
					_ = conn.Close()
				}
				done <- struct{}{}
				return again
			})
			p := NewPool(nil)
			for range 3 {
				got, err := roundTrip(p, address, post("body"))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, got, qt.Equals, "fine")
				taken <- struct{}{}
				<-done
			}
			qt.Assert(t, connections.Load(), qt.Equals, int64(3))
		})
	}
}

// TestTrailingBytes guards against bytes after a response being read as the
// response to the next request.
func TestTrailingBytes(t *testing.T) {
	address, connections := startServer(t, func(conn net.Conn, r *bufio.Reader) bool {
		_, complete := readRequest(r)
		if !complete {
			return false
		}
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfineHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
		return err == nil
	})
	p := NewPool(nil)
	for range 2 {
		got, err := roundTrip(p, address, post("body"))
		qt.Assert(t, got, qt.Equals, "fine")
		qt.Assert(t, err, qt.ErrorIs, ErrTrailingData)
	}
	qt.Assert(t, connections.Load(), qt.Equals, int64(2))
}

// TestHeadWithoutEnd guards against a head that an endpoint sends without end, in one
// line, in many, or as interim responses: reading it would take all memory.
func TestHeadWithoutEnd(t *testing.T) {
	for _, c := range []struct{ name, first, repeated string }{
		{"status line", "HTTP/1.1 200 ", "x"}, {"header line", "HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X-Line: y\r\n"}, {"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"no protocol", "", "\x00"},
	} {
		t.Run(c.name, func(t *testing.T) {
			sent := make(chan int64, 1)
			address, _ := startServer(t, func(conn net.Conn, r *bufio.Reader) bool {
				if _, complete := readRequest(r); !complete {
					return false
				}
				_, _ = io.WriteString(conn, c.first)
				chunk, total := []byte(strings.Repeat(c.repeated, 4096/len(c.repeated))), int64(0)
				for total < 64<<20 {
					n, err := conn.Write(chunk)
					total += int64(n)
					if err != nil {
						break
					}
				}
				sent <- total
				return false
			})
			resp, err := NewPool(nil).Do(t.Context(), address, post("body"))
			if err == nil {
				_ = resp.Close(false)
			}
			var reqErr *RequestError
			qt.Assert(t, errors.As(err, &reqErr), qt.IsTrue, qt.Commentf("%v", err))
			qt.Check(t, reqErr.Sent, qt.IsTrue, qt.Commentf("the request may have run"))
			// What the endpoint could send is what was read and the buffers of both sockets.
			qt.Check(t, <-sent < 64<<20, qt.IsTrue)
		})
	}
}

// TestEarlyResponse guards against sending another request in place of the rest
// of a body when an endpoint responds before it has read the whole body.
func TestEarlyResponse(t *testing.T) {
	longBody := strings.Repeat("b", 8<<20)
	address, connections := startServer(t, func(conn net.Conn, r *bufio.Reader) bool {
		if _, err := http.ReadRequest(r); err != nil {
			return false
		}
		if !writeOK(conn, "") {
			return false
		}
		n, _ := io.Copy(io.Discard, io.LimitReader(r, int64(len(longBody))))
		rest, _ := r.Peek(1)
		if n == int64(len(longBody)) && len(rest) > 0 && rest[0] != 'P' {
			t.Errorf("got %q after the body, want the next request", rest)
		}
		return n == int64(len(longBody))
	})
	p := NewPool(nil)
	for range 2 {
		got, err := roundTrip(p, address, post(longBody))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.Equals, "fine")
	}
	qt.Check(t, connections.Load() >= 1, qt.IsTrue)
}

// TestMismatchedResponse guards against delivering the response to another
// request, and against waiting forever for the matching response.
func TestMismatchedResponse(t *testing.T) {
	address, _ := startServer(t, func(conn net.Conn, r *bufio.Reader) bool {
		_, complete := readRequest(r)
		return complete && writeOK(conn, "X-Id: other\r\n") && writeOK(conn, "X-Id: own\r\n")
	})
	r := post("body")
	r.Matches = func(resp *http.Response) bool { return resp.Header.Get("X-Id") == "own" }
	resp, err := NewPool(nil).Do(context.Background(), address, r)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.Mismatched, qt.Equals, 1)
	qt.Check(t, resp.Header.Get("X-Id"), qt.Equals, "own")
	qt.Check(t, resp.Close(false), qt.IsNil)
}

// TestCancel guards against a request that continues after its context has
// ended.
func TestCancel(t *testing.T) {
	address, _ := startServer(t, func(_ net.Conn, r *bufio.Reader) bool { _, _ = readRequest(r); time.Sleep(time.Second); return false })
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err := NewPool(nil).Do(ctx, address, post("body"))
	qt.Assert(t, err, qt.ErrorIs, context.DeadlineExceeded)
	qt.Assert(t, time.Since(began) < 500*time.Millisecond, qt.IsTrue)
}

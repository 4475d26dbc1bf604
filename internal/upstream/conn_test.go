package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/verdict"
)

// staleServer answers the first request of each connection and closes the
// connection without an answer when the second one arrives.
func staleServer(c *qt.C) (address string, requests, connections *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	requests, connections = new(atomic.Int64), new(atomic.Int64)
	serve := func(conn net.Conn) {
		defer conn.Close()
		r := bufio.NewReader(conn)
		for i := range 2 {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			requests.Add(1)
			if i == 0 {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go serve(conn)
		}
	}()
	return l.Addr().String(), requests, connections
}

func readAnswer(client *Client, call PlainCall) (string, error) {
	answer, err := client.Do(context.Background(), call)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

// TestStaleIdleConnection guards against a request that may not be repeated on a
// stale idle connection, and against a repetition by net/http itself.
func TestStaleIdleConnection(t *testing.T) {
	for _, test := range []struct {
		name      string
		method    string
		header    http.Header
		body      string
		mayRepeat bool
	}{
		{"lookup", http.MethodGet, nil, "", true},
		{"repeatable post with a key", http.MethodPost, http.Header{"Idempotency-Key": {"k"}}, "", true},
		{"repeatable post with a key and a body", http.MethodPost, http.Header{"Idempotency-Key": {"k"}}, "b", true},
		{"booking", http.MethodPost, http.Header{"Idempotency-Key": {"k"}}, "b", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address, requests, connections := staleServer(c)
			client := startClient(c, Options{})
			call := PlainCall{Endpoint: address, RequestID: "r", Method: test.method, Target: "/x?y=1", Header: test.header, MayRepeat: test.mayRepeat, Length: int64(len(test.body))}
			send := func() (string, error) {
				if test.body != "" {
					call.Body = strings.NewReader(test.body)
				}
				return readAnswer(client, call)
			}
			body, err := send()
			c.Assert(err, qt.IsNil)
			c.Assert(body, qt.Equals, "ok")
			_, err = send()
			if test.mayRepeat {
				checkFailure(c, err, ReasonConnectionLost, verdict.MayHaveRun, true)
				c.Check(connections.Load(), qt.Equals, int64(1))
			} else {
				c.Assert(err, qt.IsNil)
				c.Check(connections.Load(), qt.Equals, int64(2))
			}
			c.Check(requests.Load(), qt.Equals, int64(2))
		})
	}
}

// TestSealedConnection guards against a write that begins after the client has
// said that nothing was written.
func TestSealedConnection(t *testing.T) {
	c := qt.New(t)
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	conn := &countingConn{Conn: near}
	proof := &writeProof{}
	c.Check(proof.nothingWritten(), qt.IsTrue, qt.Commentf("no connection was obtained"))
	proof.gotConn(httptrace.GotConnInfo{Conn: conn})
	c.Check(proof.nothingWritten(), qt.IsTrue)
	_, err := conn.Write([]byte("x"))
	c.Check(err, qt.ErrorIs, errSealed)

	conn = &countingConn{Conn: near}
	proof = &writeProof{}
	proof.gotConn(httptrace.GotConnInfo{Conn: conn})
	go func() { _, _ = io.ReadFull(far, make([]byte, 1)) }()
	_, err = conn.Write([]byte("x"))
	c.Assert(err, qt.IsNil)
	c.Check(proof.nothingWritten(), qt.IsFalse)

	proof = &writeProof{}
	proof.gotConn(httptrace.GotConnInfo{Conn: &countingConn{Conn: near}})
	proof.gotConn(httptrace.GotConnInfo{Conn: &countingConn{Conn: near}})
	c.Check(proof.nothingWritten(), qt.IsFalse, qt.Commentf("the transport repeated the request"))
}

// TestProofOfNotRun guards against a claim of not-run for bytes that a
// connection took, and against a missing claim where a dial never ended.
func TestProofOfNotRun(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	hang := startClient(c, Options{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}, DialTimeout: 20 * time.Millisecond})
	_, err := hang.Chat(ctx, Call{Endpoint: "192.0.2.1:1", RequestID: "r", Body: chatBody("p", 1)})
	checkFailure(c, err, ReasonCancelled, verdict.NotRun, false)

	broken := startClient(c, Options{Dial: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		c.Cleanup(func() { _ = far.Close() })
		return brokenConn{near}, nil
	}})
	_, err = broken.Chat(context.Background(), Call{Endpoint: "192.0.2.1:1", RequestID: "r", Body: chatBody("p", 1)})
	checkFailure(c, err, ReasonConnectionLost, verdict.MayHaveRun, true)
}

// brokenConn fails every write, which may have sent a part.
type brokenConn struct{ net.Conn }

// Write implements net.Conn.
func (brokenConn) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

// TestSendBefore guards against a request that is sent under a grant that has
// ended, as after a pause of the process between the grant and the first byte.
func TestSendBefore(t *testing.T) {
	c := qt.New(t)
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	conn := &countingConn{Conn: near}
	proof := &writeProof{sendBefore: time.Now().Add(-time.Millisecond)}
	proof.gotConn(httptrace.GotConnInfo{Conn: conn})
	_, err := conn.Write([]byte("x"))
	c.Check(err, qt.ErrorIs, errLate)
	c.Check(proof.late(), qt.IsTrue)
	c.Check(proof.nothingWritten(), qt.IsTrue)
}

package upstream

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/answers"
	"auburnstep.example/auburnstep/internal/endpointapi"
	"auburnstep.example/auburnstep/internal/fakeengine"
	"auburnstep.example/auburnstep/internal/verdict"
)

func booking(s *fakeengine.Server, body io.Reader, length int64) PlainCall {
	return PlainCall{
		Endpoint: s.Addr(), RequestID: "r", Method: http.MethodPost, Target: "/bookings?crew=2", Body: body, Length: length,
		Header:  http.Header{"Idempotency-Key": {"k"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}},
		MaxBody: 1000, MaxResponse: 1000, MaxTimeToFirstByte: longTimeout, MaxTimeBetweenBytes: longTimeout,
	}
}

func TestDoForwardsBodies(t *testing.T) {
	c := qt.New(t)
	fake := startFake(c, fakeengine.Config{Kind: endpointapi.KindPlain})
	client := startClient(c, Options{})
	for _, length := range []int64{5, -1} {
		text, err := readResponse(client, booking(fake, strings.NewReader("hello"), length))
		c.Assert(err, qt.IsNil)
		var echo answers.Echo
		c.Assert(json.Unmarshal([]byte(text), &echo), qt.IsNil)
		c.Check(echo.Digest, qt.Equals, answers.DigestOf("hello"))
		c.Check(echo.Query, qt.Equals, "crew=2")
	}
	c.Check(len(fake.Ledger()), qt.Equals, 2)
	c.Check(fake.Stats().Connections, qt.Equals, int64(2), qt.Commentf("each booking uses a new connection"))
}

// TestTimeoutHeader guards against a timeout header that has the caller's original timeout,
// or the caller's own header value, instead of the time until the deadline.
func TestTimeoutHeader(t *testing.T) {
	c := qt.New(t)
	var got []string
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		got = r.Header.Values(HeaderTimeout)
	}))
	defer server.Close()
	client := startClient(c, Options{})
	ctx, cancel := context.WithTimeout(context.Background(), longTimeout)
	defer cancel()
	for _, send := range []func(){
		func() { _, _ = client.Chat(ctx, Call{Endpoint: server.Listener.Addr().String()}) },
		func() {
			_, _ = client.Do(ctx, PlainCall{Endpoint: server.Listener.Addr().String(), Method: http.MethodGet, Target: "/",
				Header: http.Header{HeaderTimeout: {"99999999"}}})
		},
	} {
		got = nil
		send()
		c.Assert(got, qt.HasLen, 1)
		left, err := strconv.Atoi(got[0])
		c.Assert(err, qt.IsNil)
		c.Check(left > 0 && int64(left) <= longTimeout.Milliseconds(), qt.IsTrue, qt.Commentf("%d", left))
	}
}

// errReader fails like the request body of a caller that has disconnected.
type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, errors.New("caller disconnected") }

func TestDoFailures(t *testing.T) {
	long := strings.Repeat("x", 5000)
	for _, test := range []struct {
		name          string
		fault         fakeengine.FaultKind
		change        func(*PlainCall)
		reason        Reason
		verdict       verdict.Verdict
		endpointFault bool
	}{
		{"refused", fakeengine.FaultOverload, nil, ReasonRefused, verdict.NotRun, false},
		{"crossed", fakeengine.FaultCrossed, nil, ReasonResponseMismatch, verdict.MayHaveRun, true},
		{"truncated", fakeengine.FaultTruncated, nil, ReasonResponseTruncated, verdict.MayHaveRun, true},
		{"frozen", fakeengine.FaultFreeze, func(p *PlainCall) { p.MaxTimeToFirstByte = 20 * time.Millisecond }, ReasonFirstTokenTimeout, verdict.MayHaveRun, true},
		{"body of known length too large", "", func(p *PlainCall) { p.Body, p.Length = strings.NewReader(long), 5000 }, ReasonRequestTooLarge, verdict.NotRun, false},
		{"body of unknown length too large", "", func(p *PlainCall) { p.Body, p.Length = strings.NewReader(long), -1 }, ReasonRequestTooLarge, verdict.MayHaveRun, false},
		{"body ends early", "", func(p *PlainCall) { p.Length = 50 }, ReasonRequestBodyFailed, verdict.MayHaveRun, false},
		{"caller disconnects", "", func(p *PlainCall) { p.Body, p.Length = io.MultiReader(p.Body, errReader{}), -1 }, ReasonRequestBodyFailed, verdict.MayHaveRun, false},
		{"response too large", "", func(p *PlainCall) { p.MaxResponse = 10 }, ReasonResponseTooLarge, verdict.MayHaveRun, false},
		{"invalid target", "", func(p *PlainCall) { p.Target = "no path" }, ReasonInvalid, verdict.NotRun, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			fake := startFake(c, fakeengine.Config{Kind: endpointapi.KindPlain})
			client := startClient(c, Options{})
			if test.fault != "" {
				fake.Inject(fakeengine.Fault{Kind: test.fault})
			}
			call := booking(fake, strings.NewReader("hello"), 5)
			if test.change != nil {
				test.change(&call)
			}
			_, err := readResponse(client, call)
			checkFailure(c, err, test.reason, test.verdict, test.endpointFault)
			if test.verdict == verdict.NotRun {
				c.Check(fake.Ledger(), qt.HasLen, 0)
			}
		})
	}
}

// TestDoIncompleteResponses guards against an incomplete response that is accepted as
// complete.
func TestDoIncompleteResponses(t *testing.T) {
	for _, test := range []struct {
		name     string
		response string
		keepOpen bool // keep the connection open after the response
		reason   Reason
	}{
		{"body ends with the connection", "HTTP/1.1 200 OK\r\n\r\nbody", false, ReasonResponseMalformed},
		{"body shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody", false, ReasonResponseTruncated},
		{"body stalls", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody", true, ReasonBetweenTokensTimeout},
		{"chunks end early", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", false, ReasonResponseTruncated},
		{"chunks exceed the size limit", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n14\r\n01234567890123456789\r\n0\r\n\r\n", false, ReasonResponseTooLarge},
		{"no response", "", false, ReasonConnectionLost},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			done := make(chan struct{})
			go func() {
				defer close(done)
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = io.WriteString(conn, test.response)
				if test.keepOpen {
					_, _ = io.Copy(io.Discard, conn)
				}
			}()
			client := startClient(c, Options{})
			call := PlainCall{Endpoint: l.Addr().String(), RequestID: "r", Method: http.MethodGet, Target: "/", MaxResponse: 16}
			if test.keepOpen {
				call.MaxTimeBetweenBytes = 20 * time.Millisecond
			}
			_, err = readResponse(client, call)
			c.Check(ReasonOf(err), qt.Equals, test.reason, qt.Commentf("%v", err))
			c.Check(verdict.From(err).Verdict, qt.Equals, verdict.MayHaveRun)
			_ = l.Close()
			<-done
		})
	}
}

// TestHeaderThatStopsInItsMiddle guards against a response whose header stops at any byte, with
// a regular close or a reset, and that counts as a response, or as proof that the request
// has not run.
func TestHeaderThatStopsInItsMiddle(t *testing.T) {
	for _, reset := range []bool{false, true} {
		c := qt.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		defer listener.Close()
		const header = "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": r\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n"
		cut := make(chan int, 1)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				// Requests to cancel another one get no answer.
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil && r.Method != http.MethodDelete {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(conn, header[:<-cut])
				}
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			}
		}()
		client := startClient(c, Options{})
		for n := range len(header) {
			for _, send := range []func() error{
				func() error {
					_, err := client.Do(context.Background(), PlainCall{Endpoint: listener.Addr().String(), RequestID: "r", Method: http.MethodGet, Target: "/",
						MaxResponse: 1000, MaxTimeToFirstByte: longTimeout, MaxTimeBetweenBytes: longTimeout})
					return err
				},
				func() error {
					stream, err := client.Chat(context.Background(), Call{Endpoint: listener.Addr().String(), RequestID: "r", Body: chatBody("x", 2),
						MaxTimeToFirstToken: longTimeout, MaxTimeBetweenTokens: longTimeout})
					if err == nil {
						stream.Close()
					}
					return err
				},
			} {
				cut <- n
				err := send()
				var failure *RequestError
				c.Assert(errors.As(err, &failure), qt.IsTrue, qt.Commentf("%d bytes: %v", n, err))
				c.Check(failure.Err.Verdict, qt.Equals, verdict.MayHaveRun, qt.Commentf("%d bytes", n))
			}
		}
	}
}

package router

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/quarantine"
	"auburnstep.example/auburnstep/internal/routing"
)

// deadlyPart is the prompt part that crashes a crashingEndpoint.
const deadlyPart = "deadly"

// crashingEndpoint returns an endpoint that closes its listener and its connections as
// soon as it begins to answer a request with deadlyPart. It counts these requests.
func crashingEndpoint(t *testing.T, id string, deadly *atomic.Int64) *fakeEndpoint {
	var crashed atomic.Bool
	var e *fakeEndpoint
	e = newFakeEndpoint(t, id, func(c net.Conn, r *http.Request, _ string) bool {
		isDeadly := strings.Contains(r.Header.Get(nativePrompt), " "+deadlyPart+":")
		if isDeadly {
			deadly.Add(1)
		}
		switch {
		case crashed.Load():
			return false
		case isDeadly:
			crashed.Store(true)
			e.listener.Close()
			_, _ = io.WriteString(c, head(r, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
			return false
		}
		writeEvents(c, r, 0, 3, true)
		return true
	})
	return e
}

// TestCrashingPromptPartKeepsReachingEndpoints guards against requests that crash one
// endpoint after the other because a part of their prompts does, while nothing connects
// the crashes. Requests that share the other parts must be served on.
func TestCrashingPromptPartKeepsReachingEndpoints(t *testing.T) {
	const (
		rounds = 30
		// maxDeadly is five crashes and three more requests.
		maxDeadly = 8
	)
	for _, c := range []struct {
		name    string
		service routing.Service
	}{
		{"engines", routing.Service{Name: "s", Engine: &routing.Engine{KVTokens: 100_000}}},
		{"plain endpoints", routing.Service{Name: "s"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var deadly atomic.Int64
			var endpoints []*fakeEndpoint
			for i := range 2 * rounds {
				endpoints = append(endpoints, crashingEndpoint(t, fmt.Sprint("e", i), &deadly))
			}
			table := table()
			table.Services = []routing.Service{c.service}
			_, address := startRouterWithTable(t, table, endpoints...)
			send := func(parts string) int {
				resp, _, err := postRequest(t, address, "/plan/1", func(r *http.Request) { r.Header.Set(nativePrompt, "5000,10 system:1000 caller:500 "+parts) })
				if err != nil {
					return 0
				}
				return resp.StatusCode
			}
			for i := range rounds {
				send(fmt.Sprintf("%s:300 own-%d:200", deadlyPart, i))
				for j := range 4 {
					qt.Check(t, send(fmt.Sprintf("file-%d:300 sound-%d-%d:200", j, i, j)), qt.Equals, 200)
				}
				time.Sleep(100 * time.Millisecond)
			}
			qt.Check(t, deadly.Load() <= maxDeadly, qt.IsTrue, qt.Commentf("%d requests with the part reached endpoints", deadly.Load()))
		})
	}
}

// endpointCrashedInAnswer returns an endpoint that writes the first bytes of an answer to a
// request with deadlyPart, as a stream or with a length, and then closes its listener and its
// connections. It counts these requests.
func endpointCrashedInAnswer(t *testing.T, id string, cut int, deadly *atomic.Int64) *fakeEndpoint {
	var crashed atomic.Bool
	var e *fakeEndpoint
	e = newFakeEndpoint(t, id, func(c net.Conn, r *http.Request, _ string) bool {
		stream := strings.HasPrefix(r.URL.Path, "/plan/")
		isDeadly := strings.Contains(r.Header.Get(nativePrompt), " "+deadlyPart+":")
		if isDeadly {
			deadly.Add(1)
		}
		switch {
		case crashed.Load():
			return false
		case isDeadly:
			crashed.Store(true)
			e.listener.Close()
			answer := head(r, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n") + "1c\r\nid: 0\ndata: event 0\n\n"
			if !stream {
				answer = head(r, "Content-Type: text/plain\r\nContent-Length: 60\r\n") + "part of a body"
			}
			_, _ = io.WriteString(c, answer[:min(cut, len(answer))])
			return false
		case stream:
			writeEvents(c, r, 0, 3, true)
		default:
			writeResponse(c, r, http.StatusOK, "sound")
		}
		return true
	})
	return e
}

// TestCrashInsideHeadKeepsReachingEndpoints guards against a prompt part that is never
// refused because its crashes cut the answer inside the head, or at another byte. Requests
// that share the other parts must be served on.
func TestCrashInsideHeadKeepsReachingEndpoints(t *testing.T) {
	const (
		rounds = 12
		// maxDeadly is five crashes and three more requests.
		maxDeadly = 8
	)
	for _, path := range []string{"/plan/1", "/look/1", "/book/1"} {
		for _, engine := range []bool{true, false} {
			for _, cut := range []int{1, len("HTTP/1.1 200"), len("HTTP/1.1 200 OK\r\n"), 60, 90, 120, 200} {
				t.Run(fmt.Sprintf("%s engine=%v %d bytes", path, engine, cut), func(t *testing.T) {
					t.Parallel()
					var deadly atomic.Int64
					var endpoints []*fakeEndpoint
					for i := range 2 * rounds {
						endpoints = append(endpoints, endpointCrashedInAnswer(t, fmt.Sprint("e", i), cut, &deadly))
					}
					table := table()
					table.Services = []routing.Service{{Name: "s"}}
					if engine {
						table.Services[0].Engine = &routing.Engine{KVTokens: 100_000}
					}
					_, address := startRouterWithTable(t, table, endpoints...)
					send := func(parts string) int {
						resp, _, err := postRequest(t, address, path, func(r *http.Request) { r.Header.Set(nativePrompt, "5000,10 system:1000 caller:500 "+parts) })
						if err != nil {
							return 0
						}
						return resp.StatusCode
					}
					for i := range rounds {
						send(fmt.Sprintf("%s:300 own-%d:200", deadlyPart, i))
						for j := range 2 {
							qt.Check(t, send(fmt.Sprintf("file-%d:300 sound-%d-%d:200", j, i, j)), qt.Equals, 200)
						}
						time.Sleep(60 * time.Millisecond)
					}
					qt.Check(t, deadly.Load() <= maxDeadly, qt.IsTrue, qt.Commentf("%d requests with the part reached endpoints", deadly.Load()))
				})
			}
		}
	}
}

// TestRequestWaitsAtEndpointWithQuarantinedPart guards against requests that were sent
// before the quarantine began and crash their endpoints after it: they are cancelled
// unless their answers have begun.
func TestRequestWaitsAtEndpointWithQuarantinedPart(t *testing.T) {
	waiting, cancelled := make(chan struct{}), make(chan struct{})
	e := newFakeEndpoint(t, "e1", func(c net.Conn, _ *http.Request, _ string) bool {
		close(waiting)
		_, _ = c.Read(make([]byte, 1)) // Returns when the router closes the connection.
		close(cancelled)
		return false
	})
	s, address := startRouter(t, e)
	status := make(chan int, 1)
	go func() {
		resp, _, err := postRequest(t, address, "/plan/1", func(r *http.Request) { r.Header.Set(nativePrompt, "500,10 "+deadlyPart+":300 own:200") })
		if err != nil {
			t.Error(err)
			status <- 0
			return
		}
		status <- resp.StatusCode
	}()
	<-waiting
	now := time.Now()
	for i, id := range []string{"a", "b", "c"} {
		lost := now.Add(time.Duration(i-3) * time.Second)
		s.options.Crashes.Add(now, quarantine.Report{
			Endpoint: "gone-" + id, Request: id, Parts: []string{deadlyPart}, SentAt: lost.Add(-time.Second), LostAt: lost,
		})
	}
	<-cancelled
	qt.Check(t, <-status, qt.Equals, http.StatusBadGateway) // It may have run.
	resp, _, err := postRequest(t, address, "/plan/1", func(r *http.Request) { r.Header.Set(nativePrompt, "500,10 "+deadlyPart+":300 own:200") })
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, resp.Header.Get("Retry-After"), qt.Equals, "60.000")
	qt.Check(t, e.runs.Load(), qt.Equals, int64(1))
}

// TestCrashingRequestKeepsReachingEndpoints guards against a request that crashes each
// endpoint which begins to run it and that comes again and again, while nothing connects
// the crashes. Requests with another target, customer or body must be served on.
func TestCrashingRequestKeepsReachingEndpoints(t *testing.T) {
	const (
		rounds = 30
		// maxDeadly is three crashes and three more requests.
		maxDeadly = 6
	)
	prompt := func(r *http.Request) { r.Header.Set(nativePrompt, "5000,10 system:1000 caller:500 own:200") }
	for _, c := range []struct {
		name, path string
		modify     func(r *http.Request)
		begins     bool // the crash comes after the head of the response
	}{
		{"repeatable", "/look/1", nil, false},
		{"at most once", "/book/1", nil, false},
		{"stream", "/chat/1", nil, false},
		{"stream, after its head", "/chat/1", nil, true},
		{"prompt", "/plan/1", prompt, false},
		{"prompt, after the head", "/plan/1", prompt, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var deadly atomic.Int64
			var endpoints []*fakeEndpoint
			for i := range 2 * rounds {
				endpoints = append(endpoints, endpointCrashedBy(t, fmt.Sprint("e", i), c.begins, &deadly))
			}
			table := table()
			table.Customers = append(table.Customers, routing.Customer{Name: "other", Keys: []string{"other-key"}})
			_, address := startRouterWithTable(t, table, endpoints...)
			send := func(path, key, body string) int {
				resp, _, err := postRequest(t, address, path, func(r *http.Request) {
					if c.modify != nil {
						c.modify(r)
					}
					r.Header.Set("Authorization", "Bearer "+key)
					r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
				})
				if err != nil {
					return 0
				}
				return resp.StatusCode
			}
			for i := range rounds {
				send(c.path, "key", deadlyBody)
				qt.Check(t, send(c.path, "key", "sound"), qt.Equals, 200)
				qt.Check(t, send(fmt.Sprint(c.path, i), "key", "sound"), qt.Equals, 200)
				qt.Check(t, send(c.path, "other-key", "sound"), qt.Equals, 200)
				time.Sleep(60 * time.Millisecond)
			}
			qt.Check(t, deadly.Load() <= maxDeadly, qt.IsTrue, qt.Commentf("the request reached endpoints %d times", deadly.Load()))
		})
	}
}

// deadlyBody is the body that crashes an endpoint of endpointCrashedBy.
const deadlyBody = "deadly body"

// endpointCrashedBy returns an endpoint that closes its listener and its connections as
// it begins to run a request with deadlyBody. It counts these requests.
func endpointCrashedBy(t *testing.T, id string, begins bool, deadly *atomic.Int64) *fakeEndpoint {
	var crashed atomic.Bool
	var e *fakeEndpoint
	e = newFakeEndpoint(t, id, func(c net.Conn, r *http.Request, body string) bool {
		isDeadly := body == deadlyBody
		if isDeadly {
			deadly.Add(1)
		}
		switch {
		case crashed.Load():
			return false
		case isDeadly:
			crashed.Store(true)
			e.listener.Close()
			if begins {
				_, _ = io.WriteString(c, head(r, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
			}
			return false
		case strings.HasPrefix(r.URL.Path, "/chat/"), strings.HasPrefix(r.URL.Path, "/plan/"):
			writeEvents(c, r, 0, 3, true)
		default:
			writeResponse(c, r, http.StatusOK, "sound")
		}
		return true
	})
	return e
}

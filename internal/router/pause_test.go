package router

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPausedEndpointGetsRequests guards against requests to an endpoint that has turned one
// away and asked for a pause, and against a pause that does not end.
func TestPausedEndpointGetsRequests(t *testing.T) {
	const pause = 700 * time.Millisecond
	var paused, other atomic.Int64
	one := newFakeEndpoint(t, "e1", respondOnce(&paused, 503, notRunField+"Retry-After: 0.7\r\n"))
	two := newFakeEndpoint(t, "e2", respondOnce(&other, 200, ""))
	s, address := startRouter(t, one, two)
	preferFirst(s)
	send := func() {
		resp, _, err := postRequest(t, address, "/look/1", nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
	}
	for paused.Load() == 0 {
		send()
	}
	began := time.Now()
	for time.Since(began) < pause-50*time.Millisecond {
		send()
	}
	qt.Check(t, paused.Load(), qt.Equals, int64(1))
	for paused.Load() == 1 && time.Since(began) < 3*time.Second {
		send()
	}
	qt.Check(t, paused.Load() > 1, qt.IsTrue, qt.Commentf("the endpoint got no request within 3 s"))
}

// TestAllEndpointsPaused guards against requests to endpoints that have asked for a pause
// because no other is left, and against a refusal that names no time.
func TestAllEndpointsPaused(t *testing.T) {
	var count atomic.Int64
	one := newFakeEndpoint(t, "e1", respondOnce(&count, 503, notRunField+"Retry-After: 30\r\n"))
	_, address := startRouter(t, one)
	for range 10 {
		resp, _, err := postRequest(t, address, "/look/1", nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	}
	qt.Check(t, count.Load(), qt.Equals, int64(1))
}

package router

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// respondOnce returns a handler that answers its first request with a status and fields,
// and the others with 200. It counts the requests.
func respondOnce(count *atomic.Int64, status int, fields string) func(c net.Conn, r *http.Request, _ string) bool {
	return func(c net.Conn, r *http.Request, _ string) bool {
		if count.Add(1) > 1 {
			writeResponse(c, r, http.StatusOK, "fine")
			return true
		}
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%s: %s\r\n%sContent-Length: 4\r\n\r\nfine", status, nativeRequestID, r.Header.Get(nativeRequestID), fields)
		return true
	}
}

const (
	leavingField = "X-Auburnstep-Leaving: 1\r\n"
	notRunField  = "X-Auburnstep-Verdict: not-run\r\n"
)

// TestLeavingEndpointGetsNewRequests guards against requests to an endpoint that has said in
// an answer that it is leaving, while its announcements still say that it serves.
func TestLeavingEndpointGetsNewRequests(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		fields string
	}{
		{"answer", 200, leavingField}, {"error", 500, leavingField}, {"refusal", 503, leavingField + notRunField}, {"not found", 404, leavingField},
	} {
		t.Run(c.name, func(t *testing.T) {
			var leaving, other atomic.Int64
			one := newFakeEndpoint(t, "e1", respondOnce(&leaving, c.status, c.fields))
			two := newFakeEndpoint(t, "e2", respondOnce(&other, 200, ""))
			s, address := startRouter(t, one, two)
			preferFirst(s)
			for leaving.Load() == 0 {
				_, _, err := postRequest(t, address, "/look/1", nil)
				qt.Assert(t, err, qt.IsNil)
			}
			for range 20 {
				resp, _, err := postRequest(t, address, "/look/1", nil)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
			}
			qt.Check(t, leaving.Load(), qt.Equals, int64(1))
		})
	}
}

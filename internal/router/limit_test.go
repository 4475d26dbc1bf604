package router

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/directory"
)

// startEntries runs routers that send to the same endpoints.
func startEntries(t *testing.T, n int, endpoints ...*fakeEndpoint) (addresses []string) {
	service := directory.NewService(nil, directory.NewCrashes(nil, nil), "")
	for range n {
		s, address := startRouter(t, endpoints...)
		s.options.Limits.UseService(service, n)
		addresses = append(addresses, address)
	}
	return addresses
}

// TestEntriesTogetherExceedLimitOfEndpoint guards against an endpoint that gets more
// requests than the limit that it names, from all entries together, and against a limit
// that entries go on to obey after it has ended.
func TestEntriesTogetherExceedLimitOfEndpoint(t *testing.T) {
	const (
		entries   = 6
		perSecond = 2.0
		window    = 4 * time.Second
		limited   = 6 * time.Second
		// maxInWindow is one and a half times what the limit allows, and five more.
		maxInWindow = int(1.5*perSecond*4) + 5
		// unlimited is how long requests go on after the limit has ended, and minAfter the
		// requests that the endpoint gets in this time at least: a third of its share.
		unlimited   = 3 * time.Second
		callsPerSec = 60
		minAfter    = callsPerSec * 3 / 3 / 3
	)
	var mu sync.Mutex
	var arrivals []time.Time
	var ended atomic.Bool
	respond := func(c net.Conn, r *http.Request, limit string) bool {
		time.Sleep(30 * time.Millisecond) // As long as entries expect of an endpoint that they do not know.
		_, err := c.Write([]byte("HTTP/1.1 200 X\r\nX-Request-Id: " + r.Header.Get(nativeRequestID) + "\r\n" + limit + "Content-Length: 4\r\n\r\nfine"))
		return err == nil
	}
	e1 := newFakeEndpoint(t, "e1", func(c net.Conn, r *http.Request, _ string) bool {
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		if ended.Load() {
			return respond(c, r, "")
		}
		return respond(c, r, "X-Auburnstep-Limit: "+strconv.FormatFloat(perSecond, 'f', -1, 64)+"\r\n")
	})
	free := func(c net.Conn, r *http.Request, _ string) bool { return respond(c, r, "") }
	e2, e3 := newFakeEndpoint(t, "e2", free), newFakeEndpoint(t, "e3", free)
	e2.domain, e3.domain = "other", "other" // Entries prefer e1.
	addresses := startEntries(t, entries, e1, e2, e3)
	var failed atomic.Int64
	run := func(d time.Duration) {
		var wg sync.WaitGroup
		for range int(d.Seconds() * callsPerSec) {
			wg.Go(func() {
				if resp, _, err := postRequest(t, addresses[rand.N(len(addresses))], "/look/1", nil); err != nil || resp.StatusCode != http.StatusOK {
					failed.Add(1)
				}
			})
			time.Sleep(time.Second / callsPerSec)
		}
		wg.Wait()
	}
	learned := time.Now().Add(500 * time.Millisecond)
	run(limited)
	mu.Lock()
	worst := 0
	for i, from := range arrivals {
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(from) < window {
				n++
			}
		}
		if from.After(learned) {
			worst = max(worst, n)
		}
	}
	before := len(arrivals)
	mu.Unlock()
	ended.Store(true)
	run(unlimited)
	mu.Lock()
	after := len(arrivals) - before
	mu.Unlock()
	qt.Check(t, worst <= maxInWindow, qt.IsTrue, qt.Commentf("%d requests in %s, at most %d", worst, window, maxInWindow))
	qt.Check(t, worst >= int(perSecond*window.Seconds()/2), qt.IsTrue, qt.Commentf("only %d requests in %s", worst, window))
	qt.Check(t, after >= minAfter, qt.IsTrue, qt.Commentf("%d requests after the limit has ended, at least %d", after, minAfter))
	qt.Check(t, failed.Load(), qt.Equals, int64(0))
}

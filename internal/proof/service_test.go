package proof

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/fakeengine"
)

// engineConfig returns the configuration of a fake engine of auburn-pool.
func engineConfig(slots int) fakeengine.Config {
	return fakeengine.Config{Service: "auburn-pool", Models: []string{"wax-1"}, Slots: slots, TokensPerSecond: 100}
}

// TestRollingRestart guards against a graceful stop that interrupts requests in
// progress. All instances are restarted one after the other under load, while
// callers choose their entry from the list of entries as documented.
func TestRollingRestart(t *testing.T) {
	// A drain wait of 1 s is enough, because the callers read the list of entries
	// before each request. Responses take 2 s, so that requests are in progress
	// when an instance stops.
	c := startCluster(t, 3, time.Second)
	c.startEndpoint(engineConfig(32), "auburn-pool/0")
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	sent, failures := 0, []string{}
	for w := range 6 {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				prompt := fmt.Sprintf("rolling %d %d", w, n)
				in := c.listedInstance(w + n)
				if in == nil {
					t.Errorf("no entry was listed within %v", convergenceTimeout)
					return
				}
				a := in.send(context.Background(), "/v1/chat/completions", chatBody(prompt, 200, true), nil)
				complete := a.err == nil && a.status == 200 && strings.HasSuffix(a.body, "data: [DONE]\n\n")
				mu.Lock()
				sent++
				if !complete && a.verdict != "not-run" {
					failures = append(failures, fmt.Sprintf("%s at %s: status %d, error %v, %q", prompt, in.name, a.status, a.err, tail(a.body)))
				}
				mu.Unlock()
			}
		})
	}
	for _, in := range c.instances {
		time.Sleep(500 * time.Millisecond)
		in.signal(syscall.SIGTERM)
		qt.Check(t, in.wait(), qt.IsNil, qt.Commentf("%s did not stop cleanly", in.name))
		in.start(t)
		c.waitInForce(1, convergenceTimeout)
	}
	close(stop)
	callers.Wait()
	t.Logf("%d requests", sent)
	qt.Check(t, failures, qt.HasLen, 0)
}

// tail returns the last 120 bytes of s.
func tail(s string) string { return s[max(0, len(s)-120):] }

// listedInstance returns one of the listed entries that are not draining. It
// returns nil after convergenceTimeout instead of failing the test, because it
// is called outside the test goroutine.
func (c *cluster) listedInstance(n int) *instance {
	for deadline := time.Now().Add(convergenceTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		s, err := c.status()
		if err != nil {
			continue
		}
		var live []*instance
		for _, e := range s.Entries {
			for _, in := range c.instances {
				if e.Instance == in.name && !e.Draining {
					live = append(live, in)
				}
			}
		}
		if len(live) > 0 {
			return live[n%len(live)]
		}
	}
	return nil
}

// TestQuorumLost guards against an entry that keeps serving requests under
// possibly outdated settings while the control plane has no quorum, and against
// an entry that needs a restart once the control members are back.
func TestQuorumLost(t *testing.T) {
	c := startCluster(t, 4, 0)
	c.startEndpoint(engineConfig(8), "auburn-pool/0")
	entry := c.instances[3]
	sendChat := func() response {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		return entry.send(ctx, "/v1/chat/completions", chatBody("alone", 3, false), nil)
	}
	eventually(t, convergenceTimeout, "the first successful response", func() error {
		if a := sendChat(); a.status != 200 {
			return fmt.Errorf("status %d", a.status)
		}
		return nil
	})
	for _, in := range c.instances[:2] {
		in.signal(syscall.SIGSTOP)
	}
	eventually(t, maxInForceDelay, "the entry to refuse new requests", func() error {
		if a := sendChat(); a.status != 503 || a.verdict != "not-run" {
			return fmt.Errorf("status %d, verdict %s", a.status, a.verdict)
		}
		return nil
	})
	for _, in := range c.instances[:2] {
		in.signal(syscall.SIGCONT)
	}
	eventually(t, convergenceTimeout, "the entry to serve requests again without a restart", func() error {
		if a := sendChat(); a.status != 200 {
			return fmt.Errorf("status %d", a.status)
		}
		return nil
	})
}

// TestEndpointLeaves guards against new requests to an endpoint that announced
// that it leaves, and against the interruption of its requests in progress.
func TestEndpointLeaves(t *testing.T) {
	c := startCluster(t, 3, 0)
	leaving := engineConfig(8)
	// The endpoint stays up for longer than maxLeaveDelay, so that it can record
	// requests that arrive too late.
	leaving.LeaveGrace = 2 * maxLeaveDelay
	first := c.startEndpoint(leaving, "auburn-pool/0")
	c.startEndpoint(engineConfig(8), "auburn-pool/0")
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	var failures []string
	for w := range 6 {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				a := c.instances[w%3].send(context.Background(), "/v1/chat/completions", chatBody(fmt.Sprintf("leave %d %d", w, n), 20, true), nil)
				if a.err != nil || !strings.HasSuffix(a.body, "data: [DONE]\n\n") {
					mu.Lock()
					failures = append(failures, fmt.Sprintf("status %d, error %v, %q", a.status, a.err, tail(a.body)))
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(time.Second)
	qt.Check(t, first.Leave(context.Background()), qt.IsNil)
	late := time.Duration(first.Stats().LateArrivalMS) * time.Millisecond
	close(stop)
	callers.Wait()
	qt.Check(t, failures, qt.HasLen, 0)
	qt.Check(t, late <= maxLeaveDelay, qt.IsTrue, qt.Commentf("the last new request arrived %v after the endpoint began to leave", late))
}

// maxTakeoverDelay is the maximum time until another instance schedules the
// group of a killed scheduler. It covers the group lease of 2 s with its margin,
// the warm-up of 1 s and the polls in between.
const maxTakeoverDelay = 5 * time.Second

// TestSchedulerKilled guards against two faults after the scheduler of a group
// is killed: streams in progress are interrupted, or new requests are not served
// within maxTakeoverDelay.
func TestSchedulerKilled(t *testing.T) {
	c := startCluster(t, 4, 0)
	c.startEndpoint(engineConfig(8), "auburn-pool/0")
	holder := c.holder("auburn-pool/0")
	entry := c.instances[0]
	if entry == holder {
		entry = c.instances[1]
	}
	inFlight := make(chan response, 1)
	go func() {
		inFlight <- entry.send(context.Background(), "/v1/chat/completions", chatBody("in flight", 600, true), nil)
	}()
	time.Sleep(500 * time.Millisecond)
	holder.kill()
	killedAt := time.Now()
	a := entry.send(context.Background(), "/v1/chat/completions", chatBody("next", 3, false), nil)
	elapsed := time.Since(killedAt)
	t.Logf("the next request completed %v after the scheduler was killed", elapsed.Round(time.Millisecond))
	qt.Check(t, a.status, qt.Equals, 200, qt.Commentf("%s", a.body))
	qt.Check(t, elapsed <= maxTakeoverDelay, qt.IsTrue, qt.Commentf("%v", elapsed))
	a = <-inFlight
	qt.Check(t, strings.HasSuffix(a.body, "data: [DONE]\n\n"), qt.IsTrue, qt.Commentf("%v %q", a.err, tail(a.body)))
}

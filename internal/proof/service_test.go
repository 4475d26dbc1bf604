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

func engine(slots int) fakeengine.Config {
	return fakeengine.Config{Service: "auburn-pool", Models: []string{"wax-1"}, Slots: slots, TokensPerSecond: 100}
}

// TestRollingRestart guards against a graceful stop that cuts a request in
// flight: all instances are restarted one after the other under load, and
// callers follow the list of entries as documented.
func TestRollingRestart(t *testing.T) {
	// Callers here ask for the list before each request, so the wait can be
	// short. Answers take longer than it, so that a stop has some in flight.
	c := startCluster(t, 3, time.Second)
	c.endpoint(engine(32), "auburn-pool/0")
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	sent, faults := 0, []string{}
	for w := range 6 {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				prompt := fmt.Sprintf("rolling %d %d", w, n)
				in := c.listed(w + n)
				if in == nil {
					t.Errorf("no entry is listed within %v", settleBound)
					return
				}
				a := in.send(context.Background(), "/v1/chat/completions", chatBody(prompt, 200, true), nil)
				whole := a.err == nil && a.status == 200 && strings.HasSuffix(a.body, "data: [DONE]\n\n")
				mu.Lock()
				sent++
				if !whole && a.verdict != "not-run" {
					faults = append(faults, fmt.Sprintf("%s at %s: status %d, error %v, %q", prompt, in.name, a.status, a.err, tail(a.body)))
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
		c.inForce(1, settleBound)
	}
	close(stop)
	callers.Wait()
	t.Logf("%d requests", sent)
	qt.Check(t, faults, qt.HasLen, 0)
}

func tail(s string) string { return s[max(0, len(s)-120):] }

// listed returns an instance that the list of entries names, or nil if it names
// none for too long. Callers use it outside the goroutine of the test.
func (c *cluster) listed(n int) *instance {
	for deadline := time.Now().Add(settleBound); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
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

// TestMajorityLost guards against an entry that serves on settings which may
// no longer be in force, and against one that needs a restart when the control
// members are back.
func TestMajorityLost(t *testing.T) {
	c := startCluster(t, 4, 0)
	c.endpoint(engine(8), "auburn-pool/0")
	entry := c.instances[3]
	ask := func() answer {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		return entry.send(ctx, "/v1/chat/completions", chatBody("alone", 3, false), nil)
	}
	eventually(t, settleBound, "an answer", func() error {
		if a := ask(); a.status != 200 {
			return fmt.Errorf("status %d", a.status)
		}
		return nil
	})
	for _, in := range c.instances[:2] {
		in.signal(syscall.SIGSTOP)
	}
	eventually(t, inForceBound, "refusal of new requests", func() error {
		if a := ask(); a.status != 503 || a.verdict != "not-run" {
			return fmt.Errorf("status %d, verdict %s", a.status, a.verdict)
		}
		return nil
	})
	for _, in := range c.instances[:2] {
		in.signal(syscall.SIGCONT)
	}
	eventually(t, settleBound, "service without a restart", func() error {
		if a := ask(); a.status != 200 {
			return fmt.Errorf("status %d", a.status)
		}
		return nil
	})
}

// TestEndpointLeaves guards against new work for an endpoint that announced
// its leaving, and against work of it that is cut.
func TestEndpointLeaves(t *testing.T) {
	c := startCluster(t, 3, 0)
	leaving := engine(8)
	// Longer than the bound, so that late arrivals can be seen.
	leaving.LeaveGrace = 2 * leaveBound
	first := c.endpoint(leaving, "auburn-pool/0")
	c.endpoint(engine(8), "auburn-pool/0")
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	var faults []string
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
					faults = append(faults, fmt.Sprintf("status %d, error %v, %q", a.status, a.err, tail(a.body)))
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
	qt.Check(t, faults, qt.HasLen, 0)
	qt.Check(t, late <= leaveBound, qt.IsTrue, qt.Commentf("new work arrived %v after the endpoint began to leave", late))
}

// takeoverBound is the group lease of 2 s with its margin, a warm-up of 1 s and
// the polls in between.
const takeoverBound = 5 * time.Second

// TestSchedulerLost guards against streams that are cut, and requests that are
// not served again, when the scheduler of their group is killed.
func TestSchedulerLost(t *testing.T) {
	c := startCluster(t, 4, 0)
	c.endpoint(engine(8), "auburn-pool/0")
	holder := c.holder("auburn-pool/0")
	entry := c.instances[0]
	if entry == holder {
		entry = c.instances[1]
	}
	inFlight := make(chan answer, 1)
	go func() {
		inFlight <- entry.send(context.Background(), "/v1/chat/completions", chatBody("in flight", 600, true), nil)
	}()
	time.Sleep(500 * time.Millisecond)
	holder.kill()
	lost := time.Now()
	a := entry.send(context.Background(), "/v1/chat/completions", chatBody("next", 3, false), nil)
	took := time.Since(lost)
	t.Logf("the next request was answered %v after the loss", took.Round(time.Millisecond))
	qt.Check(t, a.status, qt.Equals, 200, qt.Commentf("%s", a.body))
	qt.Check(t, took <= takeoverBound, qt.IsTrue, qt.Commentf("%v", took))
	a = <-inFlight
	qt.Check(t, strings.HasSuffix(a.body, "data: [DONE]\n\n"), qt.IsTrue, qt.Commentf("%v %q", a.err, tail(a.body)))
}

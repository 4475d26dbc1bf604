package schedulerhost_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/entry"
	"auburnstep.example/auburnstep/internal/fakeengine"
	"auburnstep.example/auburnstep/internal/settings"
	"auburnstep.example/auburnstep/internal/testkit"
)

const customerLimit = 3

var declarations = fmt.Sprintf(`
nodes:
  - {path: /pool, kind: service, set: {kind: engine, models: [wax-1], class.default: chat, scheduler.groups: 2}}
  - {path: /pool/chat, kind: class, set: {idempotent: true, deadline: 30s, queue.wait: 25s, target.first_token: 25s}}
  - {path: /torino, kind: customer, set: {limit.concurrency: %d, key.sha256: [%x]}}
`, customerLimit, settings.HashKey("key"))

// TestCustomerLimitAcrossGroups guards against a customer that may use its full limit in
// each group of a service.
func TestCustomerLimitAcrossGroups(t *testing.T) {
	b := testkit.Start(t, declarations)
	groups := map[string]bool{}
	for n := 0; len(groups) < 2; n++ {
		id := fmt.Sprintf("engine-%d", n)
		if g := entry.GroupOf(&settings.ServicePolicy{Name: "pool", Groups: 2}, id); !groups[g] {
			groups[g] = true
			b.StartEndpoint(t, fakeengine.Config{ID: id, Service: "pool", Models: []string{"wax-1"}, Slots: 8, TokensPerSecond: 100})
		}
	}
	var callers sync.WaitGroup
	for n := range 12 {
		callers.Go(func() {
			body := fmt.Sprintf(`{"model":"wax-1","max_tokens":40,"messages":[{"role":"user","content":"%d"}]}`, n)
			r, err := http.NewRequest(http.MethodPost, b.URL+"/v1/chat/completions", strings.NewReader(body))
			qt.Check(t, err, qt.IsNil)
			r.Header.Set("Authorization", "Bearer key")
			res, err := http.DefaultClient.Do(r)
			if qt.Check(t, err, qt.IsNil) {
				qt.Check(t, res.StatusCode, qt.Equals, http.StatusOK)
				res.Body.Close()
			}
		})
	}
	done := make(chan struct{})
	go func() { callers.Wait(); close(done) }()
	maxInFlight, usedGroups := uint32(0), map[string]bool{}
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(20 * time.Millisecond):
		}
		total := uint32(0)
		for _, r := range b.View.Reports() {
			total += r.InFlight
			usedGroups[r.Group] = usedGroups[r.Group] || r.InFlight > 0
		}
		maxInFlight = max(maxInFlight, total)
	}
	qt.Check(t, maxInFlight <= customerLimit, qt.IsTrue, qt.Commentf("%d requests were in flight at the same time", maxInFlight))
	qt.Check(t, usedGroups, qt.HasLen, 2)
}

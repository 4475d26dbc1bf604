package schedulerhost_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/fakeengine"
	"auburnstep.example/auburnstep/internal/settings"
	"auburnstep.example/auburnstep/internal/testkit"
)

// TestRetryBudgetOfServiceIgnoredForCustomer guards against requests that are refused because
// the budget of their customer is used up, although the service allows a retry for each
// request.
func TestRetryBudgetOfServiceIgnoredForCustomer(t *testing.T) {
	b := testkit.Start(t, fmt.Sprintf(`
nodes:
  - {path: /pool, kind: service, set: {kind: engine, models: [wax-1], class.default: chat, retry.budget: 1}}
  - {path: /pool/chat, kind: class, set: {idempotent: true, deadline: 30s}}
  - {path: /torino, kind: customer, set: {key.sha256: [%x]}}
`, settings.HashKey("key")))
	var engines []*fakeengine.Server
	for range 2 {
		engines = append(engines, b.StartEndpoint(t, fakeengine.Config{Service: "pool", Models: []string{"wax-1"}, Slots: 4, TokensPerSecond: 400}))
	}
	send := func(n int) {
		body := fmt.Sprintf(`{"model":"wax-1","max_tokens":2,"messages":[{"role":"user","content":"%d"}]}`, n)
		r, err := http.NewRequest(http.MethodPost, b.URL+"/v1/chat/completions", strings.NewReader(body))
		qt.Assert(t, err, qt.IsNil)
		r.Header.Set("Authorization", "Bearer key")
		res, err := http.DefaultClient.Do(r)
		qt.Assert(t, err, qt.IsNil)
		defer res.Body.Close()
		text, err := io.ReadAll(res.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, res.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("request %d: %s", n, text))
	}
	const sound, retried = 12, 8
	for n := range sound {
		send(n)
	}
	for n := range retried { // Each is turned away by both engines, or by one, before it is served.
		for _, e := range engines {
			e.Inject(fakeengine.Fault{Kind: fakeengine.FaultOverload, Count: 1})
		}
		send(sound + n)
	}
}

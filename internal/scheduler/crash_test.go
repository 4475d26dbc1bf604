package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCrashingPromptPrefixKeepsReachingEngines guards against requests that crash one
// engine after the other because a prefix of their prompts does. Requests that share the
// shorter prefixes must be served on, and waiting ones with the prefix are refused.
func TestCrashingPromptPrefixKeepsReachingEngines(t *testing.T) {
	const (
		system, file, deadly = 1, 2, 3
		rounds               = 20
	)
	var engines []Endpoint
	for i := range rounds {
		engines = append(engines, engine(fmt.Sprint("e", i), 4))
	}
	b := newBench(Config{Kind: Engine}, Policy{}, engines...)
	send := func(id string, prefixes ...uint64) (Granted, bool) {
		r := request(id, 0)
		r.Prefixes = prefixes
		grants := grantsOf(b.enqueueNow(r))
		if len(grants) == 0 {
			return Granted{}, false
		}
		return grants[0], true
	}
	crashes := 0
	for i := range rounds {
		if g, ok := send(fmt.Sprintf("deadly%d-1", i), system, file, deadly, uint64(1000+i)); ok {
			crashes++
			b.now = b.now.Add(200 * time.Millisecond)
			b.Release(b.now, g.GrantID, Outcome{Failed: true, EndpointFault: true, Crashed: true})
		}
		for j := range 3 {
			g, ok := send(fmt.Sprintf("sound%d_%d-1", i, j), system, file, uint64(2000+i*3+j))
			qt.Assert(t, ok, qt.IsTrue)
			b.now = b.now.Add(10 * time.Millisecond)
			b.Release(b.now, g.GrantID, Outcome{Tokens: 5})
		}
	}
	qt.Check(t, crashes, qt.Equals, 3)
	refused := b.enqueueNow(func() Request { r := request("last-1", 0); r.Prefixes = []uint64{system, file, deadly}; return r }())
	qt.Check(t, refusalsOf(refused), qt.DeepEquals, []string{"last-1 prompt_quarantined"})
}

package entry

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestUsageBounds guards against counters that grow without bound, and against requests
// beyond the bounds that are not counted at all.
func TestUsageBounds(t *testing.T) {
	s := New(Options{})
	for i := range maxUsageCustomers + 2 {
		s.usage.add(fmt.Sprint("customer-", i), classID{"pool", "chat"}, usageDelta{outcome: outcomeAnswered, tokens: 3})
	}
	for i := range maxUsageClasses + 2 {
		s.usage.add("customer-7", classID{"pool", fmt.Sprint("class-", i)}, usageDelta{outcome: outcomeMayHaveRun, promptTokens: 2, tokens: 5})
	}
	qt.Check(t, len(s.Usage("")), qt.Equals, maxUsageCustomers+1+maxUsageClasses)
	qt.Check(t, s.Usage(UsageOther), qt.DeepEquals, []Usage{
		{Customer: UsageOther, Service: "pool", Class: "chat", Answered: 2, DeliveredTokens: 6}})
	rows := s.Usage("customer-7")
	qt.Assert(t, rows, qt.HasLen, maxUsageClasses+1)
	qt.Check(t, rows[0], qt.Equals, Usage{Customer: "customer-7", Service: UsageOther, Class: UsageOther, MayHaveRun: 3, PromptTokens: 6, WastedTokens: 15})
}

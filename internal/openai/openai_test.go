package openai

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func parse(t *testing.T, content string) *ChatRequest {
	t.Helper()
	text, err := json.Marshal(content)
	qt.Assert(t, err, qt.IsNil)
	r, err := ParseChat([]byte(`{"model":"m","messages":[{"role":"user","content":` + string(text) + `}]}`))
	qt.Assert(t, err, qt.IsNil)
	return r
}

// TestPrefixes guards against prefix hashes that differ for two requests with the same
// prefix, or that are equal for two requests with different prefixes.
func TestPrefixes(t *testing.T) {
	shared := strings.Repeat("conservation file ", 200)
	a, b := parse(t, shared+"lion").Prefixes(), parse(t, shared+"horse").Prefixes()
	c := parse(t, "x"+shared).Prefixes()
	qt.Assert(t, len(a) >= 3, qt.IsTrue)
	qt.Check(t, a[:3], qt.DeepEquals, b[:3])
	qt.Check(t, a[0] == c[0], qt.IsFalse)
	qt.Check(t, len(parse(t, strings.Repeat("a", 1<<20)).Prefixes()), qt.Equals, maxPrefixes)
}

// FuzzParseChat guards against a request body that makes the parser or the estimates
// panic, or that yields invalid estimates.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"a"}],"max_tokens":3}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := ParseChat(body)
		if err != nil {
			return
		}
		if r.PromptTokens() < 1 || r.TokenLimit() < 0 || len(r.Prefixes()) == 0 {
			t.Fatalf("%q: wrong estimates", body)
		}
	})
}

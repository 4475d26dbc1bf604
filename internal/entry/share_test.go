package entry

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/upstream"
	"auburnstep.example/auburnstep/internal/verdict"
)

// TestPool guards against a tier that fills the room of a higher one, against a
// higher tier that starves a lower one, and against room that is lost.
func TestPool(t *testing.T) {
	fill := func(p *pool, tier int) (n int64) {
		for p.take(tier, 1) {
			n++
		}
		return n
	}
	for _, test := range []struct {
		name  string
		order [tiers]int
		want  [tiers]int64 // by tier
	}{
		{"lower first", [tiers]int{2, 1, 0}, [tiers]int64{200, 200, 400}},
		{"higher first", [tiers]int{0, 1, 2}, [tiers]int64{600, 100, 100}},
		{"middle first", [tiers]int{1, 2, 0}, [tiers]int64{200, 500, 100}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := &pool{total: 800}
			var got [tiers]int64
			for _, tier := range test.order {
				got[tier] = fill(p, tier)
			}
			qt.Check(t, got, qt.Equals, test.want)
			for tier, n := range got {
				p.add(tier, -n)
			}
			qt.Check(t, p.used, qt.Equals, [tiers]int64{})
		})
	}
}

// TestReadBounded guards against bodies that are changed by reading them in
// parts, and against memory that is used without being accounted.
func TestReadBounded(t *testing.T) {
	const memory = 800 << 10 // 400 KiB of it for the lowest tier
	for _, test := range []struct {
		name        string
		size, limit int
		known       bool
		code        string
	}{
		{"known length", 100_000, 100_000, true, ""},
		{"unknown length", 100_000, 100_000, false, ""},
		{"unknown length, one step", reserveStep, 1 << 20, false, ""},
		{"unknown length, many steps", 300_000, 1 << 20, false, "body_memory_exhausted"},
		{"unknown length over the limit", 100_001, 100_000, false, "request_too_large"},
		{"known length over the limit", 100_001, 100_000, true, "request_too_large"},
		{"known length without room", 500_000, 1 << 20, true, "body_memory_exhausted"},
		{"empty", 0, 100, false, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := New(Options{BodyMemory: memory})
			held, _ := s.enter(lowestTier)
			sent := strings.Repeat("ab", test.size/2+1)[:test.size]
			r := httptest.NewRequest("POST", "/", strings.NewReader(sent))
			if !test.known {
				r.ContentLength = -1
			}
			body, refusal := readBounded(httptest.NewRecorder(), r, int64(test.limit), held)
			if test.code != "" {
				qt.Assert(t, refusal != nil, qt.IsTrue)
				qt.Check(t, refusal.Code, qt.Equals, test.code)
			} else {
				qt.Assert(t, refusal == nil, qt.IsTrue)
				qt.Check(t, string(body) == sent, qt.IsTrue)
				qt.Check(t, s.bodies.used[lowestTier] >= int64(test.size), qt.IsTrue)
			}
			held.leave()
			qt.Check(t, s.bodies.used, qt.Equals, [tiers]int64{})
		})
	}
}

// TestWholeAnswerBound guards against an engine that fills the memory of an
// entry with one answer, and against collected answers that are not accounted.
func TestWholeAnswerBound(t *testing.T) {
	s := New(Options{})
	held, refusal := s.enter(lowestTier)
	qt.Assert(t, refusal == nil, qt.IsTrue)
	held.settle(1)
	sink := &wholeSink{held: held, limit: 100_000}
	chunk := upstream.Chunk{Text: strings.Repeat("a", 60_000), Tokens: 1}
	qt.Assert(t, sink.chunk(chunk), qt.IsNil)
	qt.Check(t, s.bodies.used, qt.Equals, [tiers]int64{0, 4 * answerStep, 0})
	var e *verdict.Error
	qt.Assert(t, errors.As(sink.chunk(chunk), &e), qt.IsTrue)
	qt.Check(t, e.Code, qt.Equals, codeAnswerTooLarge)
	qt.Check(t, retryable(e, e, true), qt.IsFalse)
	held.leave()
	qt.Check(t, [2][tiers]int64{s.bodies.used, s.requests.used}, qt.Equals, [2][tiers]int64{})
}

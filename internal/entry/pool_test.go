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

// TestTieredPool guards against a lower tier that uses up the capacity of a higher tier,
// against a higher tier that starves a lower tier, and against capacity that is not
// released.
func TestTieredPool(t *testing.T) {
	fill := func(p *tieredPool, tier int) (n int64) {
		for p.tryReserve(tier, 1) {
			n++
		}
		return n
	}
	for _, test := range []struct {
		name  string
		order [numTiers]int
		want  [numTiers]int64 // by tier
	}{
		{"lower first", [numTiers]int{2, 1, 0}, [numTiers]int64{200, 200, 400}},
		{"higher first", [numTiers]int{0, 1, 2}, [numTiers]int64{600, 100, 100}},
		{"middle first", [numTiers]int{1, 2, 0}, [numTiers]int64{200, 500, 100}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := &tieredPool{total: 800}
			var got [numTiers]int64
			for _, tier := range test.order {
				got[tier] = fill(p, tier)
			}
			qt.Check(t, got, qt.Equals, test.want)
			for tier, n := range got {
				p.adjust(tier, -n)
			}
			qt.Check(t, p.used, qt.Equals, [numTiers]int64{})
		})
	}
}

// TestReadReservedBody guards against bodies that are corrupted by reading them in parts,
// and against memory that is used without a reservation.
func TestReadReservedBody(t *testing.T) {
	const poolBytes = 800 << 10 // The lowest tier can use 400 KiB.
	for _, test := range []struct {
		name        string
		size, limit int
		known       bool
		code        string
	}{
		{"known length", 100_000, 100_000, true, ""},
		{"unknown length", 100_000, 100_000, false, ""},
		{"unknown length, one step", initialReservation, 1 << 20, false, ""},
		{"unknown length, many steps", 300_000, 1 << 20, false, "body_memory_exhausted"},
		{"unknown length over the limit", 100_001, 100_000, false, "request_too_large"},
		{"known length over the limit", 100_001, 100_000, true, "request_too_large"},
		{"known length, pool exhausted", 500_000, 1 << 20, true, "body_memory_exhausted"},
		{"empty", 0, 100, false, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := New(Options{BodyMemory: poolBytes})
			reserved, _ := s.reserveRequest(lowestTier)
			sent := strings.Repeat("ab", test.size/2+1)[:test.size]
			r := httptest.NewRequest("POST", "/", strings.NewReader(sent))
			if !test.known {
				r.ContentLength = -1
			}
			body, refusal := readReservedBody(httptest.NewRecorder(), r, int64(test.limit), reserved)
			if test.code != "" {
				qt.Assert(t, refusal != nil, qt.IsTrue)
				qt.Check(t, refusal.Code, qt.Equals, test.code)
			} else {
				qt.Assert(t, refusal == nil, qt.IsTrue)
				qt.Check(t, string(body) == sent, qt.IsTrue)
				qt.Check(t, s.bodyPool.used[lowestTier] >= int64(test.size), qt.IsTrue)
			}
			reserved.release()
			qt.Check(t, s.bodyPool.used, qt.Equals, [numTiers]int64{})
		})
	}
}

// TestBufferedResponseLimit guards against an engine that fills the memory of an entry with
// one response, and against buffered responses whose memory is not charged.
func TestBufferedResponseLimit(t *testing.T) {
	s := New(Options{})
	reserved, refusal := s.reserveRequest(lowestTier)
	qt.Assert(t, refusal == nil, qt.IsTrue)
	reserved.moveToTier(1)
	sink := &bufferedSink{reserved: reserved, maxBytes: 100_000}
	chunk := upstream.Chunk{Text: strings.Repeat("a", 60_000), Tokens: 1}
	qt.Assert(t, sink.chunk(chunk), qt.IsNil)
	qt.Check(t, s.bodyPool.used, qt.Equals, [numTiers]int64{0, 4 * responseChargeStep, 0})
	var e *verdict.Error
	qt.Assert(t, errors.As(sink.chunk(chunk), &e), qt.IsTrue)
	qt.Check(t, e.Code, qt.Equals, codeResponseTooLarge)
	qt.Check(t, retryable(e, e, true), qt.IsFalse)
	reserved.release()
	qt.Check(t, [2][numTiers]int64{s.bodyPool.used, s.requestPool.used}, qt.Equals, [2][numTiers]int64{})
}

package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestRequestMixProtectsUrgentWork guards against refusing urgent requests while the
// load could be met by refusing less urgent ones, and against starving the latter.
func TestRequestMixProtectsUrgentWork(t *testing.T) {
	var m requestMix
	for i := range 30 {
		m.recordOffered(at(i), 3, 1000, true)
		m.recordOffered(at(i), 4, 1000, false)
		m.recordOffered(at(i), 5, 2000, false)
	}
	qt.Check(t, m.isProtected(3), qt.IsTrue)
	qt.Check(t, m.isProtected(4), qt.IsTrue)
	qt.Check(t, m.isProtected(5), qt.IsFalse, qt.Commentf("nothing is less urgent"))
	for i := range 28 {
		m.recordRefused(at(30+i), 5, 2000)
	}
	qt.Check(t, m.isProtected(4), qt.IsFalse, qt.Commentf("the least urgent rank would starve"))
	qt.Check(t, m.isProtected(3), qt.IsTrue)
	for i := range 30 {
		m.recordRefused(at(60+i), 4, 1000)
		m.recordOffered(at(60+i), 5, 2000, false)
	}
	qt.Check(t, m.isProtected(4), qt.IsTrue, qt.Commentf("its own refusals keep the rank unprotected"))
	// The refusals are forgotten after the burst.
	later := at(100).Add(10 * mixMemory)
	m.recordOffered(later, 4, 1000, false)
	m.recordOffered(later, 5, 1000, false)
	qt.Check(t, m.isProtected(4), qt.IsTrue)
}

// TestRequestMixCountsLessUrgentWork checks over random requests and refusals that only
// less urgent ranks decide whether a rank is protected.
func TestRequestMixCountsLessUrgentWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m requestMix
		now := at(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			rank, work := rapid.IntRange(-1, MaxRank+1).Draw(t, "rank"), float64(rapid.IntRange(1, 20_000).Draw(t, "work"))
			if rapid.Bool().Draw(t, "refused") {
				m.recordRefused(now, rank, work)
			} else {
				m.recordOffered(now, rank, work, work < 4000)
			}
		}
		share := m.longShare()
		if share < -1e-9 || share > 1+1e-9 {
			t.Fatalf("long share %f", share)
		}
		if m.isProtected(MaxRank) {
			t.Fatal("the least urgent rank is protected")
		}
		refused, offered := 0.0, 0.0
		for rank := MaxRank; rank > 0; rank-- {
			refused += m.refused[rank]
			offered += m.offered[rank]
			if protected := m.isProtected(rank - 1); protected != (refused < maxRefusedShare*offered) {
				t.Fatalf("rank %d: protected %v with %.0f of %.0f refused below it", rank-1, protected, refused, offered)
			}
		}
	})
}

// TestPaceFollowsEngines guards against predictions that suit only engines like those that
// the assumed figures describe.
func TestPaceFollowsEngines(t *testing.T) {
	for _, c := range []struct{ baseMs, tokensPerMs float64 }{{20, 120}, {45, 45}, {120, 15}} {
		p := prefillPace(1)
		for i := range 200 {
			tokens := float64(500 + 97*i%6000)
			p.observe(tokens, c.baseMs+tokens/c.tokensPerMs)
		}
		for _, tokens := range []float64{1000, 4000} {
			got, want := p.baseMs()+tokens*p.msPerToken(), c.baseMs+tokens/c.tokensPerMs
			qt.Check(t, got > 0.65*want && got < 1.6*want, qt.IsTrue, qt.Commentf("%.0f tokens at %+v: predicted %.0f ms, took %.0f ms", tokens, c, got, want))
		}
	}
}

// TestPausesSizeShortPool guards against a short-prompt pool that stays too small while
// its streams falter, or too large once they do not.
func TestPausesSizeShortPool(t *testing.T) {
	b := newEngines(testEngines, 1)
	for _, s := range b.states {
		s.Slots = 64
	}
	b.shortInFlight = 190
	before := b.shortPoolSize(b.poolOrder)
	c := Choice{Light: true}
	for range 20 {
		b.RecordPauses(&c, 300*time.Millisecond, 150*time.Millisecond)
	}
	grown := b.shortPoolSize(b.poolOrder)
	qt.Check(t, grown > before, qt.IsTrue, qt.Commentf("%d engines, %d before", grown, before))
	overflowed := Choice{Light: true, overflowed: true}
	for range 100 {
		b.RecordPauses(&overflowed, 300*time.Millisecond, 150*time.Millisecond)
		b.RecordPauses(&c, 300*time.Millisecond, 0)
	}
	qt.Check(t, b.shortPoolSize(b.poolOrder), qt.Equals, grown)
	for range 400 {
		b.RecordPauses(&c, 100*time.Millisecond, 150*time.Millisecond)
	}
	qt.Check(t, b.shortPoolSize(b.poolOrder) <= before, qt.IsTrue, qt.Commentf("%d engines, %d before", b.shortPoolSize(b.poolOrder), before))
}

// TestPausesDoNotTakeAllEngines guards against streams that falter for another reason than
// their number, as after crashes: the pool would grow until long prompts have no engines.
func TestPausesDoNotTakeAllEngines(t *testing.T) {
	b := newEngines(90, 59)
	for _, s := range b.states {
		s.Slots = 64
	}
	b.shortInFlight = 350
	b.mix.recordOffered(at(1), 4, 80_000, false)
	b.mix.recordOffered(at(1), 3, 20_000, true)
	for range 1000 {
		b.RecordPauses(&Choice{Light: true}, time.Second, 150*time.Millisecond)
	}
	got := b.shortPoolSize(b.poolOrder)
	qt.Check(t, got <= 90/5, qt.IsTrue, qt.Commentf("%d of 90 engines for a fifth of the work", got))
}

// TestShortPromptsLeaveEnginesToLongOnes guards against a burst of short prompts that
// takes all engines, so that more urgent long prompts have one left.
func TestShortPromptsLeaveEnginesToLongOnes(t *testing.T) {
	b := newEngines(testEngines, 1)
	b.shortInFlight = 10_000
	qt.Check(t, b.shortPoolSize(b.poolOrder), qt.Equals, testEngines-1)
	b.mix.recordOffered(at(1), 4, 50_000, false)
	b.mix.recordOffered(at(1), 5, 50_000, true)
	qt.Check(t, b.shortPoolSize(b.poolOrder), qt.Equals, testEngines-testEngines/5)
}

// TestLateWorkInTheSameQueue guards against predictions that leave out late work although
// the endpoint runs it before the request.
func TestLateWorkInTheSameQueue(t *testing.T) {
	b := newEngines(1, 1)
	b.SetRemoteLoad(at(0), func(string) Load { return Load{Requests: 5, Late: 5, LateTokens: 20_000} })
	d := longRequest("x", at(0))
	after, ok := b.Choose(at(0), d, nil)
	qt.Assert(t, ok, qt.IsTrue)
	d.LateLast = false
	among, ok := b.Choose(at(0), d, nil)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, among.Predicted > after.Predicted+300*time.Millisecond, qt.IsTrue, qt.Commentf("%v and %v", among.Predicted, after.Predicted))
	qt.Check(t, among.Late, qt.IsFalse)
}

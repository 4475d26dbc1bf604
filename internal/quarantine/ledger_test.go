package quarantine

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// crashReport returns a report of a request that crashed an endpoint.
func crashReport(endpoint, request string, sentMs, lostMs int, parts ...string) Report {
	return Report{Endpoint: endpoint, Incarnation: 1, Request: request, Parts: parts, SentAt: at(sentMs), LostAt: at(lostMs)}
}

func ledgerWith(reports ...Report) *Ledger {
	l := NewLedger()
	for _, r := range reports {
		l.Add(r.LostAt, r)
	}
	return l
}

// TestQuarantine shows which parts of which crashes are quarantined.
func TestQuarantine(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports []Report
		want    map[string]bool
	}{
		{"two crashes are too few", []Report{
			crashReport("e1", "a", 0, 200, "system", "file", "x"), crashReport("e2", "b", 300, 500, "system", "file", "x"),
		}, nil},
		{"the narrowest of the parts that explain all crashes", []Report{
			crashReport("e1", "a", 0, 200, "system", "file", "x"), crashReport("e2", "a", 200, 400, "system", "file", "x"),
			crashReport("e3", "b", 500, 700, "system", "file", "x"),
		}, map[string]bool{"x": true}},
		{"the part that explains more crashes", []Report{
			crashReport("e1", "a", 0, 200, "x", "file-1"), crashReport("e2", "b", 300, 500, "x", "file-1"),
			crashReport("e3", "c", 600, 800, "x", "file-1"), crashReport("e4", "d", 900, 1100, "x", "file-2"),
		}, map[string]bool{"x": true}},
		{"two parts", []Report{
			crashReport("e1", "a", 0, 200, "x"), crashReport("e2", "b", 300, 500, "x"), crashReport("e3", "c", 600, 800, "x"),
			crashReport("e4", "d", 0, 210, "y"), crashReport("e5", "e", 300, 510, "y"), crashReport("e6", "f", 600, 810, "y"),
		}, map[string]bool{"x": true, "y": true}},
		{"repeats that one crash ends", []Report{
			crashReport("e1", "a", 0, 20, "x"), crashReport("e1", "b", 5, 20, "x"), crashReport("e1", "c", 10, 20, "x"),
			crashReport("e2", "d", 100, 120, "x"),
		}, nil},
		{"endpoints that crash at once", []Report{
			crashReport("e1", "a", 0, 200, "system"), crashReport("e2", "b", 10, 201, "system"), crashReport("e3", "c", 20, 202, "system"),
			crashReport("e4", "d", 30, 203, "system"),
		}, nil},
		{"one request that met three crashes", []Report{
			crashReport("e1", "a", 0, 200, "file"), crashReport("e2", "a", 200, 400, "file"), crashReport("e3", "a", 400, 600, "file"),
		}, nil},
		{"another request beside the one that crashes the endpoint", []Report{
			crashReport("e1", "a", 0, 200, "x"), crashReport("e1", "s", 50, 200, "file"), crashReport("e2", "b", 300, 500, "x"),
			crashReport("e2", "t", 300, 500, "file"), crashReport("e3", "c", 600, 800, "x"), crashReport("e3", "u", 600, 800, "file"),
			crashReport("e4", "d", 900, 1100, "x"),
		}, map[string]bool{"x": true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := ledgerWith(c.reports...)
			if c.want == nil {
				c.want = map[string]bool{}
			}
			qt.Check(t, l.Quarantined(), qt.DeepEquals, c.want)
		})
	}
}

// TestAnsweredPartsAreCleared guards against the refusal of sound requests that share a
// part with those that crash endpoints: one complete answer after the crashes clears it.
func TestAnsweredPartsAreCleared(t *testing.T) {
	l := NewLedger()
	l.RecordAnswered(at(0), []string{"file"})
	for i, r := range []string{"a", "b", "c"} {
		l.Add(at(300*i+200), crashReport("e"+r, r, 300*i, 300*i+200, "x", "file"))
	}
	// The part that was answered in the past comes last, and is not the one.
	qt.Check(t, l.Quarantined(), qt.DeepEquals, map[string]bool{"x": true})
	l.RecordAnswered(at(900), []string{"x"})
	qt.Check(t, l.Quarantined(), qt.DeepEquals, map[string]bool{})
	// The part that was sound in the past has until then to show that it still is.
	settled := at(800).Add(settleTime)
	l.Update(settled.Add(-time.Millisecond))
	qt.Check(t, l.Quarantined(), qt.DeepEquals, map[string]bool{})
	l.Update(settled)
	qt.Check(t, l.Quarantined(), qt.DeepEquals, map[string]bool{"file": true})
	l.RecordAnswered(settled, []string{"file"})
	qt.Check(t, l.Quarantined(), qt.DeepEquals, map[string]bool{})
}

// TestTransferDelaysDoNotHideCrashes guards against a quarantine that some entries miss:
// reports of one request's attempts arrive by different polls, so that the second attempt
// seems to begin before the first one has ended.
func TestTransferDelaysDoNotHideCrashes(t *testing.T) {
	l := NewLedger()
	for i, r := range []Report{
		crashReport("e1", "a", 20, 220, "x"), crashReport("e2", "a", 200, 400, "x"), crashReport("e3", "b", 370, 600, "x"),
	} {
		r.Soundness = []Soundness{Unknown}
		l.Merge(at(1000+i), r)
	}
	qt.Check(t, l.Quarantined(), qt.DeepEquals, map[string]bool{"x": true})
}

// TestQuarantineEnds shows that a part is released after the retention of its crashes, and
// that reports which others still hold do not extend it.
func TestQuarantineEnds(t *testing.T) {
	l := ledgerWith(crashReport("e1", "a", 0, 200, "x"), crashReport("e2", "b", 300, 500, "x"), crashReport("e3", "c", 600, 800, "x"))
	other := l.Since(0)
	end := at(500).Add(reportRetention + time.Millisecond)
	l.Update(end)
	qt.Check(t, l.Quarantined(), qt.DeepEquals, map[string]bool{})
	for _, r := range other {
		l.Merge(end, r)
	}
	qt.Check(t, l.Quarantined(), qt.DeepEquals, map[string]bool{})
}

// TestLedgerIsBounded guards against endpoints that crash without end: the memory stays
// bounded, and the reports behind a quarantine are kept.
func TestLedgerIsBounded(t *testing.T) {
	l := ledgerWith(crashReport("e1", "a", 0, 200, "x"), crashReport("e2", "b", 300, 500, "x"), crashReport("e3", "c", 600, 800, "x"))
	for i := range 2 * maxReports {
		l.Add(at(1000+i), crashReport(fmt.Sprint("f", i), fmt.Sprint("r", i), 900+i, 1000+i, fmt.Sprint("p", i)))
	}
	for i := range 2 * maxAnswered {
		l.RecordAnswered(at(5000+i), []string{fmt.Sprint("q", i)})
	}
	qt.Check(t, len(l.records), qt.Equals, maxReports)
	qt.Check(t, len(l.answered) <= maxAnswered, qt.IsTrue)
	qt.Check(t, l.Quarantined(), qt.DeepEquals, map[string]bool{"x": true})
}

// TestLedgersAgree checks that ledgers which exchange reports in any order, repeatedly and
// with losses, quarantine the same parts.
func TestLedgersAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		ledgers := make([]*Ledger, 4)
		for i := range ledgers {
			ledgers[i] = NewLedger()
		}
		now := 0
		for step := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += random.IntN(400)
			l := ledgers[random.IntN(len(ledgers))]
			switch random.IntN(3) {
			case 0:
				id := fmt.Sprint(step)
				l.Add(at(now), crashReport("e"+id, "r"+id, now-100, now, "system", fmt.Sprint("p", random.IntN(3))))
			case 1:
				l.RecordAnswered(at(now), []string{"system", fmt.Sprint("p", random.IntN(3))})
			case 2:
				for _, r := range ledgers[random.IntN(len(ledgers))].Since(0) {
					l.Merge(at(now), r)
				}
			}
		}
		for range 2 {
			for _, from := range ledgers {
				for _, to := range ledgers {
					for _, r := range from.Missing(at(now), func(Key) []Soundness { return nil }, 0) {
						to.Merge(at(now), r)
					}
				}
			}
		}
		for _, l := range ledgers {
			l.Update(at(now))
		}
		for _, l := range ledgers[1:] {
			if !maps.Equal(l.Quarantined(), ledgers[0].Quarantined()) {
				rt.Fatalf("one ledger has %v, another %v", l.Quarantined(), ledgers[0].Quarantined())
			}
		}
	})
}

// TestCrashingRequestIsFoundAmongOthers guards against a quarantine that blames sound
// requests for the crashes of another one that they were in flight with: the request that
// crashes the endpoints must be found within three crashes more than the least, and sound
// ones must not stay quarantined.
func TestCrashingRequestIsFoundAmongOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rounds, deadly = 12, RequestPrefix + "deadly"
		l := NewLedger()
		sound := func(i int) string { return fmt.Sprint(RequestPrefix, "sound-", i) }
		kinds := rapid.IntRange(1, 40).Draw(t, "kinds of sound requests")
		ms, attempts := 0, 0
		for round := range rounds {
			endpoint := fmt.Sprint("e", round)
			ms += rapid.IntRange(100, 4000).Draw(t, "pause")
			for range rapid.IntRange(0, 3).Draw(t, "answers") {
				l.RecordAnswered(at(ms), []string{sound(rapid.IntRange(0, kinds-1).Draw(t, "answered"))})
			}
			sentMs := ms
			ms += rapid.IntRange(1, 200).Draw(t, "run")
			var reports []Report
			if _, found := l.Find([]string{deadly}); !found {
				attempts++
				reports = append(reports, crashReport(endpoint, fmt.Sprint("d", round/2), sentMs, ms, deadly))
			}
			for i := range rapid.IntRange(0, 5).Draw(t, "in flight") {
				// Some of them are repeats that follow the request from endpoint to endpoint.
				fingerprint := sound(rapid.IntRange(0, kinds-1).Draw(t, "sound"))
				if _, found := l.Find([]string{fingerprint}); !found && len(reports) > 0 {
					reports = append(reports, crashReport(endpoint, fmt.Sprint("s", round, "-", i), sentMs, ms, fingerprint))
				}
			}
			l.Add(at(ms), reports...)
			l.Update(at(ms + 1))
		}
		if attempts > minCrashes+3 {
			t.Fatalf("the request reached endpoints %d times", attempts)
		}
		l.Update(at(ms).Add(settleTime))
		for part := range l.Quarantined() {
			if part != deadly {
				t.Fatalf("%s is quarantined at the end", part)
			}
		}
	})
}

// TestSingleReportsAreRepeatedToAllEntries guards against a flood when many endpoints crash
// at once: what says nothing yet, because it blames only a request that nothing else blames,
// is not told to every entry, until the request is seen again.
func TestSingleReportsAreRepeatedToAllEntries(t *testing.T) {
	l := NewLedger()
	const endpoints, waiting = 40, 50
	for e := range endpoints {
		for i := range waiting {
			l.Merge(at(100), crashReport(fmt.Sprint("e", e), fmt.Sprint("r", e, "-", i), 0, 100, fmt.Sprint(RequestPrefix, e, "-", i)))
		}
	}
	qt.Check(t, l.Since(0), qt.HasLen, 0)
	l.Merge(at(200), crashReport("x1", "a-1", 100, 200, RequestPrefix+"again"))
	revision := l.Revision()
	qt.Check(t, l.Since(0), qt.HasLen, 0)
	l.Merge(at(400), crashReport("x2", "a-2", 300, 400, RequestPrefix+"again"))
	qt.Check(t, l.Since(revision), qt.HasLen, 2) // The first one too.
	l.Merge(at(600), crashReport("x3", "a-3", 500, 600, RequestPrefix+"again"))
	qt.Check(t, l.Quarantined(), qt.DeepEquals, map[string]bool{RequestPrefix + "again": true})
	l.Update(at(600).Add(2 * reportRetention))
	qt.Check(t, l.reportsByPart, qt.HasLen, 0)
}

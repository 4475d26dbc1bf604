package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// grownCera is the users' larger deployment at Cerapulita.
func grownCera(seed uint64) replayCase {
	return replayCase{
		sheet: engineSheet{
			slots: 12, queue: 25, memory: 269_581, chunk: 2048, stride: 7, step: 4.7, stepPerSlot: 0.0268, contextPerK: 0.0098,
			readPerMs: 52.4, pairsPerM: 0.442, first: 27, fetchSetup: 2.5, fetchPerMs: 353,
		},
		engines: 112, entries: 72, domains: 3, length: 9500, loadEvery: 360, busyLoadEvery: 100, oneWay: 1, seed: seed,
	}
}

func constant(rate float64) func(float64) float64 { return func(float64) float64 { return rate } }

// burst is a rate that is multiplied from a time in ms on.
func burst(rate, by, from, until float64) func(float64) float64 {
	return func(ms float64) float64 {
		if ms >= from && ms < until {
			return rate * by
		}
		return rate
	}
}

func rotaPlan(rate func(float64) float64) *replayClass {
	return &replayClass{
		name: "plan", things: "plan", rank: 4, objective: 600 * time.Millisecond, patience: 5 * time.Second, gap: 400, worth: 3.2, late: 0.98,
		prompt: 2890, spread: 1, output: 52, outSpread: 1.4,
		shared: []replayPart{{2520, 0.4, 4}, {3780, 0.7, 2323}}, rate: rate,
	}
}

func crewChat(rate func(float64) float64) *replayClass {
	return &replayClass{
		name: "chat", things: "chat", light: true, rank: 3, objective: 600 * time.Millisecond, patience: 15 * time.Second, gap: 250, worth: 1.6, late: 0.15,
		prompt: 628, spread: 1, output: 291, outSpread: 0.69,
		shared: []replayPart{{119, 0.4, 40}, {79, 0.7, 739}}, rate: rate,
	}
}

// targetWorth is the share of the owed worth that the users aim at on this
// deployment over a day with trouble.
const targetWorth = 0.60

// Guards against decisions under which the users' larger deployment falls below
// its target while load is at its worst, against large requests or a class that
// starve, and against urgent requests that are turned away. The cases begin with
// empty engines, as the users' days do.
func TestReplayAtWorstLoad(t *testing.T) {
	for _, c := range []struct {
		name       string
		plan, chat func(float64) float64
		slow       int
	}{
		{"calm", constant(336), constant(151), 0},
		{"burst of long prompts", burst(336, 2.76, 500, 9500), constant(151), 0},
		{"burst of light requests", constant(336), burst(151, 2.44, 2500, 7500), 0},
		{"burst of long prompts while a sixth of the engines is slow", burst(336, 1.5, 500, 9500), constant(151), 19},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				r := grownCera(seed + 1)
				r.slowEngines, r.slowBy = c.slow, 2.8
				r.classes = []*replayClass{rotaPlan(c.plan), crewChat(c.chat)}
				got := runReplay(r)
				t.Log(got)
				qt.Check(t, got.worth() >= targetWorth, qt.IsTrue, qt.Commentf("worth %.3f", got.worth()))
				qt.Check(t, got.bySize(0.9, 1) >= got.bySize(0, 1)/2, qt.IsTrue, qt.Commentf("the largest requests starve"))
				qt.Check(t, got.bySize(0.7, 0.9) >= got.bySize(0, 1)/2, qt.IsTrue, qt.Commentf("large requests starve"))
				answered := got.timely["chat"] + got.lateN["chat"] + got.gaps["chat"]
				qt.Check(t, float64(answered) >= 0.99*float64(got.count["chat"]), qt.IsTrue, qt.Commentf("%d of %d urgent requests were answered", answered, got.count["chat"]))
			}
		})
	}
}

// Guards against urgent customers that are turned away in a burst while less
// urgent requests of the same kind are served.
func TestReplayUrgentCustomersInBurst(t *testing.T) {
	urgent := rotaPlan(burst(34, 2.76, 500, 9500))
	urgent.name, urgent.rank = "urgent plan", 1
	r := grownCera(1)
	r.classes = []*replayClass{rotaPlan(burst(302, 2.76, 500, 9500)), urgent, crewChat(constant(151))}
	got := runReplay(r)
	t.Log(got, got.timely["urgent plan"], got.lateN["urgent plan"])
	answered := got.timely["urgent plan"] + got.lateN["urgent plan"] + got.gaps["urgent plan"]
	qt.Check(t, float64(answered) >= 0.99*float64(got.count["urgent plan"]), qt.IsTrue, qt.Commentf("%d of %d", answered, got.count["urgent plan"]))
	qt.Check(t, got.worth() >= targetWorth, qt.IsTrue, qt.Commentf("worth %.3f", got.worth()))
}

package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// largerDeployment is the users' larger deployment, at Cerapulita.
func largerDeployment(seed uint64) simCase {
	return simCase{
		model: engineModel{
			slots: 12, queue: 25, memory: 269_581, prefillChunk: 2048, tokensPerEvent: 7, step: 4.7, stepMsPerRequest: 0.0268, stepMsPerContextK: 0.0098,
			prefillPerMs: 52.4, attentionMsPerMPairs: 0.442, startDelayMs: 27, fetchSetup: 2.5, fetchPerMs: 353,
		},
		engines: 112, entries: 72, domains: 3, lengthMs: 9500, loadIntervalMs: 360, busyLoadIntervalMs: 100, oneWayMs: 1, seed: seed,
	}
}

func constantRate(rate float64) func(float64) float64 { return func(float64) float64 { return rate } }

// burstRate returns a rate that is multiplied by a factor between two times in ms.
func burstRate(rate, by, from, until float64) func(float64) float64 {
	return func(ms float64) float64 {
		if ms >= from && ms < until {
			return rate * by
		}
		return rate
	}
}

func planRequests(ratePerS func(float64) float64) *simClass {
	return &simClass{
		name: "plan", variants: "plan", rank: 4, objective: 600 * time.Millisecond, callerTimeout: 5 * time.Second, maxGapMs: 400, timelyValue: 3.2, lateValue: 0.98,
		prompt: 2890, sigma: 1, output: 52, outputSigma: 1.4,
		shared: []simPart{{2520, 0.4, 4}, {3780, 0.7, 2323}}, ratePerS: ratePerS,
	}
}

func chatRequests(ratePerS func(float64) float64) *simClass {
	return &simClass{
		name: "chat", variants: "chat", shortPrompt: true, rank: 3, objective: 600 * time.Millisecond, callerTimeout: 15 * time.Second, maxGapMs: 250, timelyValue: 1.6, lateValue: 0.15,
		prompt: 628, sigma: 1, output: 291, outputSigma: 0.69,
		shared: []simPart{{119, 0.4, 40}, {79, 0.7, 739}}, ratePerS: ratePerS,
	}
}

// targetValueShare is the share of the possible value that the users aim at on this
// deployment over a day with faults.
const targetValueShare = 0.60

// TestSimulatedPeakLoad guards against decisions that bring the users' larger
// deployment below its target at peak load, against starvation of large requests or
// of a class, and against refusing urgent requests. The cases start with empty
// engines, as the users' days do.
func TestSimulatedPeakLoad(t *testing.T) {
	for _, c := range []struct {
		name       string
		plan, chat func(float64) float64
		slow       int
	}{
		{"calm", constantRate(336), constantRate(151), 0},
		{"burst of long prompts", burstRate(336, 2.76, 500, 9500), constantRate(151), 0},
		{"burst of short prompts", constantRate(336), burstRate(151, 2.44, 2500, 7500), 0},
		{"burst of long prompts while a sixth of the engines are slow", burstRate(336, 1.5, 500, 9500), constantRate(151), 19},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				r := largerDeployment(seed + 1)
				r.slowEngines, r.slowFactor = c.slow, 2.8
				r.classes = []*simClass{planRequests(c.plan), chatRequests(c.chat)}
				got := simulate(r)
				t.Log(got)
				qt.Check(t, got.valueShare() >= targetValueShare, qt.IsTrue, qt.Commentf("value share %.3f", got.valueShare()))
				qt.Check(t, got.answeredShare(0.9, 1) >= got.answeredShare(0, 1)/2, qt.IsTrue, qt.Commentf("the largest requests starve"))
				qt.Check(t, got.answeredShare(0.7, 0.9) >= got.answeredShare(0, 1)/2, qt.IsTrue, qt.Commentf("large requests starve"))
				answered := got.timely["chat"] + got.lateCount["chat"] + got.stalled["chat"]
				qt.Check(t, float64(answered) >= 0.99*float64(got.count["chat"]), qt.IsTrue, qt.Commentf("%d of %d urgent requests were answered", answered, got.count["chat"]))
			}
		})
	}
}

// TestSimulatedBurstServesUrgentCustomers guards against refusing requests of
// urgent customers in a burst while less urgent requests of the same kind are
// served.
func TestSimulatedBurstServesUrgentCustomers(t *testing.T) {
	urgent := planRequests(burstRate(34, 2.76, 500, 9500))
	urgent.name, urgent.rank = "urgent plan", 1
	r := largerDeployment(1)
	r.classes = []*simClass{planRequests(burstRate(302, 2.76, 500, 9500)), urgent, chatRequests(constantRate(151))}
	got := simulate(r)
	t.Log(got, got.timely["urgent plan"], got.lateCount["urgent plan"])
	answered := got.timely["urgent plan"] + got.lateCount["urgent plan"] + got.stalled["urgent plan"]
	qt.Check(t, float64(answered) >= 0.99*float64(got.count["urgent plan"]), qt.IsTrue, qt.Commentf("%d of %d", answered, got.count["urgent plan"]))
	qt.Check(t, got.valueShare() >= targetValueShare, qt.IsTrue, qt.Commentf("value share %.3f", got.valueShare()))
}

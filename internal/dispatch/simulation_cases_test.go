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
				t.Log(c.name, seed, got)
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

// chartDeployment is the deployment of Ondor, with three kinds of model requests.
func chartDeployment(seed uint64) simCase {
	return simCase{
		model: engineModel{
			slots: 64, queue: 134, memory: 584_372, prefillChunk: 1024, tokensPerEvent: 5, step: 3.09, stepMsPerRequest: 0.0165, stepMsPerContextK: 0.00677,
			prefillPerMs: 61.8, attentionMsPerMPairs: 0.367, startDelayMs: 3.7, fetchSetup: 2.7, fetchPerMs: 419,
		},
		engines: 18, entries: 8, domains: 4, lengthMs: 15_000, loadIntervalMs: 100, busyLoadIntervalMs: 100, oneWayMs: 1, seed: seed,
		speeds: []float64{1, 1, 1.3},
	}
}

// chartGrownDeployment is the grown deployment of Ondor.
func chartGrownDeployment(seed uint64) simCase {
	c := chartDeployment(seed)
	c.model.tokensPerEvent = 6
	c.engines, c.entries, c.loadIntervalMs, c.busyLoadIntervalMs = 90, 59, 295, 100
	return c
}

// chartRequests returns the three kinds of model requests of Ondor, with the number of
// different shared parts and the rate of each.
func chartRequests(captionParts, guideParts, labelParts int, captions, guides, labels func(float64) float64) []*simClass {
	return []*simClass{
		{
			name: "caption", variants: "caption", rank: 5, objective: 1500 * time.Millisecond, callerTimeout: 8 * time.Second, maxGapMs: 600, timelyValue: 1.7, lateValue: 0.5,
			prompt: 3720, sigma: 1.1, output: 120, outputSigma: 1.4, shared: []simPart{{13_300, 0.7, captionParts}}, ratePerS: captions,
		},
		{
			name: "guide", variants: "guide", rank: 4, objective: 500 * time.Millisecond, callerTimeout: 5 * time.Second, maxGapMs: 250, timelyValue: 2.6, lateValue: 0.8,
			prompt: 2890, sigma: 1, output: 52, outputSigma: 1.4, shared: []simPart{{2520, 0.4, 4}, {3780, 0.7, guideParts}}, ratePerS: guides,
		},
		{
			name: "label", variants: "label", shortPrompt: true, rank: 3, objective: 250 * time.Millisecond, callerTimeout: 10 * time.Second, maxGapMs: 150, timelyValue: 1.3, lateValue: 0.12,
			prompt: 1110, sigma: 1, output: 172, outputSigma: 0.89, shared: []simPart{{210, 0.4, 8}, {140, 0.7, labelParts}}, ratePerS: labels,
		},
	}
}

// TestSimulatedThreeKinds guards against refusing the more urgent kind of two with long
// prompts while the less urgent one is served, which its longer objective favors.
func TestSimulatedThreeKinds(t *testing.T) {
	for _, c := range []struct {
		name                     string
		grown                    bool
		captions, guides, labels func(float64) float64
	}{
		{"burst of the least urgent kind", false, burstRate(15.3, 2, 500, 9500), constantRate(11.8), burstRate(27.6, 2, 11_000, 14_000)},
		{"burst at peak load", false, burstRate(24.7, 2.4, 500, 9500), constantRate(19.2), constantRate(44.6)},
		{"burst of the middle kind", false, constantRate(24.7), burstRate(19.2, 3, 500, 9500), constantRate(44.6)},
		{"grown, burst of the least urgent kind", true, burstRate(155, 3.08, 500, 9500), constantRate(75), constantRate(175)},
		{"grown, burst at peak load", true, burstRate(194, 3.24, 500, 9500), constantRate(94), constantRate(219)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				r := chartDeployment(seed + 1)
				r.classes = chartRequests(159, 185, 287, c.captions, c.guides, c.labels)
				if c.grown {
					r = chartGrownDeployment(seed + 1)
					r.classes = chartRequests(795, 927, 1435, c.captions, c.guides, c.labels)
					r.classes[2].objective = 300 * time.Millisecond
				}
				got := simulate(r)
				t.Log(c.name, seed, got)
				qt.Check(t, got.priorityInversions(), qt.HasLen, 0)
				qt.Check(t, got.valueShare() >= targetValueShare, qt.IsTrue, qt.Commentf("value share %.3f", got.valueShare()))
			}
		})
	}
}

package placement

import (
	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/event"
)

var (
	eventTaken      = event.Define(4100, "placement-taken", event.Info, "this instance places the models of the cluster")
	eventEnded      = event.Define(4101, "placement-ended", event.Info, "this instance no longer places models")
	eventOrdered    = event.Define(4110, "placement-ordered", event.Info, "sent an order to an engine")
	eventLoaded     = event.Define(4111, "placement-loaded", event.Info, "an engine has loaded a model as ordered")
	eventUnloaded   = event.Define(4112, "placement-unloaded", event.Info, "an engine has unloaded a model as ordered")
	eventAnswerLost = event.Define(4113, "placement-answer-lost", event.Warn, "the answer to an order was lost; the order is repeated")
	eventFailed     = event.Define(4114, "placement-failed", event.Warn, "an order failed; the engine gets no further order for a while")
	eventCancelled  = event.Define(4115, "placement-cancelled", event.Info, "an order was given up before it was sent")
	eventSuperseded = event.Define(4116, "placement-superseded", event.Warn, "an engine has seen a higher fencing number; no further orders are sent under this lease")
	eventPaused     = event.Define(4117, "placement-paused", event.Warn, "a scheduler did not answer; no new orders are made until all do")
	eventResumed    = event.Define(4118, "placement-resumed", event.Info, "all schedulers answer again")
)

// executorMetrics are the metrics of one executor.
type executorMetrics struct {
	scope                                    tally.Scope
	holder, tasks, loads                     tally.Gauge
	sent, lost, failed, superseded, pollFail tally.Counter
	loaded, unloaded, held                   tally.Counter
}

func newExecutorMetrics(scope tally.Scope) *executorMetrics {
	s := scope.SubScope("placement")
	return &executorMetrics{
		scope: s, holder: s.Gauge("holder"), tasks: s.Gauge("orders_pending"), loads: s.Gauge("weight_loads"),
		sent: s.Counter("orders_sent"), lost: s.Counter("answers_lost"), failed: s.Counter("orders_failed"),
		superseded: s.Counter("orders_superseded"), pollFail: s.Counter("polls_failed"),
		loaded: s.Counter("models_loaded"), unloaded: s.Counter("models_unloaded"), held: s.Counter("orders_limited"),
	}
}

// replicas reports how many replicas each model has and wants.
func (m *executorMetrics) replicas(v *view) {
	for name, model := range v.models {
		if model.placed {
			s := m.scope.Tagged(map[string]string{"service": v.service.Name, "model": name})
			s.Gauge("replicas").Update(float64(model.have))
			s.Gauge("replicas_wanted").Update(float64(model.need))
		}
	}
}

package placement

import (
	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/event"
)

var (
	eventTaken        = event.Define(4100, "placement-taken", event.Info, "this instance acquired the placement lease and now places the models of the cluster")
	eventEnded        = event.Define(4101, "placement-ended", event.Info, "this instance no longer holds the placement lease and has stopped placing models")
	eventOrdered      = event.Define(4110, "placement-ordered", event.Info, "sent an order to an engine")
	eventLoaded       = event.Define(4111, "placement-loaded", event.Info, "an engine has loaded the model that it was ordered to load")
	eventUnloaded     = event.Define(4112, "placement-unloaded", event.Info, "an engine has unloaded the model that it was ordered to unload")
	eventResponseLost = event.Define(4113, "placement-answer-lost", event.Warn, "no valid response to an order was received; the order will be sent again")
	eventFailed       = event.Define(4114, "placement-failed", event.Warn, "an order failed; the engine receives no further orders until its pause has ended")
	eventCancelled    = event.Define(4115, "placement-cancelled", event.Info, "an order was cancelled before it completed")
	eventSuperseded   = event.Define(4116, "placement-superseded", event.Warn, "an engine has seen a higher fencing number; no further orders will be sent in this lease epoch")
	eventPaused       = event.Define(4117, "placement-paused", event.Warn, "the state of a scheduler is missing or incomplete; no new orders until the state of all schedulers is complete")
	eventResumed      = event.Define(4118, "placement-resumed", event.Info, "the state of all schedulers is complete again")
)

// executorMetrics holds the metrics of one executor.
type executorMetrics struct {
	scope                                                tally.Scope
	holder, tasks, loads                                 tally.Gauge
	sent, responsesLost, failed, superseded, pollsFailed tally.Counter
	loaded, unloaded, limited                            tally.Counter
}

func newExecutorMetrics(scope tally.Scope) *executorMetrics {
	s := scope.SubScope("placement")
	return &executorMetrics{
		scope: s, holder: s.Gauge("holder"), tasks: s.Gauge("orders_pending"), loads: s.Gauge("weight_loads"),
		sent: s.Counter("orders_sent"), responsesLost: s.Counter("answers_lost"), failed: s.Counter("orders_failed"),
		superseded: s.Counter("orders_superseded"), pollsFailed: s.Counter("polls_failed"),
		loaded: s.Counter("models_loaded"), unloaded: s.Counter("models_unloaded"), limited: s.Counter("orders_limited"),
	}
}

// replicas reports the current and the needed number of replicas of each placed
// model.
func (m *executorMetrics) replicas(v *view) {
	for name, model := range v.models {
		if model.placed {
			s := m.scope.Tagged(map[string]string{"service": v.service.Name, "model": name})
			s.Gauge("replicas").Update(float64(model.have))
			s.Gauge("replicas_wanted").Update(float64(model.need))
		}
	}
}

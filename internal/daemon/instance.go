package daemon

import (
	"context"
	"net"
	"net/http"
	"strings"

	"connectrpc.com/connect"

	"auburnstep.example/auburnstep/internal/entry"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/metrics"
	eventsv1 "auburnstep.example/auburnstep/internal/rpc/eventsv1"
)

// maxEvents limits the number of events in one response.
const maxEvents = 10_000

// instanceHandler serves events.v1.Instance to operators.
type instanceHandler struct{ d *Daemon }

// Events implements events.v1.Instance. It returns the latest events that match the
// filters, oldest first.
func (h *instanceHandler) Events(_ context.Context, req *connect.Request[eventsv1.EventsRequest]) (*connect.Response[eventsv1.EventsResponse], error) {
	m := req.Msg
	limit := int(m.Limit)
	if limit == 0 || limit > maxEvents {
		limit = maxEvents
	}
	res := &eventsv1.EventsResponse{}
	records := h.d.events.Records()
	for i := len(records) - 1; i >= 0 && len(res.Events) < limit; i-- {
		if matchesFilters(records[i], m) {
			res.Events = append(res.Events, eventMessage(records[i]))
		}
	}
	for i, j := 0, len(res.Events)-1; i < j; i, j = i+1, j-1 {
		res.Events[i], res.Events[j] = res.Events[j], res.Events[i]
	}
	return connect.NewResponse(res), nil
}

// matchesFilters reports whether r matches all filters of m. The filter for a request
// also matches the IDs of its attempts, because schedulers identify requests by them.
// The ID of an attempt is the ID of the request, a hyphen and a number.
func matchesFilters(r event.Record, m *eventsv1.EventsRequest) bool {
	if m.Request != "" {
		id := r.Get(event.KeyRequest)
		if id != m.Request && !strings.HasPrefix(id, m.Request+"-") {
			return false
		}
	}
	return (m.Customer == "" || r.Get(event.KeyCustomer) == m.Customer) &&
		(m.Change == "" || r.Get(event.KeyChange) == m.Change)
}

func eventMessage(r event.Record) *eventsv1.Event {
	e := &eventsv1.Event{
		WallMs: r.At.Wall, Counter: r.At.Counter, Instance: r.Instance, Number: uint32(r.Event.Number),
		Name: r.Event.Name, Text: r.Event.Text,
	}
	for _, f := range r.Fields {
		e.Fields = append(e.Fields, &eventsv1.Field{Key: f.Key, Value: f.Value})
	}
	return e
}

// Drain implements events.v1.Instance. It removes the instance from the list of
// entries and returns the number of requests in flight.
func (h *instanceHandler) Drain(context.Context, *connect.Request[eventsv1.DrainRequest]) (*connect.Response[eventsv1.DrainResponse], error) {
	h.d.feedView.draining.Store(true)
	h.d.events.Emit(eventDrainOrdered)
	res := &eventsv1.DrainResponse{}
	if s, err := kernel.Lookup[*entry.Server](h.d.kernel, ServiceEntry); err == nil {
		res.InFlight = uint32(s.InFlight())
	}
	return connect.NewResponse(res), nil
}

// Usage implements events.v1.Instance. It returns the counters of the entry.
func (h *instanceHandler) Usage(_ context.Context, req *connect.Request[eventsv1.UsageRequest]) (*connect.Response[eventsv1.UsageResponse], error) {
	s, err := kernel.Lookup[*entry.Server](h.d.kernel, ServiceEntry)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	res := &eventsv1.UsageResponse{}
	for _, u := range s.Usage(req.Msg.Customer) {
		res.Rows = append(res.Rows, &eventsv1.Usage{
			Customer: u.Customer, Service: u.Service, Class: u.Class, Answered: u.Answered, Replayed: u.Replayed, NotRun: u.NotRun,
			MayHaveRun: u.MayHaveRun, Undelivered: u.Undelivered, PromptTokens: u.PromptTokens,
			DeliveredTokens: u.DeliveredTokens, WastedTokens: u.WastedTokens,
		})
	}
	return connect.NewResponse(res), nil
}

var eventDrainOrdered = event.Define(1010, "drain-ordered", event.Info, "an operator took the instance out of the list of entries")

// newMetricsServer returns a service that serves GET /metrics and GET /healthz.
// /healthz responds with status 503 while healthy returns false.
func newMetricsServer(g *guards, l net.Listener, m *metrics.Metrics, healthy func() bool) kernel.Service {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.Handler)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		if !healthy() {
			http.Error(w, "the settings are not fresh", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	})
	return g.http(ServiceMetrics, l, mux)
}

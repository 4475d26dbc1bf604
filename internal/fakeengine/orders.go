package fakeengine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"auburnstep.example/auburnstep/internal/endpointapi"
)

// AppliedOrder is an order that was carried out, with its fencing number.
type AppliedOrder struct {
	endpointapi.Order
	Fencing uint64 `json:"fencing"`
}

// orderBook holds what is loaded and the highest fencing number seen.
type orderBook struct {
	cfg Config

	mu      sync.Mutex
	state   endpointapi.OrderReply
	applied []AppliedOrder
	any     bool
	// loaded is called after a load that took time.
	loaded func()
}

func newOrderBook(cfg Config) *orderBook {
	return &orderBook{
		cfg:   cfg,
		any:   len(cfg.Models) == 0,
		state: endpointapi.OrderReply{Models: slices.Clone(cfg.Models), Adapters: slices.Clone(cfg.Adapters)},
	}
}

// serves reports whether requests for model can run.
func (o *orderBook) serves(model string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.any || slices.Contains(o.state.Models, model) || slices.Contains(o.state.Adapters, model)
}

func (o *orderBook) models() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.state.Models)
}

func (o *orderBook) adapters() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.state.Adapters)
}

// apply carries out an order. It is false for an old fencing number.
func (o *orderBook) apply(order endpointapi.Order, fencing uint64) (endpointapi.OrderReply, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.cfg.Fencing == FencingRefuse {
		if fencing < o.state.Fencing {
			return endpointapi.OrderReply{}, false
		}
		o.state.Fencing = fencing
	}
	o.applied = append(o.applied, AppliedOrder{order, fencing})
	switch order.Kind {
	case endpointapi.OrderLoadModel:
		o.load(order.Model)
	case endpointapi.OrderUnloadModel:
		o.state.Models = without(o.state.Models, order.Model)
		o.state.Loading = without(o.state.Loading, order.Model)
		o.any = false
	case endpointapi.OrderLoadAdapter:
		o.state.Adapters = with(o.state.Adapters, order.Adapter)
	case endpointapi.OrderUnloadAdapter:
		o.state.Adapters = without(o.state.Adapters, order.Adapter)
	case endpointapi.OrderSetRole:
		o.state.Role = order.Role
	}
	reply := o.state
	reply.Models, reply.Adapters, reply.Loading = slices.Clone(reply.Models), slices.Clone(reply.Adapters), slices.Clone(reply.Loading)
	return reply, true
}

func with(list []string, name string) []string {
	if slices.Contains(list, name) {
		return list
	}
	return append(list, name)
}

func without(list []string, name string) []string {
	return slices.DeleteFunc(list, func(s string) bool { return s == name })
}

// Orders returns the orders that were carried out.
func (s *Server) Orders() []AppliedOrder {
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	return slices.Clone(s.orders.applied)
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	if t := s.cfg.OrderToken; t != "" && r.Header.Get("Authorization") != "Bearer "+t {
		writeError(w, http.StatusForbidden, "order_token", "the order carries no valid token")
		return
	}
	fencing, err := strconv.ParseUint(r.Header.Get(endpointapi.HeaderFencing), 10, 64)
	if err != nil && s.cfg.Fencing == FencingRefuse {
		writeError(w, http.StatusBadRequest, "fencing_number", "the fencing number is missing or not a number")
		return
	}
	var order endpointapi.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPlainBody)).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_body", err.Error())
		return
	}
	switch order.Kind {
	case endpointapi.OrderLoadModel, endpointapi.OrderUnloadModel, endpointapi.OrderLoadAdapter, endpointapi.OrderUnloadAdapter, endpointapi.OrderSetRole:
	default:
		writeError(w, http.StatusBadRequest, "invalid_order", "the kind of the order is unknown")
		return
	}
	reply, ok := s.orders.apply(order, fencing)
	if !ok {
		writeError(w, http.StatusPreconditionFailed, "old_fencing_number", "a higher fencing number was seen")
		return
	}
	writeJSON(w, http.StatusOK, reply)
	s.announce.soon()
}

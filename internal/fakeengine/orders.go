package fakeengine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"auburnstep.example/auburnstep/internal/endpointapi"
)

// AppliedOrder is an order that the engine carried out, with its fencing number.
type AppliedOrder struct {
	endpointapi.Order
	Fencing uint64 `json:"fencing"`
}

// orderExecutor carries out orders. It holds the loaded models and adapters and the
// highest fencing number seen.
type orderExecutor struct {
	cfg Config

	mu      sync.Mutex
	state   endpointapi.OrderResponse
	applied []AppliedOrder
	// any is true while requests for any model are accepted: if no models are
	// configured, and until the first order to unload a model.
	any bool
	// onLoaded is called after each load that took time.
	onLoaded func()
}

func newOrderExecutor(cfg Config) *orderExecutor {
	return &orderExecutor{
		cfg:   cfg,
		any:   len(cfg.Models) == 0,
		state: endpointapi.OrderResponse{Models: slices.Clone(cfg.Models), Adapters: slices.Clone(cfg.Adapters)},
	}
}

// serves reports whether requests for model are accepted.
func (o *orderExecutor) serves(model string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.any || slices.Contains(o.state.Models, model) || slices.Contains(o.state.Adapters, model)
}

func (o *orderExecutor) models() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.state.Models)
}

func (o *orderExecutor) adapters() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.state.Adapters)
}

// apply carries out an order. It returns false if the order is rejected because of
// its old fencing number.
func (o *orderExecutor) apply(order endpointapi.Order, fencing uint64) (endpointapi.OrderResponse, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.cfg.Fencing == FencingRefuse {
		if fencing < o.state.Fencing {
			return endpointapi.OrderResponse{}, false
		}
		o.state.Fencing = fencing
	}
	o.applied = append(o.applied, AppliedOrder{order, fencing})
	switch order.Kind {
	case endpointapi.OrderLoadModel:
		o.loadModel(order.Model)
	case endpointapi.OrderUnloadModel:
		o.state.Models = removeName(o.state.Models, order.Model)
		o.state.Loading = removeName(o.state.Loading, order.Model)
		o.any = false
	case endpointapi.OrderLoadAdapter:
		o.state.Adapters = addName(o.state.Adapters, order.Adapter)
	case endpointapi.OrderUnloadAdapter:
		o.state.Adapters = removeName(o.state.Adapters, order.Adapter)
	case endpointapi.OrderSetRole:
		o.state.Role = order.Role
	}
	response := o.state
	response.Models, response.Adapters, response.Loading = slices.Clone(response.Models), slices.Clone(response.Adapters), slices.Clone(response.Loading)
	return response, true
}

func addName(list []string, name string) []string {
	if slices.Contains(list, name) {
		return list
	}
	return append(list, name)
}

func removeName(list []string, name string) []string {
	return slices.DeleteFunc(list, func(s string) bool { return s == name })
}

// AppliedOrders returns the orders that were carried out, in order.
func (s *Server) AppliedOrders() []AppliedOrder {
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	return slices.Clone(s.orders.applied)
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	if token := s.cfg.OrderToken; token != "" && r.Header.Get("Authorization") != "Bearer "+token {
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
	response, ok := s.orders.apply(order, fencing)
	if !ok {
		writeError(w, http.StatusPreconditionFailed, "old_fencing_number", "a higher fencing number was seen")
		return
	}
	writeJSON(w, http.StatusOK, response)
	s.announce.renewSoon()
}

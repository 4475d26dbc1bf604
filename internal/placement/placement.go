// Package placement decides which models each engine has loaded, and sends load
// and unload orders to the engines. One instance in the cluster does so at a
// time: the holder of the lease of settings.PlacementGroup.
package placement

import (
	"slices"

	"github.com/zeebo/errs"

	"auburnstep.example/auburnstep/internal/settings"
)

// Error is the class of errors of this package.
var Error = errs.Class("placement")

// Endpoint is the state of an engine as reported by the scheduler of its group.
type Endpoint struct {
	ID    string
	Group string
	// Epoch is the epoch of the scheduler that reported the endpoint.
	Epoch       uint64
	Address     string
	Incarnation uint64
	Domain      string
	Models      []string
	// Loading lists models whose weights are being loaded.
	Loading []string
	Slots   int
	// StreamRate is the generation rate of one stream in tokens per second.
	StreamRate float64
	// Live reports whether the lease of the endpoint's announcement is valid.
	Live, Leaving, Ejected bool
	// ChecksOrders and RefusesOldFencing are announced by the endpoint: it checks
	// order tokens, and it rejects orders with an outdated fencing number.
	ChecksOrders, RefusesOldFencing bool
	// InFlight counts grants by model. The empty key counts grants of unknown
	// model, each of which may be for any model.
	InFlight map[string]int
}

// has reports whether the model is loaded.
func (e *Endpoint) has(model string) bool { return slices.Contains(e.Models, model) }

// serving reports whether the endpoint counts as a replica of its loaded models.
func (e *Endpoint) serving() bool { return e.Live && !e.Leaving && !e.Ejected && e.Address != "" }

// orderable reports whether orders may be sent to the endpoint. An endpoint
// without a list of models serves every model and gets no orders.
func (e *Endpoint) orderable() bool { return e.serving() && len(e.Models) > 0 }

// Demand is the demand for one model in one tier.
type Demand struct {
	Model             string
	Tier              int
	Waiting, InFlight int
	// TokensPerSecond is the rate of generated tokens, RefusedPerSecond the rate
	// of requests that were refused for lack of capacity.
	TokensPerSecond, RefusedPerSecond float64
}

// Service is the state of one service, the input of the planner.
type Service struct {
	Name   string
	Policy settings.PlacementPolicy
	// Models lists the models to place. If it is empty, the models that endpoints
	// announce are placed.
	Models    []string
	Demand    []Demand
	Endpoints []Endpoint
}

// models returns the models to place, sorted if they come from announcements.
func (s *Service) models() []string {
	if len(s.Models) > 0 {
		return s.Models
	}
	var out []string
	for i := range s.Endpoints {
		out = append(out, s.Endpoints[i].Models...)
		out = append(out, s.Endpoints[i].Loading...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (s *Service) endpoint(id string) *Endpoint {
	for i := range s.Endpoints {
		if s.Endpoints[i].ID == id {
			return &s.Endpoints[i]
		}
	}
	return nil
}

// Order is a change to be made at one endpoint: load a model, after unloading
// another one if the endpoint has no room.
type Order struct {
	Service  string
	Endpoint string
	Group    string
	Load     string
	// Unload is empty if the endpoint has room for another model.
	Unload string
}

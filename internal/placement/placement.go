// Package placement decides which engines have which models loaded, and orders
// engines accordingly. One instance in the cluster does so at a time: the holder
// of the lease of settings.PlacementGroup.
package placement

import (
	"slices"

	"github.com/zeebo/errs"

	"auburnstep.example/auburnstep/internal/settings"
)

// Error is the class of errors of this package.
var Error = errs.Class("placement")

// Endpoint is an engine as the scheduler of its group sees it.
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
	// Pace is the number of tokens per second of one stream.
	Pace float64
	// Live says that the lease of its announcement lasts.
	Live, Leaving, Ejected bool
	// ChecksOrders and RefusesOldFencing are what the endpoint announces.
	ChecksOrders, RefusesOldFencing bool
	// InFlight counts grants by model. The empty model stands for grants whose
	// model is not known; each may be for any model.
	InFlight map[string]int
}

// has reports whether the model is loaded.
func (e *Endpoint) has(model string) bool { return slices.Contains(e.Models, model) }

// serving reports whether the endpoint counts as a replica of what it has loaded.
func (e *Endpoint) serving() bool { return e.Live && !e.Leaving && !e.Ejected && e.Address != "" }

// orderable reports whether the endpoint may be ordered at all. An endpoint
// without models announces that it serves every model and is left alone.
func (e *Endpoint) orderable() bool { return e.serving() && len(e.Models) > 0 }

// Demand is the demand for one model in one tier.
type Demand struct {
	Model             string
	Tier              int
	Waiting, InFlight int
	// TokensPerSecond is what was generated, RefusedPerSecond the requests that
	// were refused for lack of capacity.
	TokensPerSecond, RefusedPerSecond float64
}

// Service is the state of one service that the planner decides on.
type Service struct {
	Name   string
	Policy settings.PlacementPolicy
	// Models lists the models to place; if empty, those that endpoints announce.
	Models    []string
	Demand    []Demand
	Endpoints []Endpoint
}

// models returns the models to place.
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

// Order is a change wanted at one endpoint: load a model, after unloading
// another one if that is needed for its room.
type Order struct {
	Service  string
	Endpoint string
	Group    string
	Load     string
	// Unload is empty where the endpoint has room.
	Unload string
}

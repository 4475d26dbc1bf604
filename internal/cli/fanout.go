package cli

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/rpc/eventsv1"
	"auburnstep.example/auburnstep/internal/rpc/schedulerv1"
	"auburnstep.example/auburnstep/internal/settings"
)

// maxParallelCalls bounds the concurrent calls of fanOut.
const maxParallelCalls = 32

// target is the address of a call, with the instance or scheduler group that it is for.
type target struct{ name, address string }

// fanOut calls all targets concurrently. It returns the responses in the order of the
// targets, and the name and error of each target whose call failed.
func fanOut[T any](targets []target, call func(target) (T, error)) (responses []T, unreachable []string) {
	results := make([]T, len(targets))
	errs := make([]error, len(targets))
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxParallelCalls)
	for i, t := range targets {
		wg.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer func() { <-semaphore; wg.Done() }()
			results[i], errs[i] = call(t)
		}()
	}
	wg.Wait()
	for i, t := range targets {
		if errs[i] != nil {
			unreachable = append(unreachable, fmt.Sprintf("%s (%v)", t.name, conciseError(errs[i])))
			continue
		}
		responses = append(responses, results[i])
	}
	return responses, unreachable
}

// incompleteError returns an error that lists the unreachable targets, or nil if all
// responded.
func incompleteError(unreachable []string) error {
	if len(unreachable) == 0 {
		return nil
	}
	return exitErrorf(CodePartialResponse, "the response is incomplete; could not reach: %s", strings.Join(unreachable, ", "))
}

type endpointsCmd struct{}

// Help returns the text that --help adds to the usage of the command.
func (endpointsCmd) Help() string {
	return "Asks the scheduler of every group.\n\nExamples:\n\n  auburnctl endpoints\n  auburnctl endpoints -o json"
}

// Run prints the endpoints.
func (c *endpointsCmd) Run(s *session) error {
	status, callErr := s.status()
	if callErr != nil {
		return newReadError(callErr)
	}
	var targets []target
	for _, a := range status.GetAssignments() {
		if a.GetGroup() != settings.PlacementGroup { // The placement group has no endpoints.
			targets = append(targets, target{a.GetGroup(), a.GetAddress()})
		}
	}
	responses, unreachable := fanOut(targets, func(t target) (*schedulerv1.StatusResponse, error) {
		ctx, cancel := s.callContext()
		defer cancel()
		res, err := s.client.scheduler(t.address).Status(ctx, connect.NewRequest(&schedulerv1.StatusRequest{Group: t.name}))
		if err != nil {
			return nil, err
		}
		return res.Msg, nil
	})
	if err := printEndpoints(s, responses); err != nil {
		return err
	}
	return incompleteError(unreachable)
}

func printEndpoints(s *session, responses []*schedulerv1.StatusResponse) error {
	if s.json() {
		list := []any{}
		for _, r := range responses {
			raw, err := messageJSON(r)
			if err != nil {
				return err
			}
			list = append(list, raw)
		}
		return s.printJSON(list)
	}
	t := newTable(s.Stdout, "GROUP", "ENDPOINT", "ADDRESS", "FAILURE DOMAIN", "STATE", "IN FLIGHT", "SLOTS", "REPORTED", "TOKENS/S", "LEASE")
	for _, r := range responses {
		for _, e := range r.GetEndpoints() {
			p := e.GetEndpoint()
			t.row(r.GetGroup(), p.GetId(), p.GetAddress(), p.GetFailureDomain(), endpointState(e), formatInt(e.GetInFlight()),
				formatInt(p.GetSlots()), formatInt(p.GetLoad().GetRunning()), fmt.Sprintf("%.0f", e.GetObservedTokensPerSecond()),
				fmt.Sprintf("%dms", e.GetLeaseLeftMs()))
		}
	}
	return t.flush()
}

func endpointState(e *schedulerv1.EndpointStatus) string {
	switch {
	case e.GetEjected():
		return "ejected"
	case e.GetEndpoint().GetLeaving():
		return "leaving"
	default:
		return "ready"
	}
}

type timelineCmd struct {
	Request  string `help:"Only events of this request."`
	Customer string `help:"Only events of this customer."`
	Change   string `help:"Only events of this settings change."`
	Limit    uint32 `default:"1000" help:"Latest events to take from each instance."`
}

// Help returns the text that --help adds to the usage of the command.
func (timelineCmd) Help() string {
	return "Merges the events of all live instances in the order of their hybrid clocks.\n\nExamples:\n\n  auburnctl timeline --request 0f8e6a\n  auburnctl timeline --change 5b0c8f6e -o json"
}

type eventOutput struct {
	Time     string            `json:"time"`
	Counter  uint32            `json:"counter"`
	Instance string            `json:"instance"`
	Number   uint32            `json:"number"`
	Name     string            `json:"name"`
	Text     string            `json:"text"`
	Fields   map[string]string `json:"fields,omitempty"`
}

// Run prints the events.
func (c *timelineCmd) Run(s *session) error {
	status, callErr := s.status()
	if callErr != nil {
		return newReadError(callErr)
	}
	responses, unreachable := fanOut(instanceTargets(status), func(t target) (*eventsv1.EventsResponse, error) {
		ctx, cancel := s.callContext()
		defer cancel()
		res, err := s.client.instance(t.address).Events(ctx, connect.NewRequest(&eventsv1.EventsRequest{
			Request: c.Request, Customer: c.Customer, Change: c.Change, Limit: c.Limit}))
		if err != nil {
			return nil, err
		}
		return res.Msg, nil
	})
	if err := printEvents(s, mergeEvents(responses)); err != nil {
		return err
	}
	return incompleteError(unreachable)
}

// instanceTargets returns the live entries and the control members, each address once,
// sorted by name. An instance without a name is named by its address.
func instanceTargets(status *controlv1.StatusResponse) []target {
	var out []target
	seen := make(map[string]bool)
	add := func(name, address string) {
		if address != "" && !seen[address] {
			seen[address] = true
			out = append(out, target{cmp.Or(name, address), address})
		}
	}
	for _, e := range status.GetEntries() {
		add(e.GetInstance(), e.GetPeerAddress())
	}
	for _, m := range status.GetMembers() {
		add(m.GetInstance(), m.GetAddress())
	}
	slices.SortFunc(out, func(a, b target) int { return cmp.Compare(a.name, b.name) })
	return out
}

// mergeEvents sorts the events of all instances by their hybrid logical clocks. Events of
// one instance with equal clocks stay in the order in which the instance recorded them.
func mergeEvents(responses []*eventsv1.EventsResponse) []*eventsv1.Event {
	var all []*eventsv1.Event
	for _, a := range responses {
		all = append(all, a.GetEvents()...)
	}
	slices.SortStableFunc(all, func(a, b *eventsv1.Event) int {
		return cmp.Or(cmp.Compare(a.GetWallMs(), b.GetWallMs()), cmp.Compare(a.GetCounter(), b.GetCounter()),
			cmp.Compare(a.GetInstance(), b.GetInstance()))
	})
	return all
}

func printEvents(s *session, events []*eventsv1.Event) error {
	out := make([]eventOutput, 0, len(events))
	for _, e := range events {
		at := time.UnixMilli(e.GetWallMs()).UTC().Format("2006-01-02T15:04:05.000Z")
		o := eventOutput{Time: at, Counter: e.GetCounter(), Instance: e.GetInstance(), Number: e.GetNumber(), Name: e.GetName(),
			Text: e.GetText(), Fields: map[string]string{}}
		var fields strings.Builder
		for _, f := range e.GetFields() {
			o.Fields[f.GetKey()] = f.GetValue()
			fmt.Fprintf(&fields, " %s=%s", f.GetKey(), f.GetValue())
		}
		out = append(out, o)
		if !s.json() {
			s.printf("%s.%d %s %d %s: %s%s\n", at, o.Counter, o.Instance, o.Number, o.Name, o.Text, fields.String())
		}
	}
	if s.json() {
		return s.printJSON(out)
	}
	return nil
}

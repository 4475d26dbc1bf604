package cli

import (
	"cmp"
	"slices"

	"connectrpc.com/connect"

	"auburnstep.example/auburnstep/internal/rpc/eventsv1"
)

type usageCmd struct {
	Customer string `help:"Only this customer."`
}

// Help returns the text that --help adds to the usage of the command.
func (usageCmd) Help() string {
	return "Sums the counters of all live instances, each since the start of its process. Prompt tokens are estimated. " +
		"An instance keeps 33,000 customers and 16 classes of each; others are counted as \"(other)\".\n\n" +
		"Examples:\n\n  auburnctl usage\n  auburnctl usage --customer torino -o json"
}

// usageOutput is one row of the output: the counters of a customer, service and class,
// summed over all instances.
type usageOutput struct {
	Customer        string `json:"customer"`
	Service         string `json:"service"`
	Class           string `json:"class"`
	Answered        uint64 `json:"answered"`
	Replayed        uint64 `json:"replayed"`
	NotRun          uint64 `json:"not_run"`
	MayHaveRun      uint64 `json:"may_have_run"`
	Undelivered     uint64 `json:"undelivered"`
	PromptTokens    uint64 `json:"prompt_tokens"`
	DeliveredTokens uint64 `json:"delivered_tokens"`
	WastedTokens    uint64 `json:"wasted_tokens"`
}

func (o *usageOutput) add(u *eventsv1.Usage) {
	o.Answered += u.GetAnswered()
	o.Replayed += u.GetReplayed()
	o.NotRun += u.GetNotRun()
	o.MayHaveRun += u.GetMayHaveRun()
	o.Undelivered += u.GetUndelivered()
	o.PromptTokens += u.GetPromptTokens()
	o.DeliveredTokens += u.GetDeliveredTokens()
	o.WastedTokens += u.GetWastedTokens()
}

// Run prints the summed counters.
func (c *usageCmd) Run(s *session) error {
	status, callErr := s.status()
	if callErr != nil {
		return newReadError(callErr)
	}
	responses, unreachable := fanOut(instanceTargets(status), func(t target) (*eventsv1.UsageResponse, error) {
		ctx, cancel := s.callContext()
		defer cancel()
		res, err := s.client.instance(t.address).Usage(ctx, connect.NewRequest(&eventsv1.UsageRequest{Customer: c.Customer}))
		if err != nil {
			return nil, err
		}
		return res.Msg, nil
	})
	if err := printUsage(s, sumUsage(responses)); err != nil {
		return err
	}
	return incompleteError(unreachable)
}

// sumUsage sums the rows of all instances by customer, service and class, and sorts them.
func sumUsage(responses []*eventsv1.UsageResponse) []usageOutput {
	type key struct{ customer, service, class string }
	index := make(map[key]int)
	sums := []usageOutput{}
	for _, a := range responses {
		for _, u := range a.GetRows() {
			k := key{u.GetCustomer(), u.GetService(), u.GetClass()}
			i, ok := index[k]
			if !ok {
				i = len(sums)
				index[k] = i
				sums = append(sums, usageOutput{Customer: k.customer, Service: k.service, Class: k.class})
			}
			sums[i].add(u)
		}
	}
	slices.SortFunc(sums, func(a, b usageOutput) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class))
	})
	return sums
}

func printUsage(s *session, sums []usageOutput) error {
	if s.json() {
		return s.printJSON(sums)
	}
	t := newTable(s.Stdout, "CUSTOMER", "SERVICE", "CLASS", "ANSWERED", "REPLAYED", "NOT RUN", "MAY HAVE RUN", "UNDELIVERED",
		"PROMPT TOKENS", "DELIVERED TOKENS", "WASTED TOKENS")
	for _, u := range sums {
		t.row(u.Customer, u.Service, u.Class, formatInt(u.Answered), formatInt(u.Replayed), formatInt(u.NotRun), formatInt(u.MayHaveRun),
			formatInt(u.Undelivered), formatInt(u.PromptTokens), formatInt(u.DeliveredTokens), formatInt(u.WastedTokens))
	}
	return t.flush()
}

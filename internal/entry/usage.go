package entry

import (
	"slices"
	"strings"
	"sync"

	"auburnstep.example/auburnstep/internal/verdict"
)

const (
	// maxUsageCustomers bounds the customers with their own counters. It is the number
	// of customers that the system is designed for; any others share the rows of
	// UsageOther.
	maxUsageCustomers = 33_000
	// maxUsageClasses bounds the rows of one customer, because the rows of renamed
	// classes remain until the process ends.
	maxUsageClasses = 16
	// UsageOther is the name under which customers and classes beyond these bounds are
	// counted. It is not a valid name of a customer or class.
	UsageOther = "(other)"
)

// outcome classifies how a customer's request ended.
type outcome int

const (
	outcomeNone outcome = iota
	outcomeAnswered
	outcomeReplayed
	outcomeNotRun
	outcomeMayHaveRun
	outcomeUndelivered
)

func outcomeFromVerdict(v verdict.Verdict) outcome {
	switch v {
	case verdict.NotRun:
		return outcomeNotRun
	case verdict.Ran:
		return outcomeUndelivered
	default:
		return outcomeMayHaveRun
	}
}

// usageDelta is what one request adds to the counters of its customer.
type usageDelta struct {
	outcome outcome
	// promptTokens is an estimate; tokens is the number of generated tokens.
	promptTokens, tokens int
}

// Usage holds the counters of one customer and class since the start of the
// process.
type Usage struct {
	Customer, Service, Class string

	// Answered requests got a complete response, Replayed requests the stored
	// response of an earlier request. Undelivered requests ran, but their caller had
	// disconnected.
	Answered, Replayed, NotRun, MayHaveRun, Undelivered uint64
	// PromptTokens counts only requests that may have run. Generated tokens are
	// delivered if they belong to a complete response, and wasted otherwise.
	PromptTokens, DeliveredTokens, WastedTokens uint64
}

func (u *Usage) add(d usageDelta) {
	switch d.outcome {
	case outcomeAnswered:
		u.Answered++
	case outcomeReplayed:
		u.Replayed++
	case outcomeNotRun:
		u.NotRun++
	case outcomeMayHaveRun:
		u.MayHaveRun++
	case outcomeUndelivered:
		u.Undelivered++
	}
	if d.outcome != outcomeNotRun {
		u.PromptTokens += uint64(d.promptTokens)
	}
	if d.outcome == outcomeAnswered {
		u.DeliveredTokens += uint64(d.tokens)
	} else {
		u.WastedTokens += uint64(d.tokens)
	}
}

// usageTable holds the counters of all customers that have sent requests.
type usageTable struct {
	mu        sync.Mutex
	customers map[string][]Usage
}

func (t *usageTable) add(customer string, class classID, d usageDelta) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.customers == nil {
		t.customers = make(map[string][]Usage)
	}
	if _, ok := t.customers[customer]; !ok && len(t.customers) >= maxUsageCustomers {
		customer = UsageOther
	}
	rows := t.customers[customer]
	i := slices.IndexFunc(rows, func(u Usage) bool { return u.Service == class.service && u.Class == class.class })
	if i < 0 && len(rows) >= maxUsageClasses {
		class = classID{UsageOther, UsageOther}
		i = slices.IndexFunc(rows, func(u Usage) bool { return u.Class == UsageOther })
	}
	if i < 0 {
		rows = append(rows, Usage{Customer: customer, Service: class.service, Class: class.class})
		t.customers[customer] = rows
		i = len(rows) - 1
	}
	rows[i].add(d)
}

// Usage returns the counters of one customer, or of all if customer is empty,
// by customer, service and class.
func (s *Server) Usage(customer string) []Usage {
	t := &s.usage
	t.mu.Lock()
	var out []Usage
	if customer != "" {
		out = slices.Clone(t.customers[customer])
	} else {
		for _, rows := range t.customers {
			out = append(out, rows...)
		}
	}
	t.mu.Unlock()
	slices.SortFunc(out, func(a, b Usage) int {
		if n := strings.Compare(a.Customer, b.Customer); n != 0 {
			return n
		}
		if n := strings.Compare(a.Service, b.Service); n != 0 {
			return n
		}
		return strings.Compare(a.Class, b.Class)
	})
	return out
}

// recordUsage adds the request to the counters of its customer. If no outcome has been
// set, err determines it; a request with neither, such as GET /v1/models, is not
// counted.
func (s *Server) recordUsage(q *request, err *verdict.Error) {
	var class classID
	if q.service != nil {
		class.service = q.service.Name
	}
	if q.class != nil {
		class = classIDOf(q.class)
	}
	if q.delta.outcome == outcomeNone && err != nil {
		q.delta.outcome = outcomeFromVerdict(err.Verdict)
		s.metrics.recordFailed(class, err.Verdict, 0)
	}
	if q.customer == "" || q.delta.outcome == outcomeNone {
		return
	}
	s.usage.add(q.customer, class, q.delta)
}

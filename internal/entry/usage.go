package entry

import (
	"slices"
	"strings"
	"sync"

	"auburnstep.example/auburnstep/internal/verdict"
)

const (
	// maxUsageCustomers bounds the customers with counters of their own. It is
	// the number of customers that the system is built for; further ones share
	// the row of UsageOther.
	maxUsageCustomers = 33_000
	// maxUsageClasses bounds the rows of one customer, as classes that were
	// renamed stay until the process ends.
	maxUsageClasses = 16
	// UsageOther names what exceeds the bounds. It is no valid name of a
	// customer or class.
	UsageOther = "(other)"
)

// outcome is how a request of a customer ended.
type outcome int

const (
	outcomeNone outcome = iota
	outcomeAnswered
	outcomeReplayed
	outcomeNotRun
	outcomeMayHaveRun
	outcomeUndelivered
)

func outcomeOfVerdict(v verdict.Verdict) outcome {
	switch v {
	case verdict.NotRun:
		return outcomeNotRun
	case verdict.Ran:
		return outcomeUndelivered
	default:
		return outcomeMayHaveRun
	}
}

// spending is what one request adds to the counters of its customer.
type spending struct {
	outcome outcome
	// prompt is an estimate; tokens were generated.
	prompt, tokens int
}

// Usage holds the counters of one customer and class since the start of the
// process.
type Usage struct {
	Customer, Service, Class string

	// Answered requests got a whole answer, Replayed ones the stored answer of
	// an earlier one. Undelivered requests ran for a caller that was gone.
	Answered, Replayed, NotRun, MayHaveRun, Undelivered uint64
	// PromptTokens counts requests that may have run. Tokens are delivered as
	// part of a whole answer, or wasted.
	PromptTokens, DeliveredTokens, WastedTokens uint64
}

func (u *Usage) add(s spending) {
	switch s.outcome {
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
	if s.outcome != outcomeNotRun {
		u.PromptTokens += uint64(s.prompt)
	}
	if s.outcome == outcomeAnswered {
		u.DeliveredTokens += uint64(s.tokens)
	} else {
		u.WastedTokens += uint64(s.tokens)
	}
}

// usageTable holds the rows of all customers seen.
type usageTable struct {
	mu        sync.Mutex
	customers map[string][]Usage
}

func (t *usageTable) add(customer string, class classID, s spending) {
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
	rows[i].add(s)
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

// account adds the request to the counters of its customer. A request without
// an outcome of its own ended with err, or is none that a class counts.
func (s *Server) account(q *request, err *verdict.Error) {
	var class classID
	if q.service != nil {
		class.service = q.service.Name
	}
	if q.class != nil {
		class = idOf(q.class)
	}
	if q.spent.outcome == outcomeNone && err != nil {
		q.spent.outcome = outcomeOfVerdict(err.Verdict)
		s.metrics.failed(class, err.Verdict, 0)
	}
	if q.customer == "" || q.spent.outcome == outcomeNone {
		return
	}
	s.usage.add(q.customer, class, q.spent)
}

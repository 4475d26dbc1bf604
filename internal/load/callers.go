package load

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
)

// CallerReport counts what one caller got.
type CallerReport struct {
	// Caller is the number of the bearer key in the options, from 1.
	Caller     int `json:"caller"`
	Sent       int `json:"sent"`
	Whole      int `json:"whole"`
	NotRun     int `json:"not_run"`
	MayHaveRun int `json:"may_have_run"`
	Cut        int `json:"cut"`
	Wrong      int `json:"wrong"`
	Tokens     int `json:"tokens"`
}

// callers counts results by bearer key.
type callers struct {
	mu  sync.Mutex
	all []CallerReport
}

func newCallers(keys []string) *callers {
	c := &callers{all: make([]CallerReport, max(len(keys), 1))}
	for i := range c.all {
		c.all[i].Caller = i + 1
	}
	return c
}

func (c *callers) add(key int, s sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.all[key]
	if s.outcome != Unsent {
		r.Sent++
	}
	r.Tokens += s.tokens
	switch s.outcome {
	case Whole, Ran:
		r.Whole++
	case NotRun:
		r.NotRun++
	case MayHaveRun:
		r.MayHaveRun++
	case Cut:
		r.Cut++
	case Wrong:
		r.Wrong++
	}
}

func (c *callers) report() []CallerReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]CallerReport(nil), c.all...)
}

// writeCallers writes one row a caller.
func writeCallers(w io.Writer, rows []CallerReport) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "caller\tsent\twhole\tnot-run\tmay-have-run\tcut\twrong\ttokens\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", r.Caller, r.Sent, r.Whole, r.NotRun, r.MayHaveRun, r.Cut, r.Wrong, r.Tokens)
	}
	return t.Flush()
}

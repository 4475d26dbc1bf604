package load

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
)

// CallerReport counts the results of one caller.
type CallerReport struct {
	// Caller is the position of the bearer key in Options.Keys, from 1.
	Caller int `json:"caller"`
	Sent   int `json:"sent"`
	// Complete also counts failures with the verdict ran.
	Complete   int `json:"whole"`
	NotRun     int `json:"not_run"`
	MayHaveRun int `json:"may_have_run"`
	NoVerdict  int `json:"cut"`
	Wrong      int `json:"wrong"`
	Tokens     int `json:"tokens"`
}

// callerStats counts results by bearer key.
type callerStats struct {
	mu   sync.Mutex
	rows []CallerReport
}

func newCallerStats(keys []string) *callerStats {
	c := &callerStats{rows: make([]CallerReport, max(len(keys), 1))}
	for i := range c.rows {
		c.rows[i].Caller = i + 1
	}
	return c
}

func (c *callerStats) record(keyIndex int, result requestResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.rows[keyIndex]
	if result.outcome != Unsent {
		r.Sent++
	}
	r.Tokens += result.responseTokens
	switch result.outcome {
	case Complete, Ran:
		r.Complete++
	case NotRun:
		r.NotRun++
	case MayHaveRun:
		r.MayHaveRun++
	case NoVerdict:
		r.NoVerdict++
	case Wrong:
		r.Wrong++
	}
}

func (c *callerStats) report() []CallerReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]CallerReport(nil), c.rows...)
}

// writeCallerTable writes one row per caller.
func writeCallerTable(w io.Writer, rows []CallerReport) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "caller\tsent\twhole\tnot-run\tmay-have-run\tcut\twrong\ttokens\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", r.Caller, r.Sent, r.Complete, r.NotRun, r.MayHaveRun, r.NoVerdict, r.Wrong, r.Tokens)
	}
	return t.Flush()
}

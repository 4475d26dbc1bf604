package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms cover 1 us to 10 minutes with three significant digits.
const (
	minLatencyUS      = 1
	maxLatencyUS      = 600_000_000
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyUS, maxLatencyUS, significantDigits)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minLatencyUS), maxLatencyUS))
}

func quantileMS(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// requestResult is the result of one request.
type requestResult struct {
	outcome        Outcome
	first          time.Duration // time to the first token, or to a complete plain response
	total          time.Duration
	tokenGaps      []time.Duration
	responseTokens int
}

// classStats collects the results of one class.
type classStats struct {
	class *Class

	mu             sync.Mutex
	outcomes       [Wrong + 1]int
	withinTarget   int
	responseTokens int
	tokensInTime   int
	first          *hdrhistogram.Histogram // time to the first token
	tokenGaps      *hdrhistogram.Histogram
}

func newClassStats(c *Class) *classStats {
	return &classStats{class: c, first: newHistogram(), tokenGaps: newHistogram()}
}

func (c *classStats) record(result requestResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[result.outcome]++
	c.responseTokens += result.responseTokens
	if result.outcome != Complete {
		return
	}
	if result.first <= c.class.Target {
		c.withinTarget++
		c.tokensInTime += result.responseTokens
	}
	recordLatency(c.first, result.first)
	for _, d := range result.tokenGaps {
		recordLatency(c.tokenGaps, d)
	}
}

// ClassReport is one row of a report. Times are in milliseconds.
type ClassReport struct {
	Class      string  `json:"class"`
	TargetMS   float64 `json:"target_ms"`
	Sent       int     `json:"sent"`
	Complete   int     `json:"whole"`
	NotRun     int     `json:"not_run"`
	MayHaveRun int     `json:"may_have_run"`
	Ran        int     `json:"ran"`
	NoVerdict  int     `json:"cut"`
	Unsent     int     `json:"unsent"`
	Wrong      int     `json:"wrong"`
	// Attainment is the fraction of all requests, including the unsent ones, that got
	// a complete response within the target.
	Attainment      float64 `json:"attainment"`
	FirstTokenP50MS float64 `json:"first_token_p50_ms"`
	FirstTokenP95MS float64 `json:"first_token_p95_ms"`
	TokenGapP95MS   float64 `json:"between_tokens_p95_ms"`
	Tokens          int     `json:"tokens"`
	// TokensInTime counts the tokens of complete responses within the target.
	TokensInTime int `json:"tokens_in_time"`
}

func (c *classStats) report() ClassReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := 0
	for _, n := range c.outcomes {
		all += n
	}
	row := ClassReport{
		Class: c.class.Name, TargetMS: float64(c.class.Target.Microseconds()) / 1000, Sent: all - c.outcomes[Unsent],
		Complete: c.outcomes[Complete], NotRun: c.outcomes[NotRun], MayHaveRun: c.outcomes[MayHaveRun], Ran: c.outcomes[Ran],
		NoVerdict: c.outcomes[NoVerdict], Unsent: c.outcomes[Unsent], Wrong: c.outcomes[Wrong], Tokens: c.responseTokens, TokensInTime: c.tokensInTime,
		FirstTokenP50MS: quantileMS(c.first, 50), FirstTokenP95MS: quantileMS(c.first, 95), TokenGapP95MS: quantileMS(c.tokenGaps, 95),
	}
	if all > 0 {
		row.Attainment = float64(c.withinTarget) / float64(all)
	}
	return row
}

// Report is the result of a run.
type Report struct {
	Profile string        `json:"profile"`
	Seed    uint64        `json:"seed"`
	Seconds float64       `json:"seconds"`
	Classes []ClassReport `json:"classes"`
	// Callers holds one row per bearer key.
	Callers []CallerReport `json:"callers"`
	// TokensInTimePerSecond is the goodput: TokensInTime of all classes per second of
	// the run.
	TokensInTimePerSecond float64       `json:"tokens_in_time_per_second"`
	Bookings              BookingReport `json:"bookings"`
	// Warning describes checks that could not be made. It is empty if all were made.
	Warning string `json:"warning,omitempty"`
}

func (r *runner) report(ctx context.Context, p *Profile, elapsed time.Duration) *Report {
	report := &Report{Profile: p.Name, Seed: r.options.Seed, Seconds: elapsed.Seconds()}
	for _, c := range p.Classes {
		row := r.statsByClass[c.Name].report()
		report.Classes = append(report.Classes, row)
		report.TokensInTimePerSecond += float64(row.TokensInTime) / elapsed.Seconds()
	}
	report.Callers = r.callerStats.report()
	runs, err := r.readLedgers(context.WithoutCancel(ctx))
	if err != nil {
		report.Warning = err.Error()
	}
	report.Bookings = r.bookingLog.buildReport(runs)
	return report
}

// anySent reports whether any request reached an entry.
func (r *Report) anySent() bool {
	for _, c := range r.Classes {
		if c.Sent > 0 {
			return true
		}
	}
	return false
}

// Failed reports whether a response was wrong, or a booking was duplicated, lost or
// run despite its not-run verdict.
func (r *Report) Failed() bool {
	for _, c := range r.Classes {
		if c.Wrong > 0 {
			return true
		}
	}
	b := r.Bookings
	return b.Duplicated > 0 || b.Lost > 0 || b.RanDespiteNotRun > 0
}

// WriteJSON writes v as indented JSON.
func WriteJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// WriteTable writes the report as tables for a human reader.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tsent\twhole\tnot-run\tmay-have-run\tran\tcut\tunsent\twrong\tattained\tfirst p50\tfirst p95\tbetween p95\ttokens\t")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%.1fms\t%.1fms\t%.1fms\t%d\t\n", c.Class, c.Sent, c.Complete, c.NotRun,
			c.MayHaveRun, c.Ran, c.NoVerdict, c.Unsent, c.Wrong, 100*c.Attainment, c.FirstTokenP50MS, c.FirstTokenP95MS, c.TokenGapP95MS, c.Tokens)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	if err := writeCallerTable(w, r.Callers); err != nil {
		return err
	}
	fmt.Fprintf(w, "\n%.1f s, %.0f tokens per second in responses within target\n", r.Seconds, r.TokensInTimePerSecond)
	b := r.Bookings
	fmt.Fprintf(w, "bookings: %d, confirmed %d, doubled %d", b.Bookings, b.Confirmed, b.Duplicated)
	if b.LedgersRead {
		fmt.Fprintf(w, ", lost %d, run despite a not-run verdict %d\n", b.Lost, b.RanDespiteNotRun)
	} else {
		fmt.Fprintln(w, "; ledgers not read, so lost bookings are unknown")
	}
	if r.Warning != "" {
		fmt.Fprintln(w, "warning:", r.Warning)
	}
	return nil
}

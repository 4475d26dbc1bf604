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

// Range and precision of histograms, in microseconds: 1 us to 10 minutes with
// three digits.
const (
	lowestUS  = 1
	highestUS = 600_000_000
	digits    = 3
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(lowestUS, highestUS, digits) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowestUS), highestUS))
}

func quantileMS(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// sample is the result of one request.
type sample struct {
	outcome Outcome
	first   time.Duration
	total   time.Duration
	between []time.Duration
	tokens  int
}

// collector gathers the samples of one class.
type collector struct {
	class *Class

	mu       sync.Mutex
	outcomes [Wrong + 1]int
	attained int
	tokens   int
	inTime   int
	first    *hdrhistogram.Histogram
	between  *hdrhistogram.Histogram
}

func newCollector(c *Class) *collector {
	return &collector{class: c, first: newHistogram(), between: newHistogram()}
}

func (c *collector) add(s sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[s.outcome]++
	c.tokens += s.tokens
	if s.outcome != Whole {
		return
	}
	if s.first <= c.class.Target {
		c.attained++
		c.inTime += s.tokens
	}
	record(c.first, s.first)
	for _, d := range s.between {
		record(c.between, d)
	}
}

// ClassReport is one row of a report. Times are in milliseconds.
type ClassReport struct {
	Class      string  `json:"class"`
	TargetMS   float64 `json:"target_ms"`
	Sent       int     `json:"sent"`
	Whole      int     `json:"whole"`
	NotRun     int     `json:"not_run"`
	MayHaveRun int     `json:"may_have_run"`
	Ran        int     `json:"ran"`
	Cut        int     `json:"cut"`
	Unsent     int     `json:"unsent"`
	Wrong      int     `json:"wrong"`
	// Attainment is the part of all requests, the unsent ones included, that were
	// answered whole within the target.
	Attainment      float64 `json:"attainment"`
	FirstTokenP50MS float64 `json:"first_token_p50_ms"`
	FirstTokenP95MS float64 `json:"first_token_p95_ms"`
	BetweenP95MS    float64 `json:"between_tokens_p95_ms"`
	Tokens          int     `json:"tokens"`
	// TokensInTime counts the tokens of whole answers within the target.
	TokensInTime int `json:"tokens_in_time"`
}

func (c *collector) report() ClassReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := 0
	for _, n := range c.outcomes {
		all += n
	}
	row := ClassReport{
		Class: c.class.Name, TargetMS: float64(c.class.Target.Microseconds()) / 1000, Sent: all - c.outcomes[Unsent],
		Whole: c.outcomes[Whole], NotRun: c.outcomes[NotRun], MayHaveRun: c.outcomes[MayHaveRun], Ran: c.outcomes[Ran],
		Cut: c.outcomes[Cut], Unsent: c.outcomes[Unsent], Wrong: c.outcomes[Wrong], Tokens: c.tokens, TokensInTime: c.inTime,
		FirstTokenP50MS: quantileMS(c.first, 50), FirstTokenP95MS: quantileMS(c.first, 95), BetweenP95MS: quantileMS(c.between, 95),
	}
	if all > 0 {
		row.Attainment = float64(c.attained) / float64(all)
	}
	return row
}

// Report is the result of a run.
type Report struct {
	Profile string        `json:"profile"`
	Seed    uint64        `json:"seed"`
	Seconds float64       `json:"seconds"`
	Classes []ClassReport `json:"classes"`
	// Callers holds one row a bearer key.
	Callers []CallerReport `json:"callers"`
	// TokensInTimePerSecond is the goodput.
	TokensInTimePerSecond float64       `json:"tokens_in_time_per_second"`
	Bookings              BookingReport `json:"bookings"`
	// Warning says what could not be checked.
	Warning string `json:"warning,omitempty"`
}

func (r *runner) report(ctx context.Context, p *Profile, took time.Duration) *Report {
	report := &Report{Profile: p.Name, Seed: r.options.Seed, Seconds: took.Seconds()}
	for _, c := range p.Classes {
		row := r.results[c.Name].report()
		report.Classes = append(report.Classes, row)
		report.TokensInTimePerSecond += float64(row.TokensInTime) / took.Seconds()
	}
	report.Callers = r.callers.report()
	runs, err := r.readLedgers(context.WithoutCancel(ctx))
	if err != nil {
		report.Warning = err.Error()
	}
	report.Bookings = r.bookings.judge(runs)
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

// Failed reports whether an answer was wrong or a booking doubled, lost or run
// against its verdict.
func (r *Report) Failed() bool {
	for _, c := range r.Classes {
		if c.Wrong > 0 {
			return true
		}
	}
	b := r.Bookings
	return b.Doubled > 0 || b.Lost > 0 || b.RanThoughNotRun > 0
}

// WriteJSON writes v as indented JSON.
func WriteJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// WriteTable writes the report for a reader.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tsent\twhole\tnot-run\tmay-have-run\tran\tcut\tunsent\twrong\tattained\tfirst p50\tfirst p95\tbetween p95\ttokens\t")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%.1fms\t%.1fms\t%.1fms\t%d\t\n", c.Class, c.Sent, c.Whole, c.NotRun,
			c.MayHaveRun, c.Ran, c.Cut, c.Unsent, c.Wrong, 100*c.Attainment, c.FirstTokenP50MS, c.FirstTokenP95MS, c.BetweenP95MS, c.Tokens)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	if err := writeCallers(w, r.Callers); err != nil {
		return err
	}
	fmt.Fprintf(w, "\n%.1f s, %.0f tokens per second in answers in time\n", r.Seconds, r.TokensInTimePerSecond)
	b := r.Bookings
	fmt.Fprintf(w, "bookings: %d, confirmed %d, doubled %d", b.Bookings, b.Confirmed, b.Doubled)
	if b.LedgersRead {
		fmt.Fprintf(w, ", lost %d, run against a not-run verdict %d\n", b.Lost, b.RanThoughNotRun)
	} else {
		fmt.Fprintln(w, "; ledgers not read, lost ones not known")
	}
	if r.Warning != "" {
		fmt.Fprintln(w, "warning:", r.Warning)
	}
	return nil
}

package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"auburnstep.example/auburnstep/internal/answers"
)

// BenchOptions set up a comparison of chat streams through a daemon with streams
// of the same client straight to a stand-in.
type BenchOptions struct {
	// Entry and Direct are the addresses of the daemon and the stand-in.
	Entry  string
	Direct string
	Key    string
	Class  string
	Model  string
	// Streams lists the numbers of concurrent streams to measure.
	Streams []int
	// Rounds is the number of pairs of slices; each slice lasts Slice.
	Rounds int
	Slice  time.Duration
	// Tokens is the length of an answer.
	Tokens int
}

// PathReport is what was measured on one of the two paths.
type PathReport struct {
	Answers         int     `json:"answers"`
	Failed          int     `json:"failed"`
	Wrong           int     `json:"wrong"`
	FirstTokenP50MS float64 `json:"first_token_p50_ms"`
	FirstTokenP99MS float64 `json:"first_token_p99_ms"`
	TotalP50MS      float64 `json:"total_p50_ms"`
	TotalP99MS      float64 `json:"total_p99_ms"`
	TokensPerSecond float64 `json:"tokens_per_second"`
}

// BenchRow compares the paths at one number of streams.
type BenchRow struct {
	Streams int        `json:"streams"`
	Direct  PathReport `json:"direct"`
	Through PathReport `json:"through"`
	// The added latencies are differences of quantiles.
	AddedFirstTokenP50MS float64 `json:"added_first_token_p50_ms"`
	AddedFirstTokenP99MS float64 `json:"added_first_token_p99_ms"`
	// ThroughputRatio is tokens per second through the daemon over direct ones.
	ThroughputRatio float64 `json:"throughput_ratio"`
}

// BenchReport is the result of a bench run.
type BenchReport struct {
	Tokens int        `json:"tokens_per_answer"`
	Rounds int        `json:"rounds"`
	Rows   []BenchRow `json:"rows"`
}

// Failed reports whether an answer was wrong or failed.
func (r *BenchReport) Failed() bool {
	for _, row := range r.Rows {
		if row.Direct.Wrong+row.Through.Wrong+row.Direct.Failed+row.Through.Failed > 0 {
			return true
		}
	}
	return false
}

// benchPath gathers the measurements of one path.
type benchPath struct {
	options BenchOptions
	client  *http.Client
	address string
	key     string

	mu     sync.Mutex
	report PathReport
	first  *hdrhistogram.Histogram
	total  *hdrhistogram.Histogram
	tokens int
	busy   time.Duration
	sent   int
}

func newBenchPath(o BenchOptions, address, key string, streams int) *benchPath {
	return &benchPath{options: o, client: newHTTPClient(streams), address: address, key: key, first: newHistogram(), total: newHistogram()}
}

// Bench measures both paths in alternating slices of one run, and swaps their
// order in each round, so that a change of the machine's load meets both.
func Bench(ctx context.Context, o BenchOptions) (*BenchReport, error) {
	if o.Rounds < 1 || o.Slice <= 0 || o.Tokens < 1 || len(o.Streams) == 0 {
		return nil, Error.New("rounds, slice, tokens and streams must be above 0")
	}
	report := &BenchReport{Tokens: o.Tokens, Rounds: o.Rounds}
	for _, streams := range o.Streams {
		direct, through := newBenchPath(o, o.Direct, "", streams), newBenchPath(o, o.Entry, o.Key, streams)
		// One answer on each path opens connections and warms both processes up.
		for _, p := range []*benchPath{direct, through} {
			if err := p.warm(ctx); err != nil {
				return nil, err
			}
		}
		for round := range o.Rounds {
			order := []*benchPath{direct, through}
			if round%2 == 1 {
				order[0], order[1] = order[1], order[0]
			}
			for _, p := range order {
				p.slice(ctx, streams)
			}
		}
		report.Rows = append(report.Rows, compare(streams, direct, through))
		direct.client.CloseIdleConnections()
		through.client.CloseIdleConnections()
	}
	return report, ctx.Err()
}

func compare(streams int, direct, through *benchPath) BenchRow {
	row := BenchRow{Streams: streams, Direct: direct.result(), Through: through.result()}
	row.AddedFirstTokenP50MS = row.Through.FirstTokenP50MS - row.Direct.FirstTokenP50MS
	row.AddedFirstTokenP99MS = row.Through.FirstTokenP99MS - row.Direct.FirstTokenP99MS
	if row.Direct.TokensPerSecond > 0 {
		row.ThroughputRatio = row.Through.TokensPerSecond / row.Direct.TokensPerSecond
	}
	return row
}

func (p *benchPath) warm(ctx context.Context) error {
	outcome, _, err := p.one(ctx, "warm-up")
	if err != nil {
		return Error.New("%s: %w", p.address, err)
	}
	if outcome != Whole {
		return Error.New("%s gave no whole answer", p.address)
	}
	return nil
}

// slice keeps the given number of streams busy for one slice.
func (p *benchPath) slice(ctx context.Context, streams int) {
	start := time.Now()
	var wg sync.WaitGroup
	for range streams {
		wg.Go(func() {
			for time.Since(start) < p.options.Slice && ctx.Err() == nil {
				p.measure(ctx)
			}
		})
	}
	wg.Wait()
	p.busy += time.Since(start)
}

func (p *benchPath) measure(ctx context.Context) {
	p.mu.Lock()
	p.sent++
	prompt := fmt.Sprintf("bench %s %d", p.address, p.sent)
	p.mu.Unlock()
	outcome, s, err := p.one(ctx, prompt)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err != nil || outcome != Whole && outcome != Wrong:
		p.report.Failed++
	case outcome == Wrong:
		p.report.Wrong++
	default:
		p.report.Answers++
		p.tokens += s.tokens
		record(p.first, s.first)
		record(p.total, s.total)
	}
}

func (p *benchPath) one(ctx context.Context, prompt string) (Outcome, sample, error) {
	body, err := chatBody(p.options.Model, prompt, p.options.Tokens, true)
	if err != nil {
		return Cut, sample{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address+"/v1/chat/completions", strings.NewReader(string(body)))
	if err != nil {
		return Cut, sample{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	if p.key != "" {
		req.Header.Set("Authorization", "Bearer "+p.key)
	}
	if p.options.Class != "" {
		req.Header.Set("X-Auburnstep-Class", p.options.Class)
	}
	start := time.Now()
	resp, err := p.client.Do(req)
	if err != nil {
		return Cut, sample{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer))
		return ofStatus(resp), sample{}, nil
	}
	s := readStream(resp.Body, start)
	out := sample{first: s.first, total: time.Since(start), tokens: s.tokens}
	_, _ = io.Copy(io.Discard, resp.Body)
	return s.judge(answers.Answer(prompt, p.options.Tokens)), out, nil
}

func (p *benchPath) result() PathReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.report
	r.FirstTokenP50MS, r.FirstTokenP99MS = quantileMS(p.first, 50), quantileMS(p.first, 99)
	r.TotalP50MS, r.TotalP99MS = quantileMS(p.total, 50), quantileMS(p.total, 99)
	if p.busy > 0 {
		r.TokensPerSecond = float64(p.tokens) / p.busy.Seconds()
	}
	return r
}

// WriteTable writes the report for a reader.
func (r *BenchReport) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "streams\tpath\tanswers\tfailed\twrong\tfirst p50\tfirst p99\ttotal p50\ttotal p99\ttokens/s\t")
	for _, row := range r.Rows {
		for _, path := range []struct {
			name string
			PathReport
		}{{"direct", row.Direct}, {"through", row.Through}} {
			fmt.Fprintf(t, "%d\t%s\t%d\t%d\t%d\t%.3fms\t%.3fms\t%.3fms\t%.3fms\t%.0f\t\n", row.Streams, path.name, path.Answers, path.Failed, path.Wrong,
				path.FirstTokenP50MS, path.FirstTokenP99MS, path.TotalP50MS, path.TotalP99MS, path.TokensPerSecond)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, row := range r.Rows {
		fmt.Fprintf(w, "%d streams: added to the first token %.3f ms at p50, %.3f ms at p99; throughput ratio %.2f\n",
			row.Streams, row.AddedFirstTokenP50MS, row.AddedFirstTokenP99MS, row.ThroughputRatio)
	}
	return nil
}

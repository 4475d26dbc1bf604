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

// BenchOptions configures a comparison of chat streams routed by a daemon with
// streams that the same client sends directly to a fake endpoint.
type BenchOptions struct {
	// Entry and Direct are the addresses of the daemon and of the fake endpoint.
	Entry  string
	Direct string
	Key    string
	Class  string
	Model  string
	// Streams lists the numbers of concurrent streams to measure, one row each.
	Streams []int
	// Rounds is the number of rounds. A round measures each path for the time Slice.
	Rounds int
	Slice  time.Duration
	// Tokens is the length of a response.
	Tokens int
}

// PathReport holds the measurements of one of the two paths.
type PathReport struct {
	Responses       int     `json:"answers"`
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
	Routed  PathReport `json:"through"`
	// The added latencies are differences of the quantiles of the two paths.
	AddedFirstTokenP50MS float64 `json:"added_first_token_p50_ms"`
	AddedFirstTokenP99MS float64 `json:"added_first_token_p99_ms"`
	// ThroughputRatio is the routed tokens per second divided by the direct ones.
	ThroughputRatio float64 `json:"throughput_ratio"`
}

// BenchReport is the result of Bench.
type BenchReport struct {
	Tokens int        `json:"tokens_per_answer"`
	Rounds int        `json:"rounds"`
	Rows   []BenchRow `json:"rows"`
}

// Failed reports whether a request failed or got a wrong response.
func (r *BenchReport) Failed() bool {
	for _, row := range r.Rows {
		if row.Direct.Wrong+row.Routed.Wrong+row.Direct.Failed+row.Routed.Failed > 0 {
			return true
		}
	}
	return false
}

// benchPath sends the requests of one path and collects its measurements.
type benchPath struct {
	options BenchOptions
	client  *http.Client
	address string
	key     string

	mu             sync.Mutex
	report         PathReport
	first          *hdrhistogram.Histogram // time to the first token
	total          *hdrhistogram.Histogram
	responseTokens int
	measuredTime   time.Duration
	sent           int
}

func newBenchPath(o BenchOptions, address, key string, streams int) *benchPath {
	return &benchPath{options: o, client: newHTTPClient(streams), address: address, key: key, first: newHistogram(), total: newHistogram()}
}

// Bench measures both paths in alternating time slices of one run and swaps their
// order in each round, so that a change of the machine's load affects both paths.
func Bench(ctx context.Context, o BenchOptions) (*BenchReport, error) {
	if o.Rounds < 1 || o.Slice <= 0 || o.Tokens < 1 || len(o.Streams) == 0 {
		return nil, Error.New("rounds, slice, tokens and streams must be above 0")
	}
	report := &BenchReport{Tokens: o.Tokens, Rounds: o.Rounds}
	for _, streams := range o.Streams {
		direct, routed := newBenchPath(o, o.Direct, "", streams), newBenchPath(o, o.Entry, o.Key, streams)
		// One request on each path opens connections and warms up both processes.
		for _, p := range []*benchPath{direct, routed} {
			if err := p.warmUp(ctx); err != nil {
				return nil, err
			}
		}
		for round := range o.Rounds {
			order := []*benchPath{direct, routed}
			if round%2 == 1 {
				order[0], order[1] = order[1], order[0]
			}
			for _, p := range order {
				p.runSlice(ctx, streams)
			}
		}
		report.Rows = append(report.Rows, newBenchRow(streams, direct, routed))
		direct.client.CloseIdleConnections()
		routed.client.CloseIdleConnections()
	}
	return report, ctx.Err()
}

func newBenchRow(streams int, direct, routed *benchPath) BenchRow {
	row := BenchRow{Streams: streams, Direct: direct.result(), Routed: routed.result()}
	row.AddedFirstTokenP50MS = row.Routed.FirstTokenP50MS - row.Direct.FirstTokenP50MS
	row.AddedFirstTokenP99MS = row.Routed.FirstTokenP99MS - row.Direct.FirstTokenP99MS
	if row.Direct.TokensPerSecond > 0 {
		row.ThroughputRatio = row.Routed.TokensPerSecond / row.Direct.TokensPerSecond
	}
	return row
}

func (p *benchPath) warmUp(ctx context.Context) error {
	outcome, _, err := p.sendChat(ctx, "warm-up")
	if err != nil {
		return Error.New("%s: %w", p.address, err)
	}
	if outcome != Complete {
		return Error.New("%s returned no complete response to the warm-up request", p.address)
	}
	return nil
}

// runSlice keeps the given number of concurrent streams busy for one time slice.
func (p *benchPath) runSlice(ctx context.Context, streams int) {
	start := time.Now()
	var wg sync.WaitGroup
	for range streams {
		wg.Go(func() {
			for time.Since(start) < p.options.Slice && ctx.Err() == nil {
				p.sendAndRecord(ctx)
			}
		})
	}
	wg.Wait()
	p.measuredTime += time.Since(start)
}

func (p *benchPath) sendAndRecord(ctx context.Context) {
	p.mu.Lock()
	p.sent++
	prompt := fmt.Sprintf("bench %s %d", p.address, p.sent)
	p.mu.Unlock()
	outcome, result, err := p.sendChat(ctx, prompt)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err != nil || outcome != Complete && outcome != Wrong:
		p.report.Failed++
	case outcome == Wrong:
		p.report.Wrong++
	default:
		p.report.Responses++
		p.responseTokens += result.responseTokens
		recordLatency(p.first, result.first)
		recordLatency(p.total, result.total)
	}
}

func (p *benchPath) sendChat(ctx context.Context, prompt string) (Outcome, requestResult, error) {
	body, err := chatBody(p.options.Model, prompt, p.options.Tokens, true)
	if err != nil {
		return NoVerdict, requestResult{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address+"/v1/chat/completions", strings.NewReader(string(body)))
	if err != nil {
		return NoVerdict, requestResult{}, err
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
		return NoVerdict, requestResult{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))
		return outcomeOfErrorResponse(resp), requestResult{}, nil
	}
	stream := readStream(resp.Body, start)
	result := requestResult{first: stream.first, total: time.Since(start), responseTokens: stream.responseTokens}
	_, _ = io.Copy(io.Discard, resp.Body)
	return stream.classify(answers.ResponseText(prompt, p.options.Tokens)), result, nil
}

func (p *benchPath) result() PathReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.report
	r.FirstTokenP50MS, r.FirstTokenP99MS = quantileMS(p.first, 50), quantileMS(p.first, 99)
	r.TotalP50MS, r.TotalP99MS = quantileMS(p.total, 50), quantileMS(p.total, 99)
	if p.measuredTime > 0 {
		r.TokensPerSecond = float64(p.responseTokens) / p.measuredTime.Seconds()
	}
	return r
}

// WriteTable writes the report as a table for a human reader.
func (r *BenchReport) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "streams\tpath\tanswers\tfailed\twrong\tfirst p50\tfirst p99\ttotal p50\ttotal p99\ttokens/s\t")
	for _, row := range r.Rows {
		for _, path := range []struct {
			name string
			PathReport
		}{{"direct", row.Direct}, {"through", row.Routed}} {
			fmt.Fprintf(t, "%d\t%s\t%d\t%d\t%d\t%.3fms\t%.3fms\t%.3fms\t%.3fms\t%.0f\t\n", row.Streams, path.name, path.Responses, path.Failed, path.Wrong,
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

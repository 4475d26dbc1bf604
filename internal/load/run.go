package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"auburnstep.example/auburnstep/internal/answers"
)

// Options set up a run.
type Options struct {
	// Instances are addresses of any instances; they give the list of entries.
	Instances []string
	Profile   string
	// Model replaces the model of the chat classes, if it is set.
	Model string
	// Keys are bearer keys of customers. Requests are spread over them.
	Keys []string
	Seed uint64
	// Rate is the number of requests per second of all classes together.
	Rate     float64
	Duration time.Duration
	Bursts   []Burst
	// Timeout bounds one request.
	Timeout time.Duration
	// MaxInFlight bounds the requests in flight. Requests beyond it count as unsent.
	MaxInFlight int
	// Ledgers are addresses of plain stand-ins whose ledgers are checked at the end.
	Ledgers []string
	// Targets replace the targets of classes.
	Targets map[string]time.Duration
	// TokenScale multiplies the lengths of answers; 0 is 1.
	TokenScale float64
}

// maxAnswer bounds the body of a plain answer.
const maxAnswer = 1 << 20

// runner sends the requests of one run.
type runner struct {
	options   Options
	client    *http.Client
	directory *directory
	results   map[string]*collector
	callers   *callers
	bookings  *bookings
	slots     chan struct{}
	wg        sync.WaitGroup
}

func newHTTPClient(maxInFlight int) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxInFlight, DisableCompression: true}
	return &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// Run sends the workload and returns its results. It ends early with ctx.
func Run(ctx context.Context, o Options) (*Report, error) {
	profile, err := o.profile()
	if err != nil {
		return nil, err
	}
	arrivals, err := plan(profile, o)
	if err != nil {
		return nil, err
	}
	client := newHTTPClient(o.MaxInFlight)
	defer client.CloseIdleConnections()
	r := &runner{
		options: o, client: client, directory: newDirectory(client, o.Instances, o.Seed),
		results: make(map[string]*collector), callers: newCallers(o.Keys), bookings: newBookings(), slots: make(chan struct{}, o.MaxInFlight),
	}
	for _, c := range profile.Classes {
		r.results[c.Name] = newCollector(c)
	}
	start := time.Now()
	r.send(ctx, arrivals, start)
	r.wg.Wait()
	report := r.report(ctx, profile, time.Since(start))
	if len(arrivals) > 0 && !report.anySent() {
		return nil, Error.New("none of %d requests could be sent to an entry", len(arrivals))
	}
	return report, nil
}

// profile returns the profile with the changes of the options.
func (o *Options) profile() (*Profile, error) {
	if o.MaxInFlight <= 0 {
		return nil, Error.New("the bound on requests in flight is not above 0")
	}
	p, err := ProfileOf(o.Profile)
	if err != nil {
		return nil, err
	}
	for _, c := range p.Classes {
		if c.Kind == Chat && o.Model != "" {
			c.Service = o.Model
		}
		if o.TokenScale > 0 {
			c.TokensMedian *= o.TokenScale
			c.MaxTokens = max(int(float64(c.MaxTokens)*o.TokenScale), 1)
		}
	}
	for name, target := range o.Targets {
		c, err := p.Class(name)
		if err != nil {
			return nil, err
		}
		c.Target = target
	}
	return p, nil
}

// send starts each request at its time, whether earlier ones are answered or not.
func (r *runner) send(ctx context.Context, arrivals []arrival, start time.Time) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, a := range arrivals {
		timer.Reset(time.Until(start.Add(a.at)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		select {
		case r.slots <- struct{}{}:
		default:
			r.add(a, sample{outcome: Unsent})
			continue
		}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			defer func() { <-r.slots }()
			r.one(ctx, a)
		}()
	}
}

// add counts the result of one request for its class and for its caller.
func (r *runner) add(a arrival, s sample) {
	r.results[a.class.Name].add(s)
	r.callers.add(a.key, s)
}

func (r *runner) one(ctx context.Context, a arrival) {
	switch a.class.Kind {
	case Chat:
		r.add(a, r.chat(ctx, a))
	case Lookup:
		r.add(a, r.lookup(ctx, a))
	case Booking:
		r.book(ctx, a)
	}
}

// request returns a request to an entry with the headers of a caller.
func (r *runner) request(ctx context.Context, method, url, body string, a arrival) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Auburnstep-Class", a.class.Name)
	if len(r.options.Keys) > 0 {
		req.Header.Set("Authorization", "Bearer "+r.options.Keys[a.key])
	}
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// promptOf returns the prompt of an arrival. Prompts of one customer share their
// first part, as requests about the same file do.
func (r *runner) promptOf(a arrival) string {
	shared := rand.New(rand.NewPCG(r.options.Seed, uint64(a.key)))
	var b strings.Builder
	for i := range a.words {
		if i == a.words*3/4 {
			fmt.Fprintf(&b, "request %d-%d ", r.options.Seed, a.index)
			shared = rand.New(rand.NewPCG(r.options.Seed, uint64(a.index)))
		}
		fmt.Fprintf(&b, "w%d ", shared.IntN(1000))
	}
	fmt.Fprintf(&b, "%d-%d %s", r.options.Seed, a.index, answers.LengthMark(a.tokens))
	return b.String()
}

// wholeEvery is the share of chat requests that ask for a whole answer instead
// of a stream: one of this many.
const wholeEvery = 4

// chatBody returns the body of a chat request.
func chatBody(model, prompt string, maxTokens int, stream bool) ([]byte, error) {
	content, err := json.Marshal(prompt)
	if err != nil {
		return nil, err
	}
	return json.Marshal(answers.ChatRequest{
		Model: model, MaxTokens: maxTokens, Stream: stream,
		Messages: []answers.Message{{Role: "user", Content: content}},
	})
}

func (r *runner) chat(ctx context.Context, a arrival) sample {
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
	defer cancel()
	prompt := r.promptOf(a)
	stream := a.index%wholeEvery != 0
	body, err := chatBody(a.class.Service, prompt, a.class.MaxTokens, stream)
	if err != nil {
		return sample{outcome: Unsent}
	}
	start := time.Now()
	resp, err := r.directory.do(ctx, func(entry string) (*http.Request, error) {
		return r.request(ctx, http.MethodPost, "http://"+entry+"/v1/chat/completions", string(body), a)
	})
	if err != nil {
		return sample{outcome: ofError(err)}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return sample{outcome: ofStatus(resp)}
	}
	want := answers.Answer(prompt, min(a.tokens, a.class.MaxTokens))
	if !stream {
		return readWhole(resp.Body, want, start)
	}
	s := readStream(resp.Body, start)
	return sample{
		outcome: s.judge(want),
		first:   s.first, total: time.Since(start), between: s.between, tokens: s.tokens,
	}
}

// plainAnswer is the answer of a plain service as it was received.
type plainAnswer struct {
	outcome Outcome
	status  int
	body    []byte
	total   time.Duration
}

// plain sends one call through the system. The outcome is Whole for any whole
// answer with success; the caller judges its content.
func (r *runner) plain(ctx context.Context, method, target, body, key string, a arrival) plainAnswer {
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
	defer cancel()
	start := time.Now()
	resp, err := r.directory.do(ctx, func(entry string) (*http.Request, error) {
		req, err := r.request(ctx, method, "http://"+entry+"/services/"+a.class.Service+target, body, a)
		if err == nil && key != "" {
			req.Header.Set("Idempotency-Key", key)
		}
		return req, err
	})
	if err != nil {
		return plainAnswer{outcome: ofError(err)}
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return plainAnswer{outcome: ofStatus(resp), status: resp.StatusCode}
	}
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return plainAnswer{outcome: Cut}
	}
	return plainAnswer{outcome: Whole, status: resp.StatusCode, body: bytes.TrimSpace(answer), total: time.Since(start)}
}

func (r *runner) lookup(ctx context.Context, a arrival) sample {
	query := fmt.Sprintf("q=%d-%d", r.options.Seed, a.index)
	answer := r.plain(ctx, http.MethodGet, a.class.Path+"?"+query, "", "", a)
	if answer.outcome == Whole {
		var echo answers.Echo
		if json.Unmarshal(answer.body, &echo) != nil || echo.Query != query {
			answer.outcome = Wrong
		}
	}
	return sample{outcome: answer.outcome, first: answer.total, total: answer.total}
}

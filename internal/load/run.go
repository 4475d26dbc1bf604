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

// Options configures a run.
type Options struct {
	// Instances are addresses of any instances. The list of entries is fetched from
	// them.
	Instances []string
	Profile   string
	// Model replaces the model of the chat classes unless it is empty.
	Model string
	// Keys are bearer keys of customers. Each request uses a random one.
	Keys []string
	Seed uint64
	// Rate is the number of requests per second over all classes, without bursts.
	Rate     float64
	Duration time.Duration
	Bursts   []Burst
	// Timeout bounds one request.
	Timeout time.Duration
	// MaxInFlight bounds the requests in flight. Requests beyond this limit are not sent
	// and count as unsent.
	MaxInFlight int
	// Ledgers are addresses of plain fake endpoints whose ledgers are checked after the
	// run.
	Ledgers []string
	// Targets replaces the targets of classes, by class name.
	Targets map[string]time.Duration
	// TokenScale multiplies the lengths of responses. 0 means 1.
	TokenScale float64
}

// maxResponseBytes bounds the body of a plain response and a line of a stream.
const maxResponseBytes = 1 << 20

// runner sends the requests of one run.
type runner struct {
	options       Options
	client        *http.Client
	entrySelector *entrySelector
	statsByClass  map[string]*classStats
	callerStats   *callerStats
	bookingLog    *bookingLog
	inFlight      chan struct{}
	wg            sync.WaitGroup
}

func newHTTPClient(maxInFlight int) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxInFlight, DisableCompression: true}
	return &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// Run sends the workload and returns its results. It ends early if ctx is done.
func Run(ctx context.Context, o Options) (*Report, error) {
	profile, err := o.profile()
	if err != nil {
		return nil, err
	}
	arrivals, err := planArrivals(profile, o)
	if err != nil {
		return nil, err
	}
	client := newHTTPClient(o.MaxInFlight)
	defer client.CloseIdleConnections()
	r := &runner{
		options: o, client: client, entrySelector: newEntrySelector(client, o.Instances, o.Seed),
		statsByClass: make(map[string]*classStats), callerStats: newCallerStats(o.Keys), bookingLog: newBookingLog(), inFlight: make(chan struct{}, o.MaxInFlight),
	}
	for _, c := range profile.Classes {
		r.statsByClass[c.Name] = newClassStats(c)
	}
	start := time.Now()
	r.sendAll(ctx, arrivals, start)
	r.wg.Wait()
	report := r.report(ctx, profile, time.Since(start))
	if len(arrivals) > 0 && !report.anySent() {
		return nil, Error.New("none of %d requests could be sent to an entry", len(arrivals))
	}
	return report, nil
}

// profile returns the profile with the overrides of the options applied.
func (o *Options) profile() (*Profile, error) {
	if o.MaxInFlight <= 0 {
		return nil, Error.New("the limit on requests in flight must be above 0")
	}
	p, err := NewProfile(o.Profile)
	if err != nil {
		return nil, err
	}
	for _, c := range p.Classes {
		if c.Kind == Chat && o.Model != "" {
			c.Service = o.Model
		}
		if o.TokenScale > 0 {
			c.MedianTokens *= o.TokenScale
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

// sendAll starts each request at its planned time, whether or not earlier requests
// have got their responses.
func (r *runner) sendAll(ctx context.Context, arrivals []arrival, start time.Time) {
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
		case r.inFlight <- struct{}{}:
		default:
			r.record(a, requestResult{outcome: Unsent})
			continue
		}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			defer func() { <-r.inFlight }()
			r.sendOne(ctx, a)
		}()
	}
}

// record counts the result of one request for its class and its caller.
func (r *runner) record(a arrival, result requestResult) {
	r.statsByClass[a.class.Name].record(result)
	r.callerStats.record(a.keyIndex, result)
}

func (r *runner) sendOne(ctx context.Context, a arrival) {
	switch a.class.Kind {
	case Chat:
		r.record(a, r.sendChat(ctx, a))
	case Lookup:
		r.record(a, r.sendLookup(ctx, a))
	case Booking:
		r.sendBooking(ctx, a)
	}
}

// newRequest returns a request to an entry with the headers that a caller sends.
func (r *runner) newRequest(ctx context.Context, method, url, body string, a arrival) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Auburnstep-Class", a.class.Name)
	if len(r.options.Keys) > 0 {
		req.Header.Set("Authorization", "Bearer "+r.options.Keys[a.keyIndex])
	}
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// promptFor returns the prompt of an arrival. Prompts of the same customer start with
// the same words, up to three quarters of their length, like requests about the same
// file.
func (r *runner) promptFor(a arrival) string {
	words := rand.New(rand.NewPCG(r.options.Seed, uint64(a.keyIndex)))
	var b strings.Builder
	for i := range a.promptWords {
		if i == a.promptWords*3/4 {
			fmt.Fprintf(&b, "request %d-%d ", r.options.Seed, a.index)
			words = rand.New(rand.NewPCG(r.options.Seed, uint64(a.index)))
		}
		fmt.Fprintf(&b, "w%d ", words.IntN(1000))
	}
	fmt.Fprintf(&b, "%d-%d %s", r.options.Seed, a.index, answers.LengthMarker(a.responseTokens))
	return b.String()
}

// bufferedEvery sets the share of chat requests that ask for a buffered response
// instead of a stream: one in bufferedEvery.
const bufferedEvery = 4

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

func (r *runner) sendChat(ctx context.Context, a arrival) requestResult {
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
	defer cancel()
	prompt := r.promptFor(a)
	stream := a.index%bufferedEvery != 0
	body, err := chatBody(a.class.Service, prompt, a.class.MaxTokens, stream)
	if err != nil {
		return requestResult{outcome: Unsent}
	}
	start := time.Now()
	resp, err := r.entrySelector.do(ctx, func(entry string) (*http.Request, error) {
		return r.newRequest(ctx, http.MethodPost, "http://"+entry+"/v1/chat/completions", string(body), a)
	})
	if err != nil {
		return requestResult{outcome: outcomeOfError(err)}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return requestResult{outcome: outcomeOfErrorResponse(resp)}
	}
	want := answers.ResponseText(prompt, min(a.responseTokens, a.class.MaxTokens))
	if !stream {
		return readBuffered(resp.Body, want, start)
	}
	response := readStream(resp.Body, start)
	return requestResult{
		outcome: response.classify(want),
		first:   response.first, total: time.Since(start), tokenGaps: response.tokenGaps, responseTokens: response.responseTokens,
	}
}

// plainResponse is the received response of a plain service.
type plainResponse struct {
	outcome Outcome
	status  int
	body    []byte
	total   time.Duration
}

// sendPlain sends one call to a plain service. The outcome is Complete for any
// complete response with a 2xx status; sendPlain does not check the content.
func (r *runner) sendPlain(ctx context.Context, method, target, body, key string, a arrival) plainResponse {
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
	defer cancel()
	start := time.Now()
	resp, err := r.entrySelector.do(ctx, func(entry string) (*http.Request, error) {
		req, err := r.newRequest(ctx, method, "http://"+entry+"/services/"+a.class.Service+target, body, a)
		if err == nil && key != "" {
			req.Header.Set("Idempotency-Key", key)
		}
		return req, err
	})
	if err != nil {
		return plainResponse{outcome: outcomeOfError(err)}
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return plainResponse{outcome: outcomeOfErrorResponse(resp), status: resp.StatusCode}
	}
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return plainResponse{outcome: NoVerdict}
	}
	return plainResponse{outcome: Complete, status: resp.StatusCode, body: bytes.TrimSpace(content), total: time.Since(start)}
}

func (r *runner) sendLookup(ctx context.Context, a arrival) requestResult {
	query := fmt.Sprintf("q=%d-%d", r.options.Seed, a.index)
	response := r.sendPlain(ctx, http.MethodGet, a.class.Path+"?"+query, "", "", a)
	if response.outcome == Complete {
		var echo answers.Echo
		if json.Unmarshal(response.body, &echo) != nil || echo.Query != query {
			response.outcome = Wrong
		}
	}
	return requestResult{outcome: response.outcome, first: response.total, total: response.total}
}

package fakeengine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"go.uber.org/goleak"

	"auburnstep.example/auburnstep/internal/answers"
	"auburnstep.example/auburnstep/internal/endpointapi"
	chatapi "auburnstep.example/auburnstep/internal/openai"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// eventuallyTimeout bounds the wait for a condition, so that a test that hangs
// fails.
const eventuallyTimeout = 30 * time.Second

// httpClient opens a new connection for each request, because the goroutine of an
// idle connection would outlive its test and fail the goleak check.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func startServer(c *qt.C, cfg Config) *Server {
	s, err := Start(cfg)
	c.Assert(err, qt.IsNil)
	c.Cleanup(s.Close)
	return s
}

func send(c *qt.C, method, url, body string, header ...string) (int, string) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := httpClient.Do(req)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	return resp.StatusCode, strings.TrimSpace(string(text))
}

func eventually(c *qt.C, what string, ok func() bool) {
	c.Helper()
	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	c.Fatalf("condition not met in time: %s", what)
}

func TestResponseText(t *testing.T) {
	c := qt.New(t)
	c.Check(answers.ResponseTokens("p", 7), qt.Equals, 7)
	c.Check(answers.ResponseTokens("p "+answers.LengthMarker(5), 7), qt.Equals, 5)
	c.Check(answers.ResponseTokens("p "+answers.LengthMarker(9), 7), qt.Equals, 7)
	c.Check(answers.ResponseTokens("p", 0), qt.Equals, answers.ResponseTokens("p", 0))
	c.Check(answers.Check("p", 3, answers.ResponseText("p", 3)), qt.IsTrue)
	c.Check(answers.Check("p", 3, answers.ResponseText("p", 2)), qt.IsFalse)
	c.Check(answers.Check("p", 3, answers.ResponseText("q", 3)), qt.IsFalse)
	c.Check(answers.CountTokens(answers.ResponseText("p", 9)), qt.Equals, 9)
	c.Check(answers.NewGenerator("p").ResponseText(0, 4)+answers.NewGenerator("p").ResponseText(4, 9), qt.Equals, answers.ResponseText("p", 9))
}

// TestWithOpenAIClient checks that the client library of OpenAI understands the
// responses, both streamed and unstreamed.
func TestWithOpenAIClient(t *testing.T) {
	c := qt.New(t)
	s := startServer(c, Config{Models: []string{"m"}})
	client := openai.NewClient(option.WithBaseURL(s.URL()+"/v1"), option.WithAPIKey("k"), option.WithHTTPClient(httpClient), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model: "m", MaxCompletionTokens: openai.Int(12),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("s"), openai.UserMessage("u")},
	}
	completion, err := client.Chat.Completions.New(c.Context(), params)
	c.Assert(err, qt.IsNil)
	c.Check(completion.Choices[0].Message.Content, qt.Equals, answers.ResponseText("s\nu", 12))
	stream := client.Chat.Completions.NewStreaming(c.Context(), params)
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		c.Check(acc.AddChunk(stream.Current()), qt.IsTrue)
	}
	c.Assert(stream.Err(), qt.IsNil)
	c.Check(acc.Choices[0].Message.Content, qt.Equals, answers.ResponseText("s\nu", 12))
	c.Check(acc.Choices[0].FinishReason, qt.Equals, "stop")
	_, err = client.Models.Get(c.Context(), "m")
	c.Check(err, qt.ErrorMatches, ".*404.*", qt.Commentf("GET /v1/models/{model} is not implemented"))
	params.Model = "other"
	_, err = client.Chat.Completions.New(c.Context(), params)
	var apiErr *openai.Error
	c.Assert(errors.As(err, &apiErr), qt.IsTrue)
	c.Check(apiErr.Code, qt.Equals, "model_not_found")
}

// TestBatchOrder checks that waiting requests enter free slots by priority and then
// by arrival, and that a full queue rejects requests.
func TestBatchOrder(t *testing.T) {
	c := qt.New(t)
	stop := make(chan struct{})
	defer close(stop)
	b := newBatch(Config{Slots: 2, QueueMax: 4}, newFaults(1), stop)
	var all []*sequence
	for i, priority := range []int{2, 1, 2, 0} {
		s := newSequence(fmt.Sprint(i), priority, 0, 0, 2)
		all = append(all, s)
		c.Assert(b.submit(s), qt.IsTrue)
	}
	c.Check(b.submit(newSequence("4", 0, 0, 0, 1)), qt.IsFalse)
	c.Check(b.admit(), qt.Equals, 2)
	running := []string{b.running[0].id, b.running[1].id}
	c.Check(running, qt.DeepEquals, []string{"3", "1"})
	c.Check(b.cancel("3"), qt.IsTrue)
	c.Check(b.cancel("x"), qt.IsFalse)
	c.Check(b.admit(), qt.Equals, 2)
	c.Check(b.running[1].id, qt.Equals, "0")
	all[1].prefillRemaining = 15
	b.step(10)
	c.Check([]int64{all[1].produced.Load(), all[0].produced.Load()}, qt.DeepEquals, []int64{0, 1})
	b.step(10)
	c.Check([]int64{all[1].produced.Load(), all[0].produced.Load()}, qt.DeepEquals, []int64{1, 2})
	c.Check(b.admit(), qt.Equals, 2)
	c.Check(b.running[1].id, qt.Equals, "2")
}

func TestStepTime(t *testing.T) {
	c := qt.New(t)
	f := newFaults(1)
	b := newBatch(Config{Slots: 11, TokensPerSecond: 100, BatchSlowdown: 0.5}, f, nil)
	c.Check(b.stepTime(1), qt.Equals, 10*time.Millisecond)
	c.Check(b.stepTime(11), qt.Equals, 15*time.Millisecond)
	f.set(Fault{Kind: FaultSlow, Factor: 4})
	c.Check(b.stepTime(1), qt.Equals, 40*time.Millisecond)
	f.set(Fault{Kind: FaultClear})
	c.Check(b.stepTime(1), qt.Equals, 10*time.Millisecond)
}

func TestFaultUnmarshalText(t *testing.T) {
	c := qt.New(t)
	var f Fault
	c.Assert(f.UnmarshalText([]byte("late, delay=2s,probability=0.5,count=3,after=1m")), qt.IsNil)
	c.Check(f, qt.DeepEquals, Fault{Kind: FaultLate, Delay: 2 * time.Second, Probability: 0.5, Count: 3, After: time.Minute})
	for _, text := range []string{"", "odd", "slow", "late", "slow,factor=x", "crash,when=now"} {
		c.Check(f.UnmarshalText([]byte(text)), qt.Not(qt.IsNil), qt.Commentf("%q", text))
	}
}

func TestFaultCountAndProbability(t *testing.T) {
	c := qt.New(t)
	f := newFaults(1)
	hits := func(n int) (hit int) {
		for range n {
			if _, ok := f.trigger(FaultReset); ok {
				hit++
			}
		}
		return hit
	}
	f.set(Fault{Kind: FaultReset, Count: 2})
	c.Check(hits(9), qt.Equals, 2)
	f.set(Fault{Kind: FaultReset, Probability: 0.25})
	n := hits(1000)
	c.Check(n > 200 && n < 300, qt.IsTrue, qt.Commentf("%d", n))
}

func TestFaultResumeAndCancelRequests(t *testing.T) {
	c := qt.New(t)
	s := startServer(c, Config{})
	status, _ := send(c, "POST", s.URL()+"/fault", "overload,count=1")
	c.Check(status, qt.Equals, http.StatusNoContent)
	chat := `{"model":"m","max_tokens":2,"messages":[{"role":"user","content":[{"type":"text","text":"p"}]}]}`
	status, body := send(c, "POST", s.URL()+"/v1/chat/completions", chat)
	c.Check(status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf(body))
	status, body = send(c, "POST", s.URL()+"/v1/chat/completions", chat, endpointapi.HeaderResumeOffset, "1")
	c.Check(status, qt.Equals, http.StatusOK)
	var completion Completion
	c.Assert(json.Unmarshal([]byte(body), &completion), qt.IsNil)
	c.Check(completion.Choices[0].Message.Content, qt.Equals, answers.NewGenerator("p").ResponseText(1, 2))
	status, _ = send(c, "POST", s.URL()+"/fault", "odd")
	c.Check(status, qt.Equals, http.StatusBadRequest)
	status, _ = send(c, "DELETE", s.URL()+"/v1/requests/none", "")
	c.Check(status, qt.Equals, http.StatusNotFound)
	stats := s.Stats()
	c.Check([]int64{stats.Received, stats.Refused, stats.Completed, stats.Resumed}, qt.DeepEquals, []int64{2, 1, 1, 1})
}

func blockHashes(c *qt.C, prompt string) []string {
	r, err := chatapi.ParseChat([]byte(`{"model":"m","messages":[{"role":"user","content":"` + prompt + `"}]}`))
	c.Assert(err, qt.IsNil)
	return BlockHashes(r)
}

func TestPrefixCacheEvents(t *testing.T) {
	c := qt.New(t)
	cache := newPrefixCache(Config{CacheBlocks: 3, CacheEventGap: 4})
	prompt := strings.Repeat("word", 2*blockTokens)
	c.Check(cache.matchAndStore(blockHashes(c, prompt+"tail")), qt.Equals, 0)
	c.Check(cache.matchAndStore(blockHashes(c, prompt+"other tail")), qt.Equals, 2*blockTokens)
	c.Check(cache.matchAndStore(blockHashes(c, "x "+prompt)), qt.Equals, 0, qt.Commentf("the hash of a block covers all blocks before it"))
	c.Check(cache.usedFraction(), qt.Equals, 1.0)
	events := cache.after(0)
	c.Check(len(events.Events), qt.Equals, 4, qt.Commentf("the fourth of five events is lost"))
	c.Check(events.Next, qt.Equals, uint64(5))
	c.Check(cache.after(events.Next).Events, qt.HasLen, 0)

	other := newPrefixCache(Config{CacheBlocks: 8, CacheEventLag: time.Hour})
	other.importBlocks(cache.exportBlocks(blockHashes(c, "x "+prompt)))
	c.Check(other.matchAndStore(blockHashes(c, "x "+prompt)), qt.Equals, 2*blockTokens)
	c.Check(other.after(0).Events, qt.HasLen, 0, qt.Commentf("events are published only after CacheEventLag"))
}

func TestOrders(t *testing.T) {
	for _, test := range []struct {
		name        string
		cfg         Config
		fencing     string
		token       string
		status      int
		staleStatus int
	}{
		{"rejects old fencing numbers", Config{}, "7", "", 200, 412},
		{"ignores fencing numbers", Config{Fencing: FencingIgnore}, "7", "", 200, 200},
		{"accepts a valid token", Config{OrderToken: "t"}, "7", "t", 200, 412},
		{"rejects a wrong token", Config{OrderToken: "t"}, "7", "u", 403, 403},
		{"rejects a missing fencing number", Config{}, "", "", 400, 200},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			test.cfg.Models = []string{"m"}
			s := startServer(c, test.cfg)
			order := func(fencing string) int {
				status, _ := send(c, "POST", s.URL()+"/v1/orders", `{"kind":"load_model","model":"n"}`,
					endpointapi.HeaderFencing, fencing, "Authorization", "Bearer "+test.token)
				return status
			}
			c.Check(order(test.fencing), qt.Equals, test.status)
			c.Check(order("6"), qt.Equals, test.staleStatus)
			c.Check(s.orders.serves("n"), qt.Equals, test.status == 200 || test.staleStatus == 200)
		})
	}
}

// fakeEntry is an entry that records announcements and responds with a list of
// entries.
type fakeEntry struct {
	*httptest.Server
	mu       sync.Mutex
	received []endpointapi.Announcement
	entries  []endpointapi.Address
}

func newFakeEntry(c *qt.C, renew time.Duration) *fakeEntry {
	e := &fakeEntry{}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a endpointapi.Announcement
		_ = json.NewDecoder(r.Body).Decode(&a)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.received = append(e.received, a)
		writeJSON(w, http.StatusOK, endpointapi.AnnounceResponse{RenewAfterMS: renew.Milliseconds(), Entries: e.entries})
	}))
	c.Cleanup(e.Close)
	return e
}

func (e *fakeEntry) address() string { return e.Listener.Addr().String() }

func (e *fakeEntry) announcements() []endpointapi.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]endpointapi.Announcement(nil), e.received...)
}

// TestAnnounceRenewalAndFailover checks that the endpoint renews its announcement,
// moves to an entry from the list of a response once the first entry is gone, and
// announces that it is leaving.
func TestAnnounceRenewalAndFailover(t *testing.T) {
	c := qt.New(t)
	first, second := newFakeEntry(c, time.Millisecond), newFakeEntry(c, time.Millisecond)
	first.entries = []endpointapi.Address{{Address: "127.0.0.1:1"}, {Address: second.address()}}
	second.entries = first.entries
	s := startServer(c, Config{Announce: []string{"127.0.0.1:1", first.address()}, Service: "svc", Slots: 3})
	eventually(c, "renewal", func() bool { return len(first.announcements()) > 2 })
	a := first.announcements()[0]
	c.Check([]any{a.ID, a.Address, a.Service, a.Kind, a.Slots, a.Leaving, a.LeaseMS}, qt.DeepEquals,
		[]any{s.Addr(), s.Addr(), "svc", "engine", 3, false, int64(3000)})
	first.Close()
	eventually(c, "the endpoint announces to the second entry", func() bool { return len(second.announcements()) > 0 })
	c.Assert(s.Leave(context.Background()), qt.IsNil)
	last := second.announcements()
	c.Check(last[len(last)-1].Leaving, qt.IsTrue)
}

// TestLeaveCompletesRequestsInFlight guards against a graceful shutdown that
// truncates a response.
func TestLeaveCompletesRequestsInFlight(t *testing.T) {
	c := qt.New(t)
	s := startServer(c, Config{TokensPerSecond: 200})
	done := make(chan string, 1)
	go func() {
		_, body := send(c, "POST", s.URL()+"/v1/chat/completions", `{"max_tokens":20,"messages":[{"role":"user","content":"p"}]}`)
		done <- body
	}()
	eventually(c, "start", func() bool { running, _ := s.batch.counts(); return running == 1 })
	c.Assert(s.Leave(context.Background()), qt.IsNil)
	body := <-done
	c.Check(body, qt.Contains, answers.ResponseText("p", 20))
}

func TestDelayedLoads(t *testing.T) {
	c := qt.New(t)
	l := newDelayedLoads(100 * time.Millisecond)
	var got []int
	for ms := int64(0); ms <= 300; ms += 50 {
		got = append(got, l.add(endpointapi.Load{Running: int(ms), MeasuredAtMS: ms}).Running)
	}
	c.Check(got, qt.DeepEquals, []int{0, 0, 0, 50, 100, 150, 200})
}

// TestPlainLedger checks that the ledger records every execution of a booking, also
// when its caller received no response.
func TestPlainLedger(t *testing.T) {
	c := qt.New(t)
	s := startServer(c, Config{Kind: endpointapi.KindPlain})
	send(c, "POST", s.URL()+"/bookings", "a", "Idempotency-Key", "k")
	s.Inject(Fault{Kind: FaultReset, Count: 1})
	resp, err := httpClient.Post(s.URL()+"/bookings", "text/plain", bytes.NewReader([]byte("b")))
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	c.Check(err, qt.Not(qt.IsNil))
	_, body := send(c, "GET", s.URL()+"/ledger", "")
	c.Check(body, qt.JSONEquals, []Booking{{1, "/bookings", "k", "", "a"}, {2, "/bookings", "", "", "b"}})
	_, body = send(c, "GET", s.URL()+"/crews?day=1", "")
	c.Check(body, qt.JSONEquals, answers.Echo{Path: "/crews", Query: "day=1", Digest: answers.DigestOf("/crews?day=1")})
}

// TestCrash checks that FaultCrash closes the listener and all connections.
func TestCrash(t *testing.T) {
	c := qt.New(t)
	s := startServer(c, Config{TokensPerSecond: 10})
	failed := make(chan error, 1)
	go func() {
		resp, err := httpClient.Post(s.URL()+"/v1/chat/completions", "", strings.NewReader(`{"max_tokens":9999}`))
		if err == nil {
			_ = resp.Body.Close()
		}
		failed <- err
	}()
	eventually(c, "start", func() bool { running, _ := s.batch.counts(); return running == 1 })
	s.Inject(Fault{Kind: FaultCrash})
	c.Check(<-failed, qt.Not(qt.IsNil))
	_, err := httpClient.Get(s.URL() + "/v1/load")
	c.Check(err, qt.Not(qt.IsNil))
}

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

// longWait ends a test that hangs.
const longWait = 30 * time.Second

// httpClient opens a connection for each request, so that no goroutine of an
// idle connection outlives a test.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func start(c *qt.C, cfg Config) *Server {
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
	for end := time.Now().Add(longWait); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	c.Fatalf("did not happen: %s", what)
}

func TestLength(t *testing.T) {
	c := qt.New(t)
	c.Check(answers.Length("p", 7), qt.Equals, 7)
	c.Check(answers.Length("p "+answers.LengthMark(5), 7), qt.Equals, 5)
	c.Check(answers.Length("p "+answers.LengthMark(9), 7), qt.Equals, 7)
	c.Check(answers.Length("p", 0), qt.Equals, answers.Length("p", 0))
	c.Check(answers.Check("p", 3, answers.Answer("p", 3)), qt.IsTrue)
	c.Check(answers.Check("p", 3, answers.Answer("p", 2)), qt.IsFalse)
	c.Check(answers.Check("p", 3, answers.Answer("q", 3)), qt.IsFalse)
	c.Check(answers.CountTokens(answers.Answer("p", 9)), qt.Equals, 9)
	c.Check(answers.ScriptOf("p").Answer(0, 4)+answers.ScriptOf("p").Answer(4, 9), qt.Equals, answers.Answer("p", 9))
}

// TestWithOpenAIClient checks the API against a client of another project.
func TestWithOpenAIClient(t *testing.T) {
	c := qt.New(t)
	s := start(c, Config{Models: []string{"m"}})
	client := openai.NewClient(option.WithBaseURL(s.URL()+"/v1"), option.WithAPIKey("k"), option.WithHTTPClient(httpClient), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model: "m", MaxCompletionTokens: openai.Int(12),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("s"), openai.UserMessage("u")},
	}
	whole, err := client.Chat.Completions.New(c.Context(), params)
	c.Assert(err, qt.IsNil)
	c.Check(whole.Choices[0].Message.Content, qt.Equals, answers.Answer("s\nu", 12))
	stream := client.Chat.Completions.NewStreaming(c.Context(), params)
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		c.Check(acc.AddChunk(stream.Current()), qt.IsTrue)
	}
	c.Assert(stream.Err(), qt.IsNil)
	c.Check(acc.Choices[0].Message.Content, qt.Equals, answers.Answer("s\nu", 12))
	c.Check(acc.Choices[0].FinishReason, qt.Equals, "stop")
	_, err = client.Models.Get(c.Context(), "m")
	c.Check(err, qt.ErrorMatches, ".*404.*", qt.Commentf("single models are not served"))
	params.Model = "other"
	_, err = client.Chat.Completions.New(c.Context(), params)
	var refused *openai.Error
	c.Assert(errors.As(err, &refused), qt.IsTrue)
	c.Check(refused.Code, qt.Equals, "model_not_found")
}

// TestBatchOrder checks that free slots go to waiting requests by priority and
// arrival, and that a full queue refuses.
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
	all[1].prefill = 15
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

func TestFaultText(t *testing.T) {
	c := qt.New(t)
	var f Fault
	c.Assert(f.UnmarshalText([]byte("late, delay=2s,probability=0.5,count=3,after=1m")), qt.IsNil)
	c.Check(f, qt.DeepEquals, Fault{Kind: FaultLate, Delay: 2 * time.Second, Probability: 0.5, Count: 3, After: time.Minute})
	for _, text := range []string{"", "odd", "slow", "late", "slow,factor=x", "crash,when=now"} {
		c.Check(f.UnmarshalText([]byte(text)), qt.Not(qt.IsNil), qt.Commentf("%q", text))
	}
}

func TestFaultChoosesRequests(t *testing.T) {
	c := qt.New(t)
	f := newFaults(1)
	hits := func(n int) (hit int) {
		for range n {
			if _, ok := f.draw(FaultReset); ok {
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

func TestControlCalls(t *testing.T) {
	c := qt.New(t)
	s := start(c, Config{})
	status, _ := send(c, "POST", s.URL()+"/fault", "overload,count=1")
	c.Check(status, qt.Equals, http.StatusNoContent)
	chat := `{"model":"m","max_tokens":2,"messages":[{"role":"user","content":[{"type":"text","text":"p"}]}]}`
	status, body := send(c, "POST", s.URL()+"/v1/chat/completions", chat)
	c.Check(status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf(body))
	status, body = send(c, "POST", s.URL()+"/v1/chat/completions", chat, endpointapi.HeaderResumeOffset, "1")
	c.Check(status, qt.Equals, http.StatusOK)
	var whole Completion
	c.Assert(json.Unmarshal([]byte(body), &whole), qt.IsNil)
	c.Check(whole.Choices[0].Message.Content, qt.Equals, answers.ScriptOf("p").Answer(1, 2))
	status, _ = send(c, "POST", s.URL()+"/fault", "odd")
	c.Check(status, qt.Equals, http.StatusBadRequest)
	status, _ = send(c, "DELETE", s.URL()+"/v1/requests/none", "")
	c.Check(status, qt.Equals, http.StatusNotFound)
	stats := s.Stats()
	c.Check([]int64{stats.Received, stats.Refused, stats.Completed, stats.Resumed}, qt.DeepEquals, []int64{2, 1, 1, 1})
}

func blocks(c *qt.C, prompt string) []string {
	r, err := chatapi.ParseChat([]byte(`{"model":"m","messages":[{"role":"user","content":"` + prompt + `"}]}`))
	c.Assert(err, qt.IsNil)
	return BlocksOf(r)
}

func TestCacheAndEvents(t *testing.T) {
	c := qt.New(t)
	cache := newPrefixCache(Config{CacheBlocks: 3, CacheEventGap: 4})
	prompt := strings.Repeat("word", 2*blockTokens)
	c.Check(cache.touch(blocks(c, prompt+"tail")), qt.Equals, 0)
	c.Check(cache.touch(blocks(c, prompt+"other tail")), qt.Equals, 2*blockTokens)
	c.Check(cache.touch(blocks(c, "x "+prompt)), qt.Equals, 0, qt.Commentf("blocks cover all that is before them"))
	c.Check(cache.used(), qt.Equals, 1.0)
	events := cache.after(0)
	c.Check(len(events.Events), qt.Equals, 4, qt.Commentf("five events, the fourth is lost"))
	c.Check(events.Next, qt.Equals, uint64(5))
	c.Check(cache.after(events.Next).Events, qt.HasLen, 0)

	other := newPrefixCache(Config{CacheBlocks: 8, CacheEventLag: time.Hour})
	other.load(cache.export(blocks(c, "x "+prompt)))
	c.Check(other.touch(blocks(c, "x "+prompt)), qt.Equals, 2*blockTokens)
	c.Check(other.after(0).Events, qt.HasLen, 0, qt.Commentf("events are published late"))
}

func TestOrders(t *testing.T) {
	for _, test := range []struct {
		name          string
		cfg           Config
		fencing       string
		token         string
		status        int
		statusOfStale int
	}{
		{"refuses old numbers", Config{}, "7", "", 200, 412},
		{"ignores numbers", Config{Fencing: FencingIgnore}, "7", "", 200, 200},
		{"checks the token", Config{OrderToken: "t"}, "7", "t", 200, 412},
		{"wrong token", Config{OrderToken: "t"}, "7", "u", 403, 403},
		{"no number", Config{}, "", "", 400, 200},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			test.cfg.Models = []string{"m"}
			s := start(c, test.cfg)
			order := func(fencing string) int {
				status, _ := send(c, "POST", s.URL()+"/v1/orders", `{"kind":"load_model","model":"n"}`,
					endpointapi.HeaderFencing, fencing, "Authorization", "Bearer "+test.token)
				return status
			}
			c.Check(order(test.fencing), qt.Equals, test.status)
			c.Check(order("6"), qt.Equals, test.statusOfStale)
			c.Check(s.orders.serves("n"), qt.Equals, test.status == 200 || test.statusOfStale == 200)
		})
	}
}

// entry records announcements and answers with a list of entries.
type entry struct {
	*httptest.Server
	mu   sync.Mutex
	seen []endpointapi.Announcement
	list []endpointapi.Address
}

func newEntry(c *qt.C, renew time.Duration) *entry {
	e := &entry{}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a endpointapi.Announcement
		_ = json.NewDecoder(r.Body).Decode(&a)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.seen = append(e.seen, a)
		writeJSON(w, http.StatusOK, endpointapi.AnnounceReply{RenewAfterMS: renew.Milliseconds(), Entries: e.list})
	}))
	c.Cleanup(e.Close)
	return e
}

func (e *entry) address() string { return e.Listener.Addr().String() }

func (e *entry) announcements() []endpointapi.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]endpointapi.Announcement(nil), e.seen...)
}

// TestAnnounce checks renewal, the change to an entry learned from an answer
// once the first one is gone, and the announcement of leaving.
func TestAnnounce(t *testing.T) {
	c := qt.New(t)
	first, second := newEntry(c, time.Millisecond), newEntry(c, time.Millisecond)
	first.list = []endpointapi.Address{{Address: "127.0.0.1:1"}, {Address: second.address()}}
	second.list = first.list
	s := start(c, Config{Announce: []string{"127.0.0.1:1", first.address()}, Service: "svc", Slots: 3})
	eventually(c, "renewal", func() bool { return len(first.announcements()) > 2 })
	a := first.announcements()[0]
	c.Check([]any{a.ID, a.Address, a.Service, a.Kind, a.Slots, a.Leaving, a.LeaseMS}, qt.DeepEquals,
		[]any{s.Addr(), s.Addr(), "svc", "engine", 3, false, int64(3000)})
	first.Close()
	eventually(c, "change to the other entry", func() bool { return len(second.announcements()) > 0 })
	c.Assert(s.Leave(context.Background()), qt.IsNil)
	last := second.announcements()
	c.Check(last[len(last)-1].Leaving, qt.IsTrue)
}

// TestLeaveFinishesWork guards against a graceful end that cuts an answer.
func TestLeaveFinishesWork(t *testing.T) {
	c := qt.New(t)
	s := start(c, Config{TokensPerSecond: 200})
	done := make(chan string, 1)
	go func() {
		_, body := send(c, "POST", s.URL()+"/v1/chat/completions", `{"max_tokens":20,"messages":[{"role":"user","content":"p"}]}`)
		done <- body
	}()
	eventually(c, "start", func() bool { running, _ := s.batch.counts(); return running == 1 })
	c.Assert(s.Leave(context.Background()), qt.IsNil)
	body := <-done
	c.Check(body, qt.Contains, answers.Answer("p", 20))
}

func TestLaggedLoad(t *testing.T) {
	c := qt.New(t)
	l := newLagged(100 * time.Millisecond)
	var got []int
	for ms := int64(0); ms <= 300; ms += 50 {
		got = append(got, l.add(endpointapi.Load{Running: int(ms), MeasuredAtMS: ms}).Running)
	}
	c.Check(got, qt.DeepEquals, []int{0, 0, 0, 50, 100, 150, 200})
}

// TestPlainLedger checks that the ledger counts runs, also of a booking whose
// caller got no answer.
func TestPlainLedger(t *testing.T) {
	c := qt.New(t)
	s := start(c, Config{Kind: endpointapi.KindPlain})
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

// TestCrash checks that a crash ends the listener and all connections.
func TestCrash(t *testing.T) {
	c := qt.New(t)
	s := start(c, Config{TokensPerSecond: 10})
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

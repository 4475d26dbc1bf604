package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"auburnstep.example/auburnstep/internal/answers"
	"auburnstep.example/auburnstep/internal/endpointapi"
	"auburnstep.example/auburnstep/internal/fakeengine"
	"auburnstep.example/auburnstep/internal/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// entryStub forwards to fake endpoints, as an entry does. It runs a booking once for
// each key unless runDuplicates is set.
type entryStub struct {
	*httptest.Server
	engine, plain *fakeengine.Server
	runDuplicates bool
	// skipRuns confirms bookings without running them.
	skipRuns bool
	// reportNotRun runs bookings and returns the verdict not-run.
	reportNotRun bool

	mu      sync.Mutex
	answers map[string][]byte // by booking key
}

func newEntryStub(c *qt.C) *entryStub {
	e := &entryStub{answers: make(map[string][]byte)}
	var err error
	e.engine, err = fakeengine.Start(fakeengine.Config{QueueMax: 10000})
	c.Assert(err, qt.IsNil)
	c.Cleanup(e.engine.Close)
	e.plain, err = fakeengine.Start(fakeengine.Config{Kind: endpointapi.KindPlain})
	c.Assert(err, qt.IsNil)
	c.Cleanup(e.plain.Close)
	e.Server = httptest.NewServer(http.HandlerFunc(e.serve))
	c.Cleanup(e.Server.Close)
	return e
}

func (e *entryStub) address() string { return e.Listener.Addr().String() }

func (e *entryStub) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/entries":
		fmt.Fprintf(w, `{"entries":[{"address":"127.0.0.1:1","weight":1},{"address":%q,"weight":1}],"keep_seconds":60}`, e.address())
	case r.Header.Get("Authorization") != "Bearer k" || r.Header.Get("X-Auburnstep-Class") == "":
		w.WriteHeader(http.StatusUnauthorized)
	case r.Header.Get("Idempotency-Key") != "":
		e.serveBooking(w, r)
	case r.URL.Path == "/v1/chat/completions":
		forward(w, r, e.engine.URL()+r.URL.Path)
	default:
		forward(w, r, e.plain.URL()+strings.TrimPrefix(r.URL.RequestURI(), "/services/rota-app"))
	}
}

func (e *entryStub) serveBooking(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get("Idempotency-Key")
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.skipRuns {
		_, body := readBody(r)
		_ = json.NewEncoder(w).Encode(answers.Echo{Digest: answers.DigestOf(body)})
		return
	}
	if stored, ok := e.answers[key]; ok && !e.runDuplicates {
		_, _ = w.Write(stored)
		return
	}
	recorder := httptest.NewRecorder()
	forward(recorder, r, e.plain.URL()+"/bookings")
	e.answers[key] = recorder.Body.Bytes()
	if e.reportNotRun {
		w.Header().Set(verdict.Header, verdict.NotRun.String())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(recorder.Body.Bytes())
}

func readBody(r *http.Request) (int, string) {
	body, _ := io.ReadAll(r.Body)
	return len(body), string(body)
}

func forward(w http.ResponseWriter, r *http.Request, url string) {
	req, _ := http.NewRequestWithContext(r.Context(), r.Method, url, r.Body)
	req.Close = true
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func stubOptions(e *entryStub) Options {
	return Options{
		Instances: []string{"127.0.0.1:1", e.address()}, Profile: "cerapulita", Keys: []string{"k"}, Seed: 7, Rate: 1000,
		Duration: 200 * time.Millisecond, Timeout: 30 * time.Second, MaxInFlight: 10000, TokenScale: 0.2,
		Ledgers: []string{e.plain.Addr()},
	}
}

// TestRunWithoutFaults checks that a run in which one entry of the list is
// unreachable sends every request, gets complete responses and reports no fault.
func TestRunWithoutFaults(t *testing.T) {
	c := qt.New(t)
	e := newEntryStub(c)
	o := stubOptions(e)
	profile, err := o.profile()
	c.Assert(err, qt.IsNil)
	arrivals, err := planArrivals(profile, o)
	c.Assert(err, qt.IsNil)
	report, err := Run(context.Background(), o)
	c.Assert(err, qt.IsNil)
	complete := 0
	for _, row := range report.Classes {
		c.Check(row.Sent, qt.Equals, row.Complete, qt.Commentf("%+v", row))
		complete += row.Complete
	}
	c.Check(complete, qt.Equals, len(arrivals)+report.Bookings.Bookings)
	c.Check(report.Bookings.Confirmed, qt.Equals, report.Bookings.Bookings)
	c.Check(report.Bookings.LedgersRead, qt.IsTrue)
	c.Check(report.Failed(), qt.IsFalse)
	var out bytes.Buffer
	c.Assert(report.WriteTable(&out), qt.IsNil)
	c.Check(out.String(), qt.Contains, "crew-chat")
	c.Check(out.String(), qt.Contains, "doubled 0, lost 0")
}

// TestRunDetectsFaults guards against a load tool that misses duplicated or lost
// bookings, mismatched responses or failures. Each case injects one such fault.
func TestRunDetectsFaults(t *testing.T) {
	for _, test := range []struct {
		name  string
		setup func(*entryStub)
		count func(*Report) int
	}{
		{"doubled", func(e *entryStub) { e.runDuplicates = true }, func(r *Report) int { return r.Bookings.Duplicated }},
		{"lost", func(e *entryStub) { e.skipRuns = true }, func(r *Report) int { return r.Bookings.Lost }},
		{"run despite its not-run verdict", func(e *entryStub) { e.reportNotRun, e.runDuplicates = true, true }, func(r *Report) int { return r.Bookings.RanDespiteNotRun }},
		{"crossed", func(e *entryStub) { e.engine.Inject(fakeengine.Fault{Kind: fakeengine.FaultCrossed}) }, func(r *Report) int { return r.Classes[1].Wrong }},
		{"truncated lookup", func(e *entryStub) { e.plain.Inject(fakeengine.Fault{Kind: fakeengine.FaultTruncated}) }, func(r *Report) int { return r.Classes[2].NoVerdict }},
		{"cut", func(e *entryStub) { e.engine.Inject(fakeengine.Fault{Kind: fakeengine.FaultReset}) }, func(r *Report) int { return r.Classes[1].NoVerdict }},
		{"refused", func(e *entryStub) { e.engine.Inject(fakeengine.Fault{Kind: fakeengine.FaultOverload}) }, func(r *Report) int { return r.Classes[1].NotRun }},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			e := newEntryStub(c)
			test.setup(e)
			report, err := Run(context.Background(), stubOptions(e))
			c.Assert(err, qt.IsNil)
			c.Check(test.count(report) > 0, qt.IsTrue, qt.Commentf("%+v", report))
		})
	}
}

// TestRunFailsWithoutEntries guards against a run that passes because it could not
// send any request.
func TestRunFailsWithoutEntries(t *testing.T) {
	c := qt.New(t)
	o := stubOptions(newEntryStub(c))
	o.Instances = []string{"127.0.0.1:1"}
	_, err := Run(context.Background(), o)
	c.Check(err, qt.ErrorMatches, "load: none of .* requests could be sent to an entry")
}

// TestStreamOutcome checks that a stream counts as complete only with the expected
// text, one ID, a finish reason and the [DONE] event.
func TestStreamOutcome(t *testing.T) {
	token := func(id, text string) string {
		return fmt.Sprintf("data: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", id, text)
	}
	finish := "data: {\"id\":\"r\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
	done := "data: [DONE]\n\n"
	for _, test := range []struct {
		name, body string
		want       Outcome
	}{
		{"whole", token("r", "a ") + token("r", "b ") + finish + done, Complete},
		{"escaped text", token("r", "a ") + strings.Replace(token("r", "b "), "b ", `\u0062 `, 1) + finish + done, Complete},
		{"other text", token("r", "a ") + token("r", "c ") + finish + done, Wrong},
		{"other id", token("r", "a ") + token("q", "b ") + finish + done, Wrong},
		{"short but ended", token("r", "a ") + finish + done, Wrong},
		{"no finish reason", token("r", "a ") + token("r", "b ") + done, Wrong},
		{"cut", token("r", "a "), NoVerdict},
		{"truncated within an event", token("r", "a ") + "data: {\"id\"", NoVerdict},
		{"other text, then truncated", token("r", "c "), Wrong},
		{"error event", token("r", "a ") + "data: {\"error\":{\"verdict\":\"may-have-run\"}}\n\n", MayHaveRun},
		{"repeated token", token("r", "a ") + token("r", "a ") + token("r", "b ") + finish + done, Wrong},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.New(t).Check(readStream(strings.NewReader(test.body), time.Now()).classify("a b "), qt.Equals, test.want)
		})
	}
}

// TestPlanArrivals checks that a seed always gives the same arrivals, at the
// configured rate and with the configured burst.
func TestPlanArrivals(t *testing.T) {
	c := qt.New(t)
	profile, err := NewProfile("pedra-lisa")
	c.Assert(err, qt.IsNil)
	o := Options{Seed: 3, Rate: 100, Duration: 100 * time.Second, Keys: []string{"a", "b"}}
	first, err := planArrivals(profile, o)
	c.Assert(err, qt.IsNil)
	second, err := planArrivals(profile, o)
	c.Assert(err, qt.IsNil)
	c.Check(len(first) == len(second) && first[17] == second[17], qt.IsTrue)
	// 10,000 arrivals are expected. The bounds are five standard deviations away.
	c.Check(len(first) > 9500 && len(first) < 10500, qt.IsTrue, qt.Commentf("%d", len(first)))

	o.Bursts = []Burst{{Class: "stock", Start: 10 * time.Second, Length: 10 * time.Second, Factor: 10}}
	withBurst, err := planArrivals(profile, o)
	c.Assert(err, qt.IsNil)
	inBurst := 0
	for _, a := range withBurst {
		if a.class.Name == "stock" && a.at >= 10*time.Second && a.at < 20*time.Second {
			inBurst++
		}
	}
	c.Check(inBurst > 3200 && inBurst < 3800, qt.IsTrue, qt.Commentf("%d arrivals in the burst, expected about 3500", inBurst))
	o.Bursts[0].Class = "none"
	_, err = planArrivals(profile, o)
	c.Check(err, qt.ErrorMatches, `load: profile pedra-lisa has no class "none"`)
}

func TestBench(t *testing.T) {
	c := qt.New(t)
	e := newEntryStub(c)
	report, err := Bench(context.Background(), BenchOptions{
		Entry: e.address(), Direct: e.engine.Addr(), Key: "k", Class: "crew-chat", Model: "m",
		Streams: []int{1, 4}, Rounds: 2, Slice: 20 * time.Millisecond, Tokens: 8,
	})
	c.Assert(err, qt.IsNil)
	c.Assert(report.Rows, qt.HasLen, 2)
	c.Check(report.Failed(), qt.IsFalse)
	c.Check(report.Rows[1].Routed.Responses > 0 && report.Rows[1].Direct.Responses > 0, qt.IsTrue)
	var out bytes.Buffer
	c.Assert(report.WriteTable(&out), qt.IsNil)
	c.Check(out.String(), qt.Contains, "throughput ratio")
}

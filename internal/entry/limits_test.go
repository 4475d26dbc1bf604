package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/entry"
	"auburnstep.example/auburnstep/internal/fakeengine"
	"auburnstep.example/auburnstep/internal/testkit"
)

// sendHead sends the head of a request with a body, but not the body, and returns the
// head of the server's response.
func sendHead(t *testing.T, b *testkit.Testbed, path string, length int) (status string, header http.Header) {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(b.URL, "http://"))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { c.Close() })
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", path, customerKey, length)
	qt.Assert(t, err, qt.IsNil)
	in := textproto.NewReader(bufio.NewReader(c))
	status, err = in.ReadLine()
	qt.Assert(t, err, qt.IsNil)
	fields, err := in.ReadMIMEHeader()
	qt.Assert(t, err, qt.IsNil)
	return status, http.Header(fields)
}

// TestEntryOverload guards against bodies that are read without a reservation, and against
// a lower tier that uses up the capacity of a higher tier.
func TestEntryOverload(t *testing.T) {
	for _, test := range []struct {
		name    string
		change  func(*entry.Options)
		body    int
		wantFit int // requests of the lowest tier that fit
	}{
		{"bytes", func(o *entry.Options) { o.BodyMemory = 8 << 10 }, 3000, 1},
		{"requests", func(o *entry.Options) { o.MaxRequests = 8 }, 100, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := testkit.Start(t, declarations, test.change)
			p := b.StartEndpoint(t, plainServiceConfig())
			for range test.wantFit {
				status, _ := sendHead(t, b, "/v1/chat/completions", test.body)
				qt.Assert(t, status, qt.Equals, "HTTP/1.1 100 Continue")
			}
			status, header := sendHead(t, b, "/v1/chat/completions", test.body)
			qt.Check(t, status, qt.Equals, "HTTP/1.1 503 Service Unavailable")
			qt.Check(t, header.Get("X-Auburnstep-Verdict"), qt.Equals, "not-run")
			qt.Check(t, header.Get("Retry-After"), qt.Equals, "1")
			res, text := call{path: "/services/rota-app/x", body: strings.Repeat("a", test.body),
				header: map[string]string{"X-Auburnstep-Class": "lookup"}}.send(t, b)
			qt.Check(t, res.StatusCode < 300, qt.IsTrue, qt.Commentf("%s", text))
			qt.Check(t, p.Stats().Received, qt.Equals, int64(1))
		})
	}
}

// TestRefusedRequestWithoutBody guards against a refused request that keeps its connection
// open forever: net/http waits for the body before it sends the response.
func TestRefusedRequestWithoutBody(t *testing.T) {
	b := testkit.Start(t, declarations)
	b.Entry.SetBodyTimeout(50 * time.Millisecond)
	c, err := net.Dial("tcp", strings.TrimPrefix(b.URL, "http://"))
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = fmt.Fprint(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	status, err := bufio.NewReader(c).ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, status, qt.Equals, "HTTP/1.1 401 Unauthorized\r\n")
}

// TestRetryWithoutTime guards against a retry that cannot deliver its first token before
// the deadline and so wastes tokens. It also guards against a retry that is skipped
// although the history is too short or has a sample that fits into the time left.
func TestRetryWithoutTime(t *testing.T) {
	for _, test := range []struct {
		name    string
		history []time.Duration
		status  int
	}{
		{"all slower", []time.Duration{time.Hour, time.Hour, time.Hour, time.Hour}, 502},
		{"one quicker", []time.Duration{time.Hour, time.Millisecond, time.Hour, time.Hour}, 200},
		{"few", []time.Duration{time.Hour, time.Hour, time.Hour}, 200},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := testkit.Start(t, declarations)
			first := b.StartEndpoint(t, engineConfig())
			first.Inject(fakeengine.Fault{Kind: fakeengine.FaultReset, Count: 1})
			b.Entry.SeedFirstTokenHistory("auburn-pool", "crew-chat", test.history...)
			status := make(chan int)
			go func() {
				res, _ := call{path: "/v1/chat/completions", body: chatBody("polish", `,"max_tokens":3`)}.send(t, b)
				status <- res.StatusCode
			}()
			for first.Stats().Received == 0 {
				time.Sleep(time.Millisecond)
			}
			b.StartEndpoint(t, engineConfig())
			qt.Check(t, <-status, qt.Equals, test.status)
		})
	}
}

// TestCallerTimeout guards against a response that continues after the caller's timeout,
// and against a timeout above the deadline of the class that fails the request.
func TestCallerTimeout(t *testing.T) {
	b := testkit.Start(t, declarations)
	b.StartEndpoint(t, fakeengine.Config{Service: "auburn-pool", Models: []string{"wax-1"}, Slots: 2, TokensPerSecond: 50})
	res, text := call{path: "/v1/chat/completions", body: chatBody("long", `,"max_tokens":2000`),
		header: map[string]string{"X-Auburnstep-Timeout-Ms": "300"}}.send(t, b)
	qt.Check(t, res.StatusCode, qt.Equals, 504)
	qt.Check(t, text, qt.Contains, "deadline_exceeded")
	res, _ = call{path: "/v1/chat/completions", body: chatBody("short", `,"max_tokens":2`),
		header: map[string]string{"X-Auburnstep-Timeout-Ms": "99999999999999"}}.send(t, b)
	qt.Check(t, res.StatusCode, qt.Equals, 200)
}

// TestEndpointTokens guards against endpoints that are refused although they have one of
// the tokens, and against endpoints that are accepted without a token.
func TestEndpointTokens(t *testing.T) {
	b := testkit.Start(t, declarations, func(o *entry.Options) { o.EndpointTokens = []string{"new", "old"} })
	res, text := call{path: "/endpoints/v1/announce", body: "{}"}.send(t, b)
	qt.Check(t, res.StatusCode, qt.Equals, 401, qt.Commentf("%s", text))
	c := plainServiceConfig()
	c.AnnounceToken = "old"
	b.StartEndpoint(t, c)
	res, text = bookingRequest("k1", "statue 7").send(t, b)
	qt.Check(t, res.StatusCode < 300, qt.IsTrue, qt.Commentf("%s", text))
}

// TestOddAnnouncementIsTaken guards against an announcement with a number out of range, or
// nested so deeply that it cannot be read, that adds an endpoint or disturbs the others.
func TestOddAnnouncementIsTaken(t *testing.T) {
	b := testkit.Start(t, declarations)
	b.StartEndpoint(t, plainServiceConfig())
	const announcement = `{"id":"odd","incarnation":1,"service":"rota-app","kind":"plain","address":"127.0.0.1:1","slots":1,"tokens_per_second":5,` +
		`"load":{"running":1,"waiting":0,"kv_used":0}}`
	for _, c := range []struct{ name, from, to string }{
		{"port out of range", ":1\"", ":65536\""}, {"port 0", ":1\"", ":0\""}, {"port by name", ":1\"", ":http\""}, {"negative port", ":1\"", ":-1\""},
		{"pace too large", `second":5`, `second":1e300`}, {"pace without end", `second":5`, `second":1e999`}, {"negative pace", `second":5`, `second":-5`},
		{"load too large", `running":1`, `running":9000000000000`}, {"cache use too large", `kv_used":0`, `kv_used":1e300`},
		{"slots too large", `slots":1`, `slots":99999999999999999999`}, {"incarnation too large", `incarnation":1`, `incarnation":99999999999999999999999`},
		{"deeply nested", `"slots"`, `"x":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `,"slots"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			body := strings.Replace(announcement, c.from, c.to, 1)
			qt.Assert(t, body, qt.Not(qt.Equals), announcement)
			res, text := call{path: "/endpoints/v1/announce", body: body}.send(t, b)
			qt.Check(t, res.StatusCode, qt.Equals, 400, qt.Commentf("%s", text))
		})
	}
	for i := range 4 {
		res, text := bookingRequest("k"+strconv.Itoa(i), "statue 7").send(t, b)
		qt.Check(t, res.StatusCode < 300, qt.IsTrue, qt.Commentf("%s", text))
	}
	res, text := call{path: "/endpoints/v1/announce", body: announcement}.send(t, b)
	qt.Check(t, res.StatusCode, qt.Equals, 200, qt.Commentf("%s", text)) // The original is valid.
}

// TestUsage guards against requests and tokens that are counted twice, under the wrong
// outcome, or for the wrong customer.
func TestUsage(t *testing.T) {
	b := testkit.Start(t, declarations)
	b.StartEndpoint(t, engineConfig())
	b.StartEndpoint(t, plainServiceConfig())
	chat := call{path: "/v1/chat/completions", body: chatBody("wax the lion", `,"max_tokens":5`)}
	chat.send(t, b)
	bookingRequest("k1", "statue 7").send(t, b)
	bookingRequest("k1", "statue 7").send(t, b)
	bookingRequest("k1", "statue 8").send(t, b)
	chat.header = map[string]string{"Authorization": "Bearer other-key", "X-Auburnstep-Class": "gold"}
	chat.send(t, b)
	chat.header["X-Auburnstep-Class"] = ""
	chat.header["X-Auburnstep-Timeout-Ms"] = "250"
	chat.body = chatBody("wax the lion", `,"max_tokens":2000`)
	chat.send(t, b)
	rows := b.Entry.Usage("")
	qt.Assert(t, rows, qt.HasLen, 4)
	wasted := rows[1].WastedTokens
	qt.Check(t, wasted > 0, qt.IsTrue)
	qt.Check(t, rows, qt.DeepEquals, []entry.Usage{
		{Customer: "asti", Service: "auburn-pool", NotRun: 1},
		{Customer: "asti", Service: "auburn-pool", Class: "crew-chat", MayHaveRun: 1, PromptTokens: 4, WastedTokens: wasted},
		{Customer: "torino", Service: "auburn-pool", Class: "crew-chat", Answered: 1, PromptTokens: 4, DeliveredTokens: 5},
		{Customer: "torino", Service: "rota-app", Class: "booking", Answered: 1, Replayed: 1, NotRun: 1},
	})
}

package router

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/verdict"
)

// Headers of the product's own protocol.
const (
	nativeRequest  = "X-Request-Id"
	nativeEndpoint = "X-Auburnstep-Endpoint"
	nativeCustomer = "X-Auburnstep-Customer"
	nativeWaitMs   = "X-Auburnstep-Wait-Ms"
	nativeRank     = "X-Priority"
	nativeLoad     = "X-Auburnstep-Load"
	nativePrompt   = "X-Auburnstep-Prompt"
	nativeFetch    = "X-Auburnstep-Fetch-From"
	nativeResume   = "Last-Event-Id"
)

// NativeCodec is the product's own protocol: the customer's key is a bearer
// token, endpoints echo X-Request-Id, and an answer that was not made by running
// the request carries the verdict not-run.
type NativeCodec struct{}

// Decode implements Codec.
func (NativeCodec) Decode(r *http.Request) (Call, error) {
	c := Call{ID: r.Header.Get(nativeRequest), LastEvent: r.Header.Get(nativeResume), Header: r.Header.Clone()}
	c.Key, _ = strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if v := r.Header.Get(nativeWaitMs); v != "" {
		ms, err := strconv.ParseUint(v, 10, 32)
		if err != nil {
			return c, errBadHeader(nativeWaitMs, v)
		}
		c.Patience = time.Duration(ms) * time.Millisecond
	}
	// "TOKENS,OUTPUT id:tokens id:tokens".
	for i, field := range strings.Fields(r.Header.Get(nativePrompt)) {
		a, b, _ := strings.Cut(field, map[bool]string{true: ",", false: ":"}[i == 0])
		n, err := strconv.ParseUint(b, 10, 24)
		if err != nil {
			return c, errBadHeader(nativePrompt, field)
		}
		if i > 0 {
			c.Prompt.Parts = append(c.Prompt.Parts, dispatch.Part{ID: a, Tokens: int(n)})
			continue
		}
		tokens, err := strconv.ParseUint(a, 10, 24)
		if err != nil {
			return c, errBadHeader(nativePrompt, field)
		}
		c.Prompt.Tokens, c.Prompt.Output = int(tokens), int(n)
	}
	StripHopByHop(c.Header)
	for _, name := range []string{"Authorization", nativeWaitMs, nativeEndpoint, nativeCustomer, nativeRank, nativeFetch} {
		c.Header.Del(name)
	}
	return c, nil
}

// Encode implements Codec.
func (NativeCodec) Encode(c *Call, s Send) http.Header {
	h := c.Header.Clone()
	h.Set(nativeEndpoint, s.Endpoint)
	h.Set(nativeWaitMs, strconv.FormatInt(max(1, s.Left.Milliseconds()), 10))
	h.Set(nativeRank, strconv.Itoa(s.Rank))
	for name, value := range map[string]string{nativeCustomer: s.Customer, nativeResume: s.LastEvent, nativeFetch: s.FetchFrom} {
		if value != "" {
			h.Set(name, value)
		}
	}
	return h
}

// Answer implements Codec.
func (NativeCodec) Answer(r *http.Response) Answer {
	notRun := verdict.Parse(r.Header.Get(verdict.Header)) == verdict.NotRun
	a := Answer{
		RequestID: r.Header.Get(nativeRequest), NotRun: notRun, Replaced: r.StatusCode == http.StatusMisdirectedRequest,
	}
	a.Genuine = a.RequestID != "" && !notRun
	fields := strings.Split(r.Header.Get(nativeLoad), ",")
	if len(fields) != 3 {
		return a
	}
	var report dispatch.Report
	for i, to := range []*int{&report.Running, &report.Waiting, &report.Slots} {
		n, err := strconv.ParseUint(fields[i], 10, 24)
		if err != nil {
			return a
		}
		*to = int(n)
	}
	a.Load = &report
	return a
}

func errBadHeader(name, value string) error {
	return Error.New("the header %s has the value %q", name, value)
}

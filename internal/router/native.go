package router

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/verdict"
)

// Headers of the native protocol.
const (
	nativeRequestID = "X-Request-Id"
	nativeEndpoint  = "X-Auburnstep-Endpoint"
	nativeCustomer  = "X-Auburnstep-Customer"
	nativeWaitMs    = "X-Auburnstep-Wait-Ms"
	nativeRank      = "X-Priority"
	nativeLoad      = "X-Auburnstep-Load"
	nativeLimit     = "X-Auburnstep-Limit"
	nativeLeaving   = "X-Auburnstep-Leaving"
	nativePrompt    = "X-Auburnstep-Prompt"
	nativeFetchFrom = "X-Auburnstep-Fetch-From"
	nativeLastEvent = "Last-Event-Id"
)

// NativeCodec implements the native protocol: the customer's key is a bearer
// token, endpoints echo X-Request-Id, and a response that was made without running
// the request carries the verdict not-run.
type NativeCodec struct{}

// DecodeRequest implements Codec.
func (NativeCodec) DecodeRequest(r *http.Request) (Call, error) {
	c := Call{ID: r.Header.Get(nativeRequestID), LastEvent: r.Header.Get(nativeLastEvent), Header: r.Header.Clone()}
	c.Key, _ = strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if v := r.Header.Get(nativeWaitMs); v != "" {
		ms, err := strconv.ParseUint(v, 10, 32)
		if err != nil {
			return c, errBadHeader(nativeWaitMs, v)
		}
		c.MaxWait = time.Duration(ms) * time.Millisecond
	}
	// The format is "TOKENS,OUTPUT ID:TOKENS ID:TOKENS...".
	for i, field := range strings.Fields(r.Header.Get(nativePrompt)) {
		first, second, _ := strings.Cut(field, map[bool]string{true: ",", false: ":"}[i == 0])
		n, err := strconv.ParseUint(second, 10, 24)
		if err != nil {
			return c, errBadHeader(nativePrompt, field)
		}
		if i > 0 {
			c.Prompt.Parts = append(c.Prompt.Parts, dispatch.Part{ID: first, Tokens: int(n)})
			continue
		}
		tokens, err := strconv.ParseUint(first, 10, 24)
		if err != nil {
			return c, errBadHeader(nativePrompt, field)
		}
		c.Prompt.Tokens, c.Prompt.Output = int(tokens), int(n)
	}
	StripHopByHop(c.Header)
	for _, name := range []string{"Authorization", nativeWaitMs, nativeEndpoint, nativeCustomer, nativeRank, nativeFetchFrom} {
		c.Header.Del(name)
	}
	return c, nil
}

// EncodeAttempt implements Codec.
func (NativeCodec) EncodeAttempt(c *Call, s Attempt) http.Header {
	h := c.Header.Clone()
	h.Set(nativeEndpoint, s.Endpoint)
	h.Set(nativeWaitMs, strconv.FormatInt(max(1, s.TimeLeft.Milliseconds()), 10))
	h.Set(nativeRank, strconv.Itoa(s.Rank))
	for name, value := range map[string]string{nativeCustomer: s.Customer, nativeLastEvent: s.LastEvent, nativeFetchFrom: s.FetchFrom} {
		if value != "" {
			h.Set(name, value)
		}
	}
	return h
}

// ResponseHead implements Codec.
func (NativeCodec) ResponseHead(r *http.Response) ResponseHead {
	notRun := verdict.Parse(r.Header.Get(verdict.Header)) == verdict.NotRun
	head := ResponseHead{
		RequestID: r.Header.Get(nativeRequestID), NotRun: notRun, Replaced: r.StatusCode == http.StatusMisdirectedRequest,
	}
	head.Executed = head.RequestID != "" && !notRun
	head.Limit = DecodeLimit(r.Header.Get(nativeLimit))
	head.Leaving = r.Header.Get(nativeLeaving) == "1"
	head.Pause = DecodePause(r)
	head.Endpoint = r.Header.Get(nativeEndpoint)
	head.Load = DecodeLoad(r.Header.Get(nativeLoad))
	return head
}

// DecodeLoad decodes a load header, "RUNNING,WAITING,SLOTS" or "RUNNING,WAITING,SLOTS,PACE"
// with the pace in percent. It returns nil for anything else.
func DecodeLoad(v string) *dispatch.Report {
	fields := strings.Split(v, ",")
	if len(fields) != 3 && len(fields) != 4 {
		return nil
	}
	report := &dispatch.Report{}
	for i, to := range []*int{&report.Running, &report.Waiting, &report.Slots} {
		n, err := strconv.ParseUint(strings.TrimSpace(fields[i]), 10, 24)
		if err != nil {
			return nil
		}
		*to = int(n)
	}
	if len(fields) == 4 {
		percent, err := strconv.ParseFloat(strings.TrimSpace(fields[3]), 64)
		if err != nil || !(percent > 0) || math.IsInf(percent, 0) {
			return nil
		}
		report.Pace = percent / 100
	}
	return report
}

// DecodeLimit decodes the number of requests per second in a header, nil if it is empty
// or malformed.
func DecodeLimit(v string) *float64 {
	perSecond, err := strconv.ParseFloat(v, 64)
	if err != nil || !(perSecond >= 0) || math.IsInf(perSecond, 0) {
		return nil
	}
	return &perSecond
}

// DecodePause decodes the pause that a response of an endpoint asks for: the seconds in the
// Retry-After of a 503, which may have a fraction. It returns 0 if there is none, or for a
// date, which endpoints do not send.
func DecodePause(r *http.Response) time.Duration {
	if r.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(r.Header.Get("Retry-After")), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxPauseSeconds) * float64(time.Second))
}

// maxPauseSeconds keeps the decoded pause within a time.Duration; dispatch bounds it further.
const maxPauseSeconds = 1e6

func errBadHeader(name, value string) error {
	return Error.New("the header %s has the value %q", name, value)
}

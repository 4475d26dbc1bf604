package upstream

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// clientMetrics holds the metrics of a client, looked up once.
type clientMetrics struct {
	dialed, dialFailed                     tally.Counter
	cancelled, cancelFailed, cancelDropped tally.Counter
	tokens, crossed, repeated              tally.Counter
	failures                               map[Reason]tally.Counter
	firstToken, betweenTokens              tally.Histogram
}

// buckets reach from 1 ms to about 65 s.
var buckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)

func newClientMetrics(s tally.Scope) *clientMetrics {
	m := &clientMetrics{
		dialed:        s.Counter("connections_opened"),
		dialFailed:    s.Counter("connections_failed"),
		cancelled:     s.Counter("cancels_sent"),
		cancelFailed:  s.Counter("cancels_failed"),
		cancelDropped: s.Counter("cancels_dropped"),
		tokens:        s.Counter("tokens"),
		crossed:       s.Counter("chunks_crossed"),
		repeated:      s.Counter("tokens_repeated"),
		failures:      make(map[Reason]tally.Counter, len(reasons)),
		firstToken:    s.Histogram("first_token_seconds", buckets),
		betweenTokens: s.Histogram("between_tokens_seconds", buckets),
	}
	for _, r := range reasons {
		m.failures[r] = s.Tagged(map[string]string{"reason": string(r)}).Counter("failures")
	}
	return m
}

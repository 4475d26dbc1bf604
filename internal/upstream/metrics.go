package upstream

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// clientMetrics holds the metrics of a Client, so that each is looked up only once.
type clientMetrics struct {
	connectionsOpened, connectionsFailed       tally.Counter
	cancelsSent, cancelsFailed, cancelsDropped tally.Counter
	tokens, responseMismatches, repeatedTokens tally.Counter
	failures                                   map[Reason]tally.Counter
	firstToken, betweenTokens                  tally.Histogram
}

// latencyBuckets has bounds from 1 ms to about 65 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)

func newClientMetrics(s tally.Scope) *clientMetrics {
	m := &clientMetrics{
		connectionsOpened:  s.Counter("connections_opened"),
		connectionsFailed:  s.Counter("connections_failed"),
		cancelsSent:        s.Counter("cancels_sent"),
		cancelsFailed:      s.Counter("cancels_failed"),
		cancelsDropped:     s.Counter("cancels_dropped"),
		tokens:             s.Counter("tokens"),
		responseMismatches: s.Counter("chunks_crossed"),
		repeatedTokens:     s.Counter("tokens_repeated"),
		failures:           make(map[Reason]tally.Counter, len(allReasons)),
		firstToken:         s.Histogram("first_token_seconds", latencyBuckets),
		betweenTokens:      s.Histogram("between_tokens_seconds", latencyBuckets),
	}
	for _, r := range allReasons {
		m.failures[r] = s.Tagged(map[string]string{"reason": string(r)}).Counter("failures")
	}
	return m
}

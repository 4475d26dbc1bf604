package transport

import (
	"io"
	"strings"
	"sync"

	"github.com/uber-go/tally/v4"
)

// byteCounters counts the bytes of message bodies for each procedure. The
// metrics have the labels "side" and "message".
type byteCounters struct {
	scope tally.Scope
	side  string

	mu     sync.RWMutex
	byPath map[string][2]tally.Counter
}

func newByteCounters(scope tally.Scope, side string) *byteCounters {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &byteCounters{scope: scope, side: side, byPath: make(map[string][2]tally.Counter)}
}

// forPath returns the counters of sent and received bytes for a procedure path. They are kept, so
// path must not be what a client has made up.
func (b *byteCounters) forPath(path string) (sent, received tally.Counter) {
	b.mu.RLock()
	pair, ok := b.byPath[path]
	b.mu.RUnlock()
	if ok {
		return pair[0], pair[1]
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	kind := strings.ReplaceAll(strings.Trim(path, "/"), "/", "_")
	s := b.scope.Tagged(map[string]string{"side": b.side, "message": kind})
	pair = [2]tally.Counter{s.Counter("rpc_sent_bytes"), s.Counter("rpc_received_bytes")}
	b.byPath[path] = pair
	return pair[0], pair[1]
}

// countedBody counts the bytes read from a body.
type countedBody struct {
	io.ReadCloser
	counter tally.Counter
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.counter.Inc(int64(n))
	return n, err
}

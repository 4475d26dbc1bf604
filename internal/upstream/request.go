package upstream

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

func escapeSegment(s string) string { return url.PathEscape(s) }

// newRequest returns a request to endpoint for target, a path with an optional query.
func (c *Client) newRequest(ctx context.Context, method, endpoint, target string) (*http.Request, error) {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	u.Scheme, u.Host = c.scheme, endpoint
	req, err := http.NewRequestWithContext(ctx, method, u.String(), nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return req, nil
}

// setTimeoutHeader sets HeaderTimeout to the time until the deadline of ctx. If ctx has no
// deadline, it removes the header.
func setTimeoutHeader(ctx context.Context, h http.Header) {
	h.Del(HeaderTimeout)
	if deadline, ok := ctx.Deadline(); ok {
		h.Set(HeaderTimeout, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
}

// nonRewindableBody is a request body that net/http cannot rewind. It keeps the transport
// from repeating a request on its own on another connection.
type nonRewindableBody struct{ io.Reader }

// Close implements io.Closer.
func (nonRewindableBody) Close() error { return nil }

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// removeHopByHopHeaders removes hopByHopHeaders and the headers that the Connection header
// names.
func removeHopByHopHeaders(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

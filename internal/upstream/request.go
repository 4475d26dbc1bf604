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

// newRequest returns a request for target, a path with an optional query.
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

// setTimeout tells the endpoint the time left until the deadline of ctx, if any.
func setTimeout(ctx context.Context, h http.Header) {
	h.Del(HeaderTimeout)
	if deadline, ok := ctx.Deadline(); ok {
		h.Set(HeaderTimeout, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
}

// onceBody is a request body that net/http cannot rewind. It keeps the
// transport from repeating a request by itself on another connection.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// dropHopHeaders removes the headers that concern one connection only.
func dropHopHeaders(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

package clientlimit

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"auburnstep.example/auburnstep/internal/verdict"
)

// listener accepts connections under the limits of a Guard.
type listener struct {
	net.Listener
	guard *Guard
	tls   *tls.Config
	done  chan struct{}
	once  sync.Once
}

// Listener returns l with the limits applied. config selects TLS, nil for none. Its connections
// are decrypted, so that the limits apply to what a client sends in each protocol. A server
// that is to speak HTTP/2 over TLS has to permit it on connections without encryption.
func (g *Guard) Listener(l net.Listener, config *tls.Config) net.Listener {
	out := &listener{Listener: l, guard: g, tls: config, done: make(chan struct{})}
	go out.closeStuck()
	return out
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.guard.conns.len() >= l.guard.o.MaxConnections && !l.guard.closeVictim(nil, false) {
			l.guard.acted(refused, accepted.RemoteAddr().String())
			_ = accepted.Close() // The client is turned away.
			continue
		}
		c := newConn(accepted, l.guard, l.tls)
		l.guard.conns.add(c)
		return c, nil
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// closeStuck closes connections without progress until the listener is closed.
func (l *listener) closeStuck() {
	tick := time.NewTicker(scanInterval)
	defer tick.Stop()
	for {
		select {
		case <-l.done:
			return
		case now := <-tick.C:
			l.guard.open.Update(float64(l.guard.conns.len()))
			l.guard.used.Update(float64(l.guard.account.Budget.Used()))
			for _, c := range l.guard.conns.stuck(now) {
				l.guard.acted(stalled, c.address())
				c.abort()
			}
		}
	}
}

// connKey is the key of the context value with the connection of a request.
type connKey struct{}

// Configure applies the limits to a server that serves a listener of this guard.
func (g *Guard) Configure(s *http.Server) {
	if g.o.MaxHeaderBytes > 0 {
		s.MaxHeaderBytes = g.o.MaxHeaderBytes
	}
	s.Handler = g.handler(s.Handler)
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if c, ok := nc.(*conn); ok {
			return context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok && state == http.StateIdle {
			c.releaseHead()
			c.enter(idle)
		}
	}
}

func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		q, ok := c.begin(w, r)
		defer q.end()
		if n := fieldCount(r.Header); n > MaxFields {
			g.acted(fields, c.address())
			refuse(w, http.StatusRequestHeaderFieldsTooLarge, "the request has "+strconv.Itoa(n)+" header fields, at most "+strconv.Itoa(MaxFields)+" are accepted")
			return
		}
		if !ok {
			w.Header().Set("Retry-After", memoryRetryAfter)
			refuse(w, http.StatusServiceUnavailable, ErrExhausted.Error())
			return
		}
		if g.o.CountBodies {
			w = &response{ResponseWriter: w, q: q}
		}
		next.ServeHTTP(w, r)
		if q.body != nil {
			q.body.discardRest(w, r)
		}
	})
}

// discardRest reads what is left of a body that its handler has not read to the end, so that a
// client that sends it before it reads gets the response. net/http reads 256 KB at most.
func (b *body) discardRest(w http.ResponseWriter, r *http.Request) {
	if b.multiplexed || !b.unfinished() || r.ContentLength > maxRest || r.Header.Get("Expect") != "" {
		return
	}
	control := http.NewResponseController(w)
	// Errors are ignored: the response does not depend on the rest of the body.
	_ = control.SetReadDeadline(time.Now().Add(restTimeout))
	_, _ = io.CopyN(io.Discard, b.ReadCloser, maxRest)
	_ = control.SetReadDeadline(time.Now().Add(restTimeout))
}

func fieldCount(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}

// refuse answers a request that has not run, and closes the connection afterwards.
func refuse(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Connection", "close")
	// Nothing of the request is kept for a client that does not send the rest of its body.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(restTimeout)) // Fails only on a closed connection.
	w.Header().Set(verdict.Header, verdict.NotRun.String())
	http.Error(w, message, status)
}

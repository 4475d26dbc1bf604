// Package clientlimit bounds what clients can take from a process: memory for heads, bodies and
// responses, connections, and time without progress, over HTTP/1 and HTTP/2, with and without TLS.
// One Account covers all listeners of the process, and a Guard each of them.
package clientlimit

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/bytebudget"
	"auburnstep.example/auburnstep/internal/event"
)

// ErrExhausted is the error of reading a request or writing a response for which the account has
// no room.
var ErrExhausted = errors.New("the memory for requests of clients is exhausted")

const (
	// freeHeadBytes and freeHeadLines are the part of a head that is not charged: the read
	// buffer of net/http, which every connection has, and the lines of usual requests.
	freeHeadBytes, freeHeadLines = 4 << 10, 64
	// headByteCost is the charge for each byte of a head: the buffer of a line that outgrows the
	// read buffer, the buffer before its last growth, and the string that is made of it.
	headByteCost = 3
	// fieldCost is what a parsed header field takes beside its bytes. 2,886 fields in 16,000
	// bytes were measured to take 264 KB.
	fieldCost = 96
	// MaxFields is the number of header fields above which a request is refused: as many lines of
	// three bytes as fit into 16,384 bytes, the largest head of callers inside their limits.
	MaxFields = 16384 / 3
	// bodyCost is the charge for each byte of a body: its buffer and the one that it outgrew.
	bodyCost = 2
	// chargeStep is the granularity of charges for bodies.
	chargeStep = 16 << 10
	// smallBody is the declared length up to which bodies may use the reserved part of the account:
	// announcements and small routing tables.
	smallBody = 64 << 10
	// reservedPart is the part of the account that only small bodies may use: a quarter.
	reservedPart = 4
	// progressBytes is what a client has to send to count as making progress when a bound is
	// reached.
	progressBytes = 1 << 10
	// memoryRetryAfter is the Retry-After of a request that finds no memory, in seconds.
	memoryRetryAfter = "1"
	// minStall is the time without progress after which a connection may be closed in favour
	// of another one.
	minStall = 500 * time.Millisecond
	// roomWait is how long a request waits for memory that a closed connection returns.
	roomWait, roomInterval = time.Second, 10 * time.Millisecond
	// stallTimeout ends a connection on which a body or a response makes no progress at all.
	// The platform's callers have 10 s for a body.
	stallTimeout = 15 * time.Second
	// maxRest and restTimeout bound what is read of a body after its request was answered.
	maxRest, restTimeout = 8 << 20, 2 * time.Second
	// writeStep is the number of bytes of a response that must be taken within stallTimeout.
	writeStep = 16 << 10
	// scanInterval is how often connections are checked for a stall.
	scanInterval = time.Second
	// eventInterval bounds the events of a listener to one of each cause in this time.
	eventInterval = 10 * time.Second
)

var eventActed = event.Define(1020, "client-limited", event.Warn, "a limit against misbehaving clients was reached; requests are refused or connections closed")

var eventHandshake = event.Define(1021, "tls-handshake-failed", event.Info, "a client did not complete the TLS handshake")

// Account is the memory for heads, bodies and responses of clients, which all listeners of a
// process share.
type Account struct {
	Budget *bytebudget.Budget
	total  int64
	events *event.Recorder
	scope  tally.Scope
}

// NewAccount returns an account of a number of bytes.
func NewAccount(total int64, events *event.Recorder, scope tally.Scope) *Account {
	return &Account{Budget: bytebudget.New(total), total: total, events: events, scope: scope}
}

// Guard applies the limits to one listener.
type Guard struct {
	account *Account
	o       Options
	conns   connSet
	metrics [causes]tally.Counter
	open    tally.Gauge
	// used is the part of the account in use.
	used tally.Gauge
	// emitted holds when the last event of each cause was emitted, in Unix ns.
	emitted          [causes]atomic.Int64
	handshakeEmitted atomic.Int64
}

// Options configures a Guard.
type Options struct {
	// Name names the listener in metrics and events.
	Name string
	// MaxConnections bounds the open connections.
	MaxConnections int
	// CountBodies selects that bodies are charged to the account here. Handlers with a budget
	// of their own charge them there.
	CountBodies bool
	// HeadCopies is the number of copies of the header fields that a handler holds, 0 for one.
	HeadCopies int
	// ReceiveWindow is the flow-control window of an HTTP/2 connection in bytes.
	ReceiveWindow int64
	// MaxHeaderBytes bounds heads, 0 for the server's own bound.
	MaxHeaderBytes int
}

// cause is the reason for which a limit acts.
type cause int

const (
	// refused: a connection above the bound, with no other one to close. evicted: closed in
	// favour of another one. stalled: no progress. memory: no room in the account. fields: too
	// many header fields. unstarted: streams of HTTP/2 that got no handler in time.
	refused cause = iota
	evicted
	stalled
	memory
	fields
	unstarted
	causes
)

func (c cause) String() string {
	return [...]string{"refused", "evicted", "stalled", "memory", "fields", "unstarted"}[c]
}

// Guard returns the guard of a listener.
func (a *Account) Guard(o Options) *Guard {
	g := &Guard{account: a, o: o}
	g.conns.all = make(map[*conn]struct{})
	scope := a.scope.Tagged(map[string]string{"listener": o.Name})
	for c := range causes {
		g.metrics[c] = scope.Tagged(map[string]string{"cause": c.String()}).Counter("client_limits")
	}
	g.open, g.used = scope.Gauge("client_connections"), a.scope.Gauge("client_memory_bytes")
	return g
}

// acted counts an action and emits an event unless one of the same cause was emitted lately.
func (g *Guard) acted(c cause, address string) {
	g.metrics[c].Inc(1)
	g.report(eventActed, &g.emitted[c], address, event.F("cause", c))
}

// report emits an event about a client unless one was emitted lately. emitted holds when.
func (g *Guard) report(e *event.Event, emitted *atomic.Int64, address string, field event.Field) {
	now, last := time.Now().UnixNano(), emitted.Load()
	if now-last > int64(eventInterval) && emitted.CompareAndSwap(last, now) {
		g.account.events.Emit(e, event.F("listener", g.o.Name), field, event.F("client", address))
	}
}

// claimant is what needs memory: a connection or a body.
type claimant interface {
	owner() *conn
	// touch records progress.
	touch()
}

// take charges n bytes to the account.
func (g *Guard) take(n int64, small bool, self claimant) bool {
	reserved := g.account.total / reservedPart
	if small {
		reserved = 0
	}
	take := func() bool { return g.account.Budget.TakeAbove(n, reserved) }
	return take() || g.makeRoom(self, take, roomWait)
}

// MakeRoom calls take until it succeeds, and meanwhile closes connections of this listener that
// hold memory and make no progress. It reports whether take has succeeded. ctx is the context of
// the request that needs the memory.
func (g *Guard) MakeRoom(ctx context.Context, take func() bool) bool {
	self, ok := ctx.Value(connKey{}).(*conn)
	return ok && g.makeRoom(self, take, roomWait)
}

func (g *Guard) makeRoom(self claimant, take func() bool, wait time.Duration) bool {
	for deadline := time.Now().Add(wait); time.Now().Before(deadline); time.Sleep(roomInterval) {
		// The client is not to blame for the time that its request waits here.
		self.touch()
		g.closeVictim(self.owner(), true)
		if take() {
			return true
		}
	}
	g.acted(memory, self.owner().address())
	return false
}

// closeVictim closes the connection that has made no progress for the longest time, and
// reports whether there was one.
func (g *Guard) closeVictim(self *conn, holding bool) bool {
	v := g.conns.victim(time.Now(), self, holding)
	if v == nil {
		return false
	}
	g.acted(evicted, v.address())
	v.abort()
	return true
}

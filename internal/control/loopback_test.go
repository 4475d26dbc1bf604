package control

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"auburnstep.example/auburnstep/internal/control/feed"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/rpc/controlv1/controlv1connect"
	"auburnstep.example/auburnstep/internal/rpc/transport"
)

// blackholeDialer dials connections that it can turn into black holes later: bytes
// are dropped in both directions without an error, as by a firewall that lost the
// state of the connections.
type blackholeDialer struct {
	mu    sync.Mutex
	conns []*blackholeConn
}

// blackholeConn is a connection that drops all bytes while dropping is set.
type blackholeConn struct {
	net.Conn
	dropping atomic.Bool
	closed   chan struct{}
	once     sync.Once
}

func (s *blackholeDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &blackholeConn{Conn: conn, closed: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
	return c, nil
}

// dropAll turns all connections dialled so far into black holes and returns their
// number.
func (s *blackholeDialer) dropAll() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.dropping.Store(true)
	}
	return len(s.conns)
}

func (c *blackholeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.dropping.Load() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

func (c *blackholeConn) Write(p []byte) (int, error) {
	if c.dropping.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *blackholeConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// loopbackMember is a member with its server and its connections. kill is nil
// while the member is not running.
type loopbackMember struct {
	dir     string
	address string
	member  *Member
	kill    func()
}

// loopback is a cluster with loopback TCP connections and files on disk.
type loopback struct {
	t       testing.TB
	members []*loopbackMember
	pool    *transport.Pool
	blackholeDialer
}

func newLoopback(t testing.TB, n int) *loopback {
	l := &loopback{t: t}
	l.pool = transport.NewPool(transport.Options{Token: "op", Dial: l.dial})
	listeners := make([]net.Listener, n)
	for i := range n {
		var err error
		listeners[i], err = net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		l.members = append(l.members, &loopbackMember{dir: t.TempDir(), address: listeners[i].Addr().String()})
	}
	for i, m := range l.members {
		l.start(m, listeners[i])
	}
	return l
}

func (l *loopback) addresses() (out []string) {
	for _, m := range l.members {
		out = append(out, m.address)
	}
	return out
}

func (l *loopback) start(m *loopbackMember, listener net.Listener) {
	if listener == nil {
		var err error
		listener, err = net.Listen("tcp", m.address)
		qt.Assert(l.t, err, qt.IsNil)
	}
	pool := transport.NewPool(transport.Options{Token: "peer", Sender: m.address, Dial: l.dial})
	m.member = NewMember(Options{
		Cluster: "test", Instance: m.address, Address: m.address, InitialMembers: l.addresses(),
		Storage: NewDirStorage(m.dir), Network: NewNetwork(pool), Events: recorder(m.address), Seed: time.Now().UnixNano(),
	})
	server := transport.NewServer(transport.ServerOptions{Listener: listener, Tokens: transport.Tokens{Peers: []string{"peer"}, Operators: []string{"op"}}})
	NewService(m.member).Register(server)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- m.member.Start(ctx) }()
	go func() { ended <- server.Start(ctx) }()
	m.kill = func() {
		cancel()
		for range 2 {
			qt.Check(l.t, <-ended, qt.IsNil)
		}
		pool.Close()
		m.kill = nil
	}
}

func (l *loopback) stop() {
	for _, m := range l.members {
		if m.kill != nil {
			m.kill()
		}
	}
	l.pool.Close()
}

func (l *loopback) leader() *loopbackMember {
	for range 5000 {
		for _, m := range l.members {
			if m.kill != nil {
				if _, ok := m.member.lease(); ok {
					return m
				}
			}
		}
		time.Sleep(time.Millisecond)
	}
	l.t.Fatal("no leader was elected")
	return nil
}

// accept sends a change until it is accepted, as the command-line tool does.
func (l *loopback) accept(id string, base uint64, ops ...*controlv1.Operation) {
	l.t.Helper()
	for range 1000 {
		ctx, cancel := context.WithTimeout(transport.MarkIdempotent(context.Background()), time.Second)
		client := controlv1connect.NewControlClient(l.pool.Peer(l.leader().address).Client())
		r, err := client.Change(ctx, connect.NewRequest(request(id, base, ops...)))
		cancel()
		if err == nil && r.Msg.Result != nil {
			qt.Assert(l.t, r.Msg.Result.Outcome, qt.Equals, controlv1.ChangeResult_ACCEPTED, qt.Commentf("%v", r.Msg.Result))
			return
		}
	}
	l.t.Fatal("the change was not accepted")
}

// feeds starts n feed clients and returns them with a function that stops them.
func (l *loopback) feeds(n int) (out []*feed.Client, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, n)
	var pools []*transport.Pool
	for i := range n {
		pool := transport.NewPool(transport.Options{Token: "peer", Dial: l.dial})
		pools = append(pools, pool)
		name := fmt.Sprintf("e%d", i)
		f := feed.NewClient(feed.Options{Members: l.addresses(), MemberClient: feed.NewMemberClient(pool), Clock: time.Now,
			Self: func() *controlv1.EntryInfo {
				return &controlv1.EntryInfo{Instance: name, Address: name, PeerAddress: name}
			}})
		go func() { ended <- f.Start(ctx) }()
		out = append(out, f)
	}
	return out, func() {
		cancel()
		for range n {
			<-ended
		}
		for _, p := range pools {
			p.Close()
		}
	}
}

// waitUntilInForce waits until all feeds are fresh and have at least the given
// version of the settings, and returns the time at which this is the case.
func waitUntilInForce(feeds []*feed.Client, version uint64) time.Time {
	for _, f := range feeds {
		for f.View().Version < version || !f.View().Fresh(time.Now()) {
			select {
			case <-f.Changed():
			case <-time.After(time.Millisecond):
			}
		}
	}
	return time.Now()
}

// TestLoopbackCluster guards the whole path over sockets and files: cluster
// formation, changes, feeds and a restart from disk. It also guards against
// goroutines that are still running after their service has ended.
func TestLoopbackCluster(t *testing.T) {
	defer goleak.VerifyNone(t)
	l := newLoopback(t, 3)
	defer l.stop()
	feeds, stop := l.feeds(2)
	defer stop()
	l.accept("c1", 0, put("/services", "group"))
	waitUntilInForce(feeds, 1)
	l.leader().kill()
	l.accept("c2", 1, put("/customers", "group"))
	waitUntilInForce(feeds, 2)
	for _, m := range l.members {
		if m.kill != nil {
			m.kill()
		}
	}
	for _, m := range l.members {
		l.start(m, nil)
	}
	l.accept("c3", 2, put("/more", "group"))
	waitUntilInForce(feeds, 3)
}

// TestUnresponsiveConnectionsAreReplaced guards against members and feeds that
// stay cut off when all open connections stop delivering bytes at once, without
// an error, while new connections work.
func TestUnresponsiveConnectionsAreReplaced(t *testing.T) {
	l := newLoopback(t, 3)
	defer l.stop()
	feeds, stop := l.feeds(2)
	defer stop()
	l.accept("c1", 0, put("/services", "group"))
	waitUntilInForce(feeds, 1)
	start := time.Now()
	n := l.dropAll()
	fresh := feeds[0].View().FreshUntil
	l.accept("c2", 1, put("/customers", "group"))
	accepted := time.Since(start)
	waitUntilInForce(feeds, 2)
	t.Logf("%d connections made unresponsive; the next change was accepted after %v and in force after %v; the remaining time of the feed's freshness was %v",
		n, accepted, time.Since(start), fresh.Sub(start))
}

package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/consensus"
	"auburnstep.example/auburnstep/internal/control/feed"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/hlc"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/rpc/consensusv1"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

var errNoResponse = errors.New("no response")

// memDisk is the data directory of a member, kept in memory. With err set, all
// writes fail.
type memDisk struct {
	mu       sync.Mutex
	id       uint64
	restored consensus.Restored
	err      error
}

func (d *memDisk) Open(string) (Log, OpenResult, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o := OpenResult{ID: d.id, New: d.id == 0, Restored: d.restored}
	if o.New {
		d.id = rand.Uint64()
		o.ID = d.id
	}
	o.Restored.Entries = slices.Clone(o.Restored.Entries)
	return d, o, nil
}

func (d *memDisk) Clear() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.id, d.restored = 0, consensus.Restored{}
	return nil
}

func (d *memDisk) Save(hs *consensus.HardState, entries []consensus.Entry) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err != nil {
		return d.err
	}
	if hs != nil {
		d.restored.HardState = *hs
	}
	for _, e := range entries {
		at := int(e.Index - d.restored.Snapshot.Index - 1)
		d.restored.Entries = append(d.restored.Entries[:at:at], e)
	}
	return nil
}

func (d *memDisk) SaveSnapshot(s consensus.Snapshot) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err != nil {
		return d.err
	}
	covered := int(s.Index - d.restored.Snapshot.Index)
	d.restored.Entries = slices.Clone(d.restored.Entries[min(covered, len(d.restored.Entries)):])
	d.restored.Snapshot = s
	return nil
}

func (d *memDisk) Close() error { return nil }

// memNetwork connects the members of a test and injects faults, which are random by
// a seed.
type memNetwork struct {
	mu      sync.Mutex
	rng     *rand.Rand
	members map[string]*Member
	cut     map[[2]string]bool // one-way cuts by sender and receiver
	drop    float64
	silent  bool // a member that is down does not refuse calls, but leaves them without response
	delay   time.Duration
	polls   map[string]int // successful feed polls by member
	calls   sync.WaitGroup // calls in progress, including those whose caller has given up
}

// memLink is the connection of one process to the members.
type memLink struct {
	net  *memNetwork
	from string
}

// deliver delivers one message and returns its receiver. If the message is lost,
// deliver blocks until ctx ends.
func (n *memNetwork) deliver(ctx context.Context, from, to string) (*Member, error) {
	n.mu.Lock()
	lost := n.cut[[2]string{from, to}] || n.rng.Float64() < n.drop
	delay := time.Duration(n.rng.Int64N(int64(n.delay) + 1))
	m := n.members[to]
	lost = lost || m == nil && n.silent
	n.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if kernel.Sleep(ctx, delay) != nil {
		return nil, ctx.Err()
	}
	if m == nil {
		return nil, errNoResponse
	}
	return m, nil
}

// exchange calls a member and returns its response. The call continues after its
// caller has given up, so that requests can be executed late and after later ones.
func exchange[T any](ctx context.Context, l memLink, to string, call func(ctx context.Context, m *Member) (T, error)) (T, error) {
	type response struct {
		r   T
		err error
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Second)
		defer cancel()
	}
	deadline, _ := ctx.Deadline()
	timeLeft := time.Until(deadline)
	done := make(chan response, 1)
	l.net.calls.Add(1)
	go func() {
		defer l.net.calls.Done()
		transit, cancel := context.WithTimeout(context.Background(), timeLeft+l.net.maxDelay())
		defer cancel()
		var out response
		var m *Member
		if m, out.err = l.net.deliver(transit, l.from, to); out.err == nil {
			handling, cancel := context.WithTimeout(context.Background(), timeLeft)
			defer cancel()
			out.r, out.err = call(handling, m)
			if _, err := l.net.deliver(transit, to, l.from); err != nil && !errors.Is(err, errNoResponse) {
				return // The response is lost.
			}
		}
		done <- out
	}()
	var zero T
	select {
	case out := <-done:
		return out.r, out.err
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// maxDelay returns the maximum delay of a message.
func (n *memNetwork) maxDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay
}

func (l memLink) Step(ctx context.Context, to string, r *consensusv1.StepRequest) error {
	r = proto.Clone(r).(*consensusv1.StepRequest)
	_, err := exchange(ctx, l, to, func(ctx context.Context, m *Member) (bool, error) { return true, m.HandleStep(ctx, l.from, r) })
	return err
}

func (l memLink) Snapshot(ctx context.Context, to string, r *consensusv1.SnapshotChunk) (*consensusv1.SnapshotProgress, error) {
	r = proto.Clone(r).(*consensusv1.SnapshotChunk)
	return exchange(ctx, l, to, func(ctx context.Context, m *Member) (*consensusv1.SnapshotProgress, error) {
		next, err := m.HandleSnapshot(ctx, l.from, r)
		return &consensusv1.SnapshotProgress{NextOffset: next}, err
	})
}

func (l memLink) Prove(ctx context.Context, to string, r *controlv1.ProveRequest) (*controlv1.ProveResponse, error) {
	r = proto.Clone(r).(*controlv1.ProveRequest)
	return exchange(ctx, l, to, func(_ context.Context, m *Member) (*controlv1.ProveResponse, error) { return m.Prove(r) })
}

func (l memLink) Status(ctx context.Context, to string) (*controlv1.StatusResponse, error) {
	return exchange(ctx, l, to, func(_ context.Context, m *Member) (*controlv1.StatusResponse, error) { return m.Status(), nil })
}

func (l memLink) Member(ctx context.Context, to string, r *controlv1.MemberRequest) (*controlv1.MemberResponse, error) {
	return exchange(ctx, l, to, func(ctx context.Context, m *Member) (*controlv1.MemberResponse, error) { return m.ChangeMember(ctx, r) })
}

func (l memLink) Feed(ctx context.Context, to string, r *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
	return exchange(ctx, l, to, func(ctx context.Context, m *Member) (*controlv1.FeedResponse, error) {
		response, err := m.Feed(ctx, proto.Clone(r).(*controlv1.FeedRequest))
		if err == nil {
			l.net.mu.Lock()
			defer l.net.mu.Unlock()
			l.net.polls[to]++
		}
		return response, err
	})
}

func (l memLink) PutRouting(ctx context.Context, to string, r *controlv1.PutRoutingRequest) (*controlv1.PutRoutingResponse, error) {
	return exchange(ctx, l, to, func(ctx context.Context, m *Member) (*controlv1.PutRoutingResponse, error) {
		return m.PutRouting(ctx, proto.Clone(r).(*controlv1.PutRoutingRequest))
	})
}

func (l memLink) Routing(ctx context.Context, to string, _ *controlv1.RoutingRequest) (*controlv1.RoutingResponse, error) {
	return exchange(ctx, l, to, func(ctx context.Context, m *Member) (*controlv1.RoutingResponse, error) { return m.Routing(ctx) })
}

func (l memLink) Booking(ctx context.Context, to string, r *controlv1.BookingRequest) (*controlv1.BookingResponse, error) {
	return exchange(ctx, l, to, func(ctx context.Context, m *Member) (*controlv1.BookingResponse, error) {
		return m.Booking(ctx, proto.Clone(r).(*controlv1.BookingRequest))
	})
}

func (l memLink) Change(ctx context.Context, to string, r *controlv1.ChangeRequest) (*controlv1.ChangeResponse, error) {
	return exchange(ctx, l, to, func(ctx context.Context, m *Member) (*controlv1.ChangeResponse, error) {
		return m.Change(ctx, proto.Clone(r).(*controlv1.ChangeRequest))
	})
}

// cluster is a set of members with disks and a network in memory.
type cluster struct {
	replace bool   // Options.ReplaceLostVoters of the members that are started next
	limits  Limits // Options.Limits of these members
	t       testing.TB
	net     *memNetwork
	names   []string
	// initial lists the members that form the cluster: at most the first three.
	initial []string
	// peers is Options.Peers of the members that are started next, nil for all names.
	peers        []string
	disks        map[string]*memDisk
	files        map[string]*diskFS // file systems that take the place of disks
	startResults map[string]chan error
	cancels      map[string]context.CancelFunc
	seed         int64
	clocks       map[string]*processClock // time.Now for the others
}

func newCluster(t testing.TB, seed int64, n int) *cluster {
	c := &cluster{
		t: t, seed: seed, disks: make(map[string]*memDisk), startResults: make(map[string]chan error), cancels: make(map[string]context.CancelFunc),
		net: &memNetwork{rng: rand.New(rand.NewPCG(uint64(seed), 0)), members: make(map[string]*Member), cut: make(map[[2]string]bool), polls: make(map[string]int), delay: 2 * time.Millisecond},
	}
	for i := range n {
		c.names = append(c.names, fmt.Sprintf("m%d", i))
	}
	c.initial = c.names[:min(3, n)]
	for _, name := range c.names {
		c.disks[name] = &memDisk{}
		c.start(name)
	}
	return c
}

// recorder logs events to standard error if AUBURNSTEP_TEST_EVENTS is set.
func recorder(name string) *event.Recorder {
	if os.Getenv("AUBURNSTEP_TEST_EVENTS") == "" {
		return nil
	}
	return event.NewRecorder(name, hlc.New(nil), os.Stderr, logrus.DebugLevel)
}

// link returns the connection of a process to the members.
func (c *cluster) link(from string) memLink { return memLink{c.net, from} }

func (c *cluster) start(name string) {
	c.seed++
	m := NewMember(Options{
		Cluster: "test", Instance: name, Address: name, InitialMembers: c.initial,
		Peers: c.knownPeers(), Storage: c.storage(name), Network: c.link(name), SnapshotEvery: 50, Seed: c.seed, Events: recorder(name), ReplaceLostVoters: c.replace, Limits: c.limits, Clock: c.clock(name),
	})
	if err := m.Validate(); err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	c.cancels[name], c.startResults[name] = cancel, result
	go func() { result <- m.Start(ctx) }()
	c.net.mu.Lock()
	c.net.members[name] = m
	c.net.mu.Unlock()
}

func (c *cluster) knownPeers() []string {
	if c.peers != nil {
		return c.peers
	}
	return c.names
}

// storage returns the data directory of a member.
func (c *cluster) storage(name string) Storage {
	if f := c.files[name]; f != nil {
		return dirStorage{dir: "data", fs: f}
	}
	return c.disks[name]
}

// clock returns the steady clock of a process.
func (c *cluster) clock(name string) func() time.Time {
	if p := c.clocks[name]; p != nil {
		return p.now
	}
	return time.Now
}

// kill ends a member at once. The content of its disk remains.
func (c *cluster) kill(name string) {
	c.net.mu.Lock()
	delete(c.net.members, name)
	c.net.mu.Unlock()
	c.cancels[name]()
	<-c.startResults[name]
}

func (c *cluster) restart(name string) { c.kill(name); c.start(name) }

// wipe kills a member and starts it again with an empty disk.
func (c *cluster) wipe(name string) {
	c.kill(name)
	c.disks[name] = &memDisk{}
	c.start(name)
}

func (c *cluster) stop() {
	for _, name := range c.names {
		if c.member(name) != nil {
			c.kill(name)
		}
	}
	c.net.calls.Wait()
}

func (c *cluster) member(name string) *Member {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	return c.net.members[name]
}

// isolate cuts a member off in both directions, or reconnects it.
func (c *cluster) isolate(name string, cut bool) {
	for _, other := range append(slices.Clone(c.names), "client", "e0", "e1", "e2") {
		c.oneWay(name, other, cut)
		c.oneWay(other, name, cut)
	}
}

// oneWay cuts or restores the path from one process to another.
func (c *cluster) oneWay(from, to string, cut bool) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.net.cut[[2]string{from, to}] = cut
}

// leader waits for a member that holds the leader lease and returns its name.
func (c *cluster) leader() string {
	for range 2000 {
		for _, name := range c.names {
			if m := c.member(name); m != nil {
				if _, ok := m.lease(); ok {
					return name
				}
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.logStatus()
	c.t.Fatal("no leader was elected")
	return ""
}

// logStatus logs the status of all members when a test fails.
func (c *cluster) logStatus() {
	for _, name := range c.names {
		if m := c.member(name); m != nil {
			c.t.Logf("%s: participating %v applied %d %+v", name, m.participating.Load(), m.applied.Load(), *m.status.Load())
		}
	}
}

// id returns the current member ID of an instance.
func (c *cluster) id(name string) uint64 { return c.member(name).status.Load().ID }

// waitFor waits until a condition holds, and fails the test after 30 s.
func (c *cluster) waitFor(what string, ok func() bool) {
	c.t.Helper()
	for range 3000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.logStatus()
	c.t.Fatalf("timed out waiting for %s", what)
}

// change sends a change to each member in turn until the leader responds with a
// result.
func (c *cluster) change(ctx context.Context, r *controlv1.ChangeRequest) (*controlv1.ChangeResult, error) {
	for i := 0; ctx.Err() == nil; i++ {
		attempt, cancel := context.WithTimeout(ctx, time.Second)
		resp, err := c.link("client").Change(attempt, c.names[i%len(c.names)], r)
		cancel()
		if err == nil && resp.Result != nil {
			return resp.Result, nil
		}
		_ = kernel.Sleep(ctx, 20*time.Millisecond)
	}
	return nil, fmt.Errorf("%w: %w", errNoResponse, context.Cause(ctx))
}

// feed starts the feed client of an instance and returns it with a function that
// stops it.
func (c *cluster) feed(name string, reports func() []*controlv1.GroupReport) (*feed.Client, func()) {
	f := feed.NewClient(feed.Options{
		Members: c.names, MemberClient: c.link(name), Reports: reports, Clock: c.clock(name),
		Self: func() *controlv1.EntryInfo {
			return &controlv1.EntryInfo{Instance: name, Address: name + ":80", PeerAddress: name}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Start(ctx) }()
	return f, func() { cancel(); <-done }
}

package capacity

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/control/feed"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/hlc"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/rpc/transport"
)

// node is one instance's feed client with connections of its own.
type node struct {
	client *feed.Client
	pool   *transport.Pool
}

// countingCaller counts polls and keeps the size of the last whole answer.
type countingCaller struct {
	feed.Caller
	polls, directories, snapshots, deltas *atomic.Int64
	directory                             *atomic.Int64
}

// Feed implements feed.Caller.
func (c countingCaller) Feed(ctx context.Context, address string, r *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
	resp, err := c.Caller.Feed(ctx, address, r)
	if err != nil {
		return resp, err
	}
	c.polls.Add(1)
	if len(resp.GetMembers()) > 0 {
		c.directories.Add(1)
		c.directory.Store(int64(proto.Size(&controlv1.FeedResponse{Assignments: resp.Assignments, Entries: resp.Entries, Members: resp.Members})))
	}
	if len(resp.GetPackedSnapshot()) > 0 {
		c.snapshots.Add(1)
	}
	if len(resp.GetChanges()) > 0 {
		c.deltas.Add(1)
	}
	return resp, nil
}

// Fleet is a number of instances that poll the control members.
type Fleet struct {
	control *Control
	nodes   []*node
	wire    wire
	caller  countingCaller
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

func newCounts() countingCaller {
	return countingCaller{
		polls: new(atomic.Int64), directories: new(atomic.Int64), snapshots: new(atomic.Int64),
		deltas: new(atomic.Int64), directory: new(atomic.Int64),
	}
}

// newNode returns one instance. Its names and addresses have the length that
// they have at the target size.
func (f *Fleet) newNode(i int) *node {
	clock := hlc.New(nil)
	// As in the daemon, a connection carries the address of the sender and a clock.
	address := fmt.Sprintf("10.%d.%d.%d", 100+i/100, i%100, 10+i%100)
	pool := transport.NewPool(transport.Options{Dial: f.wire.Dial, Sender: address + ":8081", Clock: clock})
	caller := f.caller
	caller.Caller = feed.NewCaller(pool)
	n := &node{pool: pool}
	self := func() *controlv1.EntryInfo {
		return &controlv1.EntryInfo{
			Instance: fmt.Sprintf("region-%d-%c-%03d", i%3, 'a'+i%4, i), Address: address + ":8080", PeerAddress: address + ":8081",
			FailureDomain: fmt.Sprintf("region-%d-%c", i%3, 'a'+i%4), Weight: 1, SettingsVersion: n.client.View().Version,
		}
	}
	n.client = feed.NewClient(feed.Options{
		Members: f.control.addresses, Caller: caller, Self: self, Scope: tally.NoopScope, Events: (*event.Recorder)(nil),
		Reports: func() []*controlv1.GroupReport { return groupReports(n.client.Held()) },
	})
	return n
}

// groupReports describes groups of 32 endpoints of five models.
func groupReports(held map[string]feed.Lease) []*controlv1.GroupReport {
	var out []*controlv1.GroupReport
	for group, l := range held {
		r := &controlv1.GroupReport{Group: group, Epoch: l.Epoch, Endpoints: 32, Slots: 4096, InFlight: 3600, Waiting: 12}
		for m := range models {
			r.Models = append(r.Models, fmt.Sprintf("capacity-%d", m))
		}
		out = append(out, r)
	}
	return out
}

// StartFleet starts n instances and waits until all have the same view.
func StartFleet(ctx context.Context, c *Control, n int) (*Fleet, error) {
	if err := c.find(ctx); err != nil {
		return nil, err
	}
	f := &Fleet{control: c, caller: newCounts()}
	run, cancel := context.WithCancel(ctx)
	f.cancel = cancel
	for i := range n {
		nd := f.newNode(i)
		f.nodes = append(f.nodes, nd)
		f.done.Add(1)
		go func() { defer f.done.Done(); _ = nd.client.Start(run) }()
	}
	for ; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if f.current(c.version, n) {
			return f, nil
		}
	}
	return f, Error.New("the instances did not get a common view")
}

func (f *Fleet) current(version uint64, entries int) bool {
	for _, n := range f.nodes {
		v := n.client.View()
		if v.Version < version || len(v.Entries) < entries || !v.Fresh(time.Now()) {
			return false
		}
	}
	return true
}

// Stop ends all instances.
func (f *Fleet) Stop() {
	f.cancel()
	f.done.Wait()
	for _, n := range f.nodes {
		n.pool.Close()
	}
}

// Measure lets the fleet poll for a time, with a settings change every interval
// unless it is zero, and writes the cost of a poll at the leader and at the
// instances.
func (f *Fleet) Measure(ctx context.Context, rows Rows, label string, size float64, window, every time.Duration) error {
	metrics := metricsAddress(f.control.leader)
	settle()
	own := ownUsage()
	leader, err := daemonUsage(metrics)
	if err != nil {
		return err
	}
	polls, directories := f.caller.polls.Load(), f.caller.directories.Load()
	in, out, segments := f.wire.in.Load(), f.wire.out.Load(), f.wire.segments()
	begin := time.Now()
	lags, err := f.drive(ctx, window, every)
	if err != nil {
		return err
	}
	seconds := time.Since(begin).Seconds()
	ownNow := ownUsage()
	leaderNow, err := daemonUsage(metrics)
	if err != nil {
		return err
	}
	n, instances := float64(f.caller.polls.Load()-polls), float64(len(f.nodes))
	rows.addWire(label+", per poll", size, f.wire.in.Load()-in, f.wire.out.Load()-out, f.wire.segments()-segments, n)
	// The daemons poll too, at the same rate as the stand-ins.
	all := float64(len(f.nodes[0].client.View().Entries))
	rows.addUsage(label+", leader per poll", size, leaderNow.since(leader), n*all/instances)
	rows.addUsage(label+", instance per poll", size, ownNow.since(own), n)
	rows.Add(label+": polls per second and instance", size, n/seconds/instances, "1/s")
	rows.Add(label+": bytes per second and instance, headers included", size, (float64(f.wire.in.Load()-in+f.wire.out.Load()-out)+float64((f.wire.segments()-segments)*segmentHeader))/seconds/instances, "B/s")
	// The leader as a whole depends on all that poll it.
	polling := size
	if size == instances {
		polling = all
	}
	rows.Add(label+": leader's processor share", polling, 100*(leaderNow.cpu-leader.cpu).Seconds()/seconds, "%")
	rows.Add(label+": leader's heap", polling, leaderNow.heap, "B")
	rows.Add(label+": leader's resident memory", polling, leaderNow.resident, "B")
	rows.Add(label+": share of polls with the directory", size, 100*float64(f.caller.directories.Load()-directories)/n, "%")
	rows.Add("directory part of an answer", size, float64(f.caller.directory.Load()), "B")
	if len(lags) > 0 {
		slices.Sort(lags)
		rows.Add(label+": time to be in force at all instances, longest", size, float64(lags[len(lags)-1].Milliseconds()), "ms")
		rows.Add(label+": changes that had to be made again", size, float64(f.control.failures), "")
		rows.Add(label+": directories sent per change and instance", size, float64(f.caller.directories.Load()-directories)/instances/float64(len(lags)), "")
	}
	return nil
}

// drive waits, or makes changes and returns how long each took to be in force everywhere.
func (f *Fleet) drive(ctx context.Context, window, every time.Duration) ([]time.Duration, error) {
	if every == 0 {
		time.Sleep(window)
		return nil, nil
	}
	var lags []time.Duration
	for begin := time.Now(); time.Since(begin) < window; {
		start := time.Now()
		if _, err := f.control.touch(ctx); err != nil {
			return nil, err
		}
		for !f.current(f.control.version, 0) {
			if time.Since(start) > 10*time.Second {
				return nil, Error.New("a change was not in force after 10 s")
			}
			time.Sleep(5 * time.Millisecond)
		}
		lags = append(lags, time.Since(start))
		time.Sleep(max(0, every-time.Since(start)))
	}
	return lags, nil
}

// Storm starts n instances without settings at once, as after the loss of a
// failure domain, and writes the time until a half and all of them have a whole
// view, or the number that have none when the time is over.
func (c *Control) Storm(ctx context.Context, rows Rows, n int, bound time.Duration) error {
	if err := c.find(ctx); err != nil {
		return err
	}
	leader, err := daemonUsage(metricsAddress(c.leader))
	if err != nil {
		return err
	}
	f := &Fleet{control: c, caller: newCounts()}
	run, cancel := context.WithCancel(ctx)
	f.cancel = cancel
	defer f.Stop()
	begin := time.Now()
	for i := range n {
		nd := f.newNode(i)
		f.nodes = append(f.nodes, nd)
		f.done.Add(1)
		go func() { defer f.done.Done(); _ = nd.client.Start(run) }()
	}
	size, half, whole := float64(n), false, 0
	for whole < n && time.Since(begin) < bound {
		time.Sleep(10 * time.Millisecond)
		whole = 0
		for _, nd := range f.nodes {
			if nd.client.View().Version >= c.version {
				whole++
			}
		}
		if !half && 2*whole >= n {
			half = true
			rows.Add("storm: time until half have the settings", size, time.Since(begin).Seconds(), "s")
		}
	}
	rows.Add("storm: time until all have the settings, or the end", size, time.Since(begin).Seconds(), "s")
	rows.Add("storm: instances without settings at the end", size, float64(n-whole), "")
	rows.Add("storm: bytes received in all", size, float64(f.wire.in.Load()), "B")
	now, err := daemonUsage(metricsAddress(c.leader))
	rows.Add("storm: processor time of the leader", size, (now.cpu - leader.cpu).Seconds(), "s")
	return err
}

// Fresh starts one instance without settings and measures what it takes until
// its view is whole, and then what one small change takes.
func (c *Control) Fresh(ctx context.Context, rows Rows, size float64) error {
	if err := c.find(ctx); err != nil {
		return err
	}
	f := &Fleet{control: c, caller: newCounts()}
	metrics := metricsAddress(c.leader)
	settle()
	before := ownUsage()
	leader, err := daemonUsage(metrics)
	if err != nil {
		return err
	}
	n := f.newNode(1)
	run, cancel := context.WithCancel(ctx)
	f.cancel = cancel
	defer f.Stop()
	f.nodes = append(f.nodes, n)
	begin := time.Now()
	f.done.Add(1)
	go func() { defer f.done.Done(); _ = n.client.Start(run) }()
	for !f.current(c.version, 0) {
		if time.Since(begin) > 30*time.Second {
			return Error.New("no whole view after 30 s: %d polls answered", f.caller.polls.Load())
		}
		time.Sleep(time.Millisecond)
	}
	took, in := time.Since(begin), f.wire.in.Load()
	used := ownUsage().since(before)
	leaderUsed, err := daemonUsage(metrics)
	if err != nil {
		return err
	}
	settle()
	after := ownUsage()
	rows.Add("snapshot: bytes received", size, float64(in), "B")
	rows.Add("snapshot: time to a whole view", size, float64(took.Microseconds())/1000, "ms")
	rows.Add("snapshot: answers with a whole tree", size, float64(f.caller.snapshots.Load()), "")
	rows.Add("snapshot: processor time of the instance", size, float64(used.cpu.Microseconds())/1000, "ms")
	rows.Add("snapshot: bytes allocated by the instance", size, used.malloc, "B")
	rows.Add("snapshot: processor time of the leader", size, float64((leaderUsed.cpu-leader.cpu).Microseconds())/1000, "ms")
	rows.Add("snapshot: heap held by the view", size, after.heap-before.heap, "B")
	return c.freshDelta(ctx, rows, size, f)
}

// freshDelta measures one small change at one instance.
func (c *Control) freshDelta(ctx context.Context, rows Rows, size float64, f *Fleet) error {
	const changes = 5
	var took time.Duration
	for range changes {
		one, err := c.touch(ctx)
		if err != nil {
			return err
		}
		took += one
		for !f.current(c.version, 0) && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
	}
	rows.Add("delta: time of one change at the leader", size, float64(took.Microseconds())/1000/changes, "ms")
	return nil
}

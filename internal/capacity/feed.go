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

// instance is a simulated instance: a feed client with its own connections.
type instance struct {
	client *feed.Client
	pool   *transport.Pool
}

// countingClient counts the polls that got a response, by what the response
// carried, and records the size of the directory (assignments, entries and members)
// of the last response that had one. All simulated instances of a fleet share the
// counters.
type countingClient struct {
	feed.MemberClient
	polls, directoryResponses, snapshotResponses, deltaResponses *atomic.Int64
	directoryBytes                                               *atomic.Int64
}

// Feed implements feed.MemberClient.
func (c countingClient) Feed(ctx context.Context, address string, r *controlv1.FeedRequest) (*controlv1.FeedResponse, error) {
	resp, err := c.MemberClient.Feed(ctx, address, r)
	if err != nil {
		return resp, err
	}
	c.polls.Add(1)
	if len(resp.GetMembers()) > 0 {
		c.directoryResponses.Add(1)
		c.directoryBytes.Store(int64(proto.Size(&controlv1.FeedResponse{Assignments: resp.Assignments, Entries: resp.Entries, Members: resp.Members})))
	}
	if len(resp.GetPackedSnapshot()) > 0 {
		c.snapshotResponses.Add(1)
	}
	if len(resp.GetChanges()) > 0 {
		c.deltaResponses.Add(1)
	}
	return resp, nil
}

// Fleet is a set of simulated instances that poll the control members.
type Fleet struct {
	control   *LeaderClient
	instances []*instance
	traffic   traffic
	counter   countingClient
	cancel    context.CancelFunc
	running   sync.WaitGroup
}

func newCountingClient() countingClient {
	return countingClient{
		polls: new(atomic.Int64), directoryResponses: new(atomic.Int64), snapshotResponses: new(atomic.Int64),
		deltaResponses: new(atomic.Int64), directoryBytes: new(atomic.Int64),
	}
}

// newInstance returns the simulated instance number i. Its names and addresses are
// as long as those of a real deployment of the target size.
func (f *Fleet) newInstance(i int) *instance {
	clock := hlc.New(nil)
	// As in the daemon, requests carry the address of the sender and a clock value.
	address := fmt.Sprintf("10.%d.%d.%d", 100+i/100, i%100, 10+i%100)
	pool := transport.NewPool(transport.Options{Dial: f.traffic.Dial, Sender: address + ":8081", Clock: clock})
	counter := f.counter
	counter.MemberClient = feed.NewMemberClient(pool)
	inst := &instance{pool: pool}
	self := func() *controlv1.EntryInfo {
		return &controlv1.EntryInfo{
			Instance: fmt.Sprintf("region-%d-%c-%03d", i%3, 'a'+i%4, i), Address: address + ":8080", PeerAddress: address + ":8081",
			FailureDomain: fmt.Sprintf("region-%d-%c", i%3, 'a'+i%4), Weight: 1, SettingsVersion: inst.client.View().Version,
		}
	}
	inst.client = feed.NewClient(feed.Options{
		Members: f.control.addresses, MemberClient: counter, Self: self, Scope: tally.NoopScope, Events: (*event.Recorder)(nil),
		Reports: func() []*controlv1.GroupReport { return groupReports(inst.client.HeldLeases()) },
	})
	return inst
}

// groupReports returns the report of a group with 32 endpoints and five models for
// each lease.
func groupReports(leases map[string]feed.Lease) []*controlv1.GroupReport {
	var reports []*controlv1.GroupReport
	for group, lease := range leases {
		report := &controlv1.GroupReport{Group: group, Epoch: lease.Epoch, Endpoints: 32, Slots: 4096, InFlight: 3600, Waiting: 12}
		for model := range modelCount {
			report.Models = append(report.Models, fmt.Sprintf("capacity-%d", model))
		}
		reports = append(reports, report)
	}
	return reports
}

// StartFleet starts n simulated instances and waits until each has a valid view with
// the current settings and at least n entries.
func StartFleet(ctx context.Context, c *LeaderClient, n int) (*Fleet, error) {
	if err := c.findLeader(ctx); err != nil {
		return nil, err
	}
	f := &Fleet{control: c, counter: newCountingClient()}
	runCtx, cancel := context.WithCancel(ctx)
	f.cancel = cancel
	for i := range n {
		inst := f.newInstance(i)
		f.instances = append(f.instances, inst)
		f.running.Add(1)
		go func() { defer f.running.Done(); _ = inst.client.Start(runCtx) }()
	}
	for ; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if f.upToDate(c.settingsVersion, n) {
			return f, nil
		}
	}
	return f, Error.New("not all instances received the current settings and the full list of entries")
}

// upToDate reports whether every instance has a valid view with at least the given
// settings version and number of entries.
func (f *Fleet) upToDate(version uint64, entries int) bool {
	for _, inst := range f.instances {
		view := inst.client.View()
		if view.Version < version || len(view.Entries) < entries || !view.Fresh(time.Now()) {
			return false
		}
	}
	return true
}

// Stop stops all instances and closes their connections.
func (f *Fleet) Stop() {
	f.cancel()
	f.running.Wait()
	for _, inst := range f.instances {
		inst.pool.Close()
	}
}

// Measure adds rows with the cost of a poll at the leader and at the instances over
// the time window. It makes one settings change per interval, or none if the
// interval is zero.
func (f *Fleet) Measure(ctx context.Context, rows Rows, label string, size float64, window, interval time.Duration) error {
	metrics := daemonMetricsAddress(f.control.leader)
	collectGarbage()
	// Usage and counter values at the start of the window.
	own := ownUsage()
	leader, err := daemonUsage(metrics)
	if err != nil {
		return err
	}
	polls, directoryResponses := f.counter.polls.Load(), f.counter.directoryResponses.Load()
	received, sent, segments := f.traffic.received.Load(), f.traffic.sent.Load(), f.traffic.segments()
	start := time.Now()
	delays, err := f.makeChanges(ctx, window, interval)
	if err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	ownAfter := ownUsage()
	leaderAfter, err := daemonUsage(metrics)
	if err != nil {
		return err
	}
	pollCount, instanceCount := float64(f.counter.polls.Load()-polls), float64(len(f.instances))
	rows.addTraffic(label+", per poll", size, f.traffic.received.Load()-received, f.traffic.sent.Load()-sent, f.traffic.segments()-segments, pollCount)
	// The real daemons also poll the leader, at the same rate as the simulated
	// instances, so the number of polls at the leader is scaled up accordingly.
	allInstances := float64(len(f.instances[0].client.View().Entries))
	rows.addUsage(label+", leader per poll", size, leaderAfter.sub(leader), pollCount*allInstances/instanceCount)
	rows.addUsage(label+", instance per poll", size, ownAfter.sub(own), pollCount)
	rows.Add(label+": polls per second and instance", size, pollCount/seconds/instanceCount, "1/s")
	rows.Add(label+": bytes per second and instance, headers included", size, (float64(f.traffic.received.Load()-received+f.traffic.sent.Load()-sent)+float64((f.traffic.segments()-segments)*segmentHeader))/seconds/instanceCount, "B/s")
	// The leader's total load depends on all instances that poll it. If the size of the
	// rows is a number of instances, these rows therefore count the real ones as well.
	pollingInstances := size
	if size == instanceCount {
		pollingInstances = allInstances
	}
	rows.Add(label+": leader's processor share", pollingInstances, 100*(leaderAfter.cpu-leader.cpu).Seconds()/seconds, "%")
	rows.Add(label+": leader's heap", pollingInstances, leaderAfter.heap, "B")
	rows.Add(label+": leader's resident memory", pollingInstances, leaderAfter.resident, "B")
	rows.Add(label+": share of polls with the directory", size, 100*float64(f.counter.directoryResponses.Load()-directoryResponses)/pollCount, "%")
	rows.Add("directory part of an answer", size, float64(f.counter.directoryBytes.Load()), "B")
	if len(delays) > 0 {
		slices.Sort(delays)
		rows.Add(label+": time to be in force at all instances, longest", size, float64(delays[len(delays)-1].Milliseconds()), "ms")
		rows.Add(label+": changes that had to be made again", size, float64(f.control.retries), "")
		rows.Add(label+": directories sent per change and instance", size, float64(f.counter.directoryResponses.Load()-directoryResponses)/instanceCount/float64(len(delays)), "")
	}
	return nil
}

// makeChanges makes one settings change per interval until the window ends, and
// returns for each change the time until it was in force at all instances. If the
// interval is zero, it makes no changes and waits until the window ends.
func (f *Fleet) makeChanges(ctx context.Context, window, interval time.Duration) ([]time.Duration, error) {
	if interval == 0 {
		time.Sleep(window)
		return nil, nil
	}
	var delays []time.Duration
	for windowStart := time.Now(); time.Since(windowStart) < window; {
		changeStart := time.Now()
		if _, err := f.control.changeWeight(ctx); err != nil {
			return nil, err
		}
		for !f.upToDate(f.control.settingsVersion, 0) {
			if time.Since(changeStart) > 10*time.Second {
				return nil, Error.New("settings change was not in force at all instances after 10 s")
			}
			time.Sleep(5 * time.Millisecond)
		}
		delays = append(delays, time.Since(changeStart))
		time.Sleep(max(0, interval-time.Since(changeStart)))
	}
	return delays, nil
}

// SimultaneousStart starts n instances without settings at the same time, as after
// the loss of a failure domain. It adds rows with the time until half and until all of
// them have the settings, and with the number that still have none at the timeout.
func (c *LeaderClient) SimultaneousStart(ctx context.Context, rows Rows, n int, timeout time.Duration) error {
	if err := c.findLeader(ctx); err != nil {
		return err
	}
	leader, err := daemonUsage(daemonMetricsAddress(c.leader))
	if err != nil {
		return err
	}
	f := &Fleet{control: c, counter: newCountingClient()}
	runCtx, cancel := context.WithCancel(ctx)
	f.cancel = cancel
	defer f.Stop()
	start := time.Now()
	for i := range n {
		inst := f.newInstance(i)
		f.instances = append(f.instances, inst)
		f.running.Add(1)
		go func() { defer f.running.Done(); _ = inst.client.Start(runCtx) }()
	}
	size, halfReported, complete := float64(n), false, 0
	for complete < n && time.Since(start) < timeout {
		time.Sleep(10 * time.Millisecond)
		complete = 0
		for _, inst := range f.instances {
			if inst.client.View().Version >= c.settingsVersion {
				complete++
			}
		}
		if !halfReported && 2*complete >= n {
			halfReported = true
			rows.Add("storm: time until half have the settings", size, time.Since(start).Seconds(), "s")
		}
	}
	rows.Add("storm: time until all have the settings, or the end", size, time.Since(start).Seconds(), "s")
	rows.Add("storm: instances without settings at the end", size, float64(n-complete), "")
	rows.Add("storm: bytes received in all", size, float64(f.traffic.received.Load()), "B")
	leaderAfter, err := daemonUsage(daemonMetricsAddress(c.leader))
	rows.Add("storm: processor time of the leader", size, (leaderAfter.cpu - leader.cpu).Seconds(), "s")
	return err
}

// ColdStart starts one instance without settings. It adds rows with the cost of its
// first complete view, and then with the duration of a small change.
func (c *LeaderClient) ColdStart(ctx context.Context, rows Rows, size float64) error {
	if err := c.findLeader(ctx); err != nil {
		return err
	}
	f := &Fleet{control: c, counter: newCountingClient()}
	metrics := daemonMetricsAddress(c.leader)
	collectGarbage()
	own := ownUsage()
	leader, err := daemonUsage(metrics)
	if err != nil {
		return err
	}
	inst := f.newInstance(1)
	runCtx, cancel := context.WithCancel(ctx)
	f.cancel = cancel
	defer f.Stop()
	f.instances = append(f.instances, inst)
	start := time.Now()
	f.running.Add(1)
	go func() { defer f.running.Done(); _ = inst.client.Start(runCtx) }()
	for !f.upToDate(c.settingsVersion, 0) {
		if time.Since(start) > 30*time.Second {
			return Error.New("no complete view after 30 s: %d polls got a response", f.counter.polls.Load())
		}
		time.Sleep(time.Millisecond)
	}
	elapsed, received := time.Since(start), f.traffic.received.Load()
	ownUsed := ownUsage().sub(own)
	leaderAfter, err := daemonUsage(metrics)
	if err != nil {
		return err
	}
	collectGarbage()
	ownAfter := ownUsage()
	rows.Add("snapshot: bytes received", size, float64(received), "B")
	rows.Add("snapshot: time to a whole view", size, float64(elapsed.Microseconds())/1000, "ms")
	rows.Add("snapshot: answers with a whole tree", size, float64(f.counter.snapshotResponses.Load()), "")
	rows.Add("snapshot: processor time of the instance", size, float64(ownUsed.cpu.Microseconds())/1000, "ms")
	rows.Add("snapshot: bytes allocated by the instance", size, ownUsed.allocBytes, "B")
	rows.Add("snapshot: processor time of the leader", size, float64((leaderAfter.cpu-leader.cpu).Microseconds())/1000, "ms")
	rows.Add("snapshot: heap held by the view", size, ownAfter.heap-own.heap, "B")
	return c.measureChanges(ctx, rows, size, f)
}

// measureChanges adds a row with the mean duration of small changes at the leader.
// Each change waits until the one before is in force at the instance.
func (c *LeaderClient) measureChanges(ctx context.Context, rows Rows, size float64, f *Fleet) error {
	const changes = 5
	var total time.Duration
	for range changes {
		elapsed, err := c.changeWeight(ctx)
		if err != nil {
			return err
		}
		total += elapsed
		for !f.upToDate(c.settingsVersion, 0) && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
	}
	rows.Add("delta: time of one change at the leader", size, float64(total.Microseconds())/1000/changes, "ms")
	return nil
}

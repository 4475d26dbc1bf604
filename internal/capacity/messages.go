package capacity

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"auburnstep.example/auburnstep/internal/hlc"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/rpc/controlv1/controlv1connect"
	"auburnstep.example/auburnstep/internal/rpc/schedulerv1"
	"auburnstep.example/auburnstep/internal/rpc/schedulerv1/schedulerv1connect"
	"auburnstep.example/auburnstep/internal/rpc/transport"
)

// entryInstance is the instance name of the simulated entry in messages to a
// scheduler.
const entryInstance = "region-1-c-017"

// GroupClient sends to the scheduler of a group the messages that an entry sends.
type GroupClient struct {
	traffic traffic
	pool    *transport.Pool
	client  schedulerv1connect.SchedulerClient
	metrics string
	group   string
	// endpointPrefix starts the IDs of the announced endpoints. It differs between runs,
	// so that no run uses the endpoints of another.
	endpointPrefix string
}

// NewGroupClient returns a client of the instance that holds the first group of the
// service.
func NewGroupClient(ctx context.Context, c *LeaderClient) (*GroupClient, error) {
	if err := c.findLeader(ctx); err != nil {
		return nil, err
	}
	status, err := c.client(c.leader).Status(ctx, connect.NewRequest(&controlv1.StatusRequest{}))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	g := &GroupClient{group: Service + "/0", endpointPrefix: fmt.Sprintf("engine-%d", time.Now().UnixNano())}
	for _, assignment := range status.Msg.Assignments {
		if assignment.Group != g.group {
			continue
		}
		g.metrics = daemonMetricsAddress(assignment.Address)
		g.pool = transport.NewPool(transport.Options{Dial: g.traffic.Dial, Sender: "10.101.17.27:8081", Clock: hlc.New(nil)})
		g.client = schedulerv1connect.NewSchedulerClient(g.pool.Peer(assignment.Address).Client())
		return g, nil
	}
	return nil, Error.New("no instance is assigned to group %s", g.group)
}

// measure calls f n times, one after the other, and adds rows with the cost per call
// at the scheduler and at this process.
func (g *GroupClient) measure(rows Rows, label string, size float64, n int, call func(i int) error) error {
	collectGarbage()
	start := time.Now()
	before, err := daemonUsage(g.metrics)
	if err != nil {
		return err
	}
	ownBefore, received, sent, segments := ownUsage(), g.traffic.received.Load(), g.traffic.sent.Load(), g.traffic.segments()
	for i := range n {
		if err := call(i); err != nil {
			return Error.Wrap(err)
		}
	}
	ownAfter, seconds := ownUsage(), time.Since(start).Seconds()
	after, err := daemonUsage(g.metrics)
	if err != nil {
		return err
	}
	rows.addTraffic(label, size, g.traffic.received.Load()-received, g.traffic.sent.Load()-sent, g.traffic.segments()-segments, float64(n))
	rows.addUsage(label+", scheduler", size, after.sub(before), float64(n))
	rows.addUsage(label+", caller", size, ownAfter.sub(ownBefore), float64(n))
	rows.Add(label+": round trip", size, seconds*1e6/float64(n), "us")
	return nil
}

// announcement returns the announcement of engine endpoint i with a number of slots.
func (g *GroupClient) announcement(i int, slots uint32) *schedulerv1.AnnounceRequest {
	return &schedulerv1.AnnounceRequest{Group: g.group, Endpoints: []*schedulerv1.Endpoint{{
		Id: fmt.Sprintf("%s-%03d", g.endpointPrefix, i), Incarnation: 1796364729662000000, Service: Service, Kind: "engine", Address: "10.102.14.31:9000",
		Models: []string{Model}, Slots: slots, TokensPerSecond: 14, FailureDomain: "region-1-c", ChecksOrders: true, RefusesOldFencing: true,
		LeaseMs: 30_000, Load: &schedulerv1.Load{Running: 120, Waiting: 3, KvUsed: 0.7, MeasuredAtMs: time.Now().UnixMilli()},
	}}}
}

// acquire requests a grant. A refusal is an error.
func (g *GroupClient) acquire(ctx context.Context, id string) (*schedulerv1.Grant, error) {
	resp, err := g.client.Acquire(ctx, connect.NewRequest(&schedulerv1.AcquireRequest{Group: g.group, Entry: entryInstance, HoldMs: 500,
		Request: &schedulerv1.Request{
			Id: id, Customer: firstCustomerPath, Class: "tier-1", Model: Model, PromptTokens: 900, MaxTokens: 600,
			Prefixes: []uint64{0x9e3779b97f4a7c15, 0xc2b2ae3d27d4eb4f, 0x165667b19e3779f9, 0xd6e8feb86659fd93}, MayRepeat: true,
		}}))
	if err != nil {
		return nil, err
	}
	if grant := resp.Msg.Grant; grant != nil {
		return grant, nil
	}
	return nil, Error.New("scheduler refused request %s: %v", id, resp.Msg.Refusal)
}

func (g *GroupClient) renew(ctx context.Context, epoch uint64, held []*schedulerv1.HeldGrant, released []*schedulerv1.Outcome) error {
	_, err := g.client.Renew(ctx, connect.NewRequest(&schedulerv1.RenewRequest{
		Group: g.group, Entry: entryInstance, Epoch: epoch, Held: held, Released: released,
	}))
	return err
}

// Run adds rows with the cost of an announcement, of acquiring a grant, of a renewal
// that releases one grant, and of renewals that list different numbers of grants in
// use.
func (g *GroupClient) Run(ctx context.Context, rows Rows, held []int) error {
	const calls = 2000
	if err := g.measure(rows, "message announce", 1, calls, func(int) error {
		_, err := g.client.Announce(ctx, connect.NewRequest(g.announcement(0, 4096)))
		return err
	}); err != nil {
		return err
	}
	runID := time.Now().UnixNano()
	requestID := func(kind string, i int) string { return fmt.Sprintf("%s-%d-%08d", kind, runID, i) }
	var grant *schedulerv1.Grant
	grants := make([]*schedulerv1.Grant, calls)
	err := g.measure(rows, "message acquire", 1, calls, func(i int) (err error) {
		grant, err = g.acquire(ctx, requestID("a", i))
		grants[i] = grant
		return err
	})
	if err != nil {
		return err
	}
	err = g.measure(rows, "message renew with one release", 1, calls, func(i int) error {
		return g.renew(ctx, grant.Epoch, nil, []*schedulerv1.Outcome{{GrantId: grants[i].Id, Tokens: 422, FirstTokenMs: 200, DurationMs: 25_000}})
	})
	if err != nil {
		return err
	}
	for _, n := range held {
		if err := g.measureRenew(ctx, rows, n, func(i int) string { return requestID(fmt.Sprint("h", n), i) }); err != nil {
			return err
		}
	}
	return nil
}

// measureRenew acquires n grants, adds rows with the cost of a renewal that lists all
// of them, and releases them.
func (g *GroupClient) measureRenew(ctx context.Context, rows Rows, n int, requestID func(int) string) error {
	var held []*schedulerv1.HeldGrant
	var outcomes []*schedulerv1.Outcome
	var epoch uint64
	for i := range n {
		grant, err := g.acquire(ctx, requestID(i))
		if err != nil {
			return err
		}
		epoch = grant.Epoch
		held = append(held, &schedulerv1.HeldGrant{GrantId: grant.Id, RequestId: requestID(i), Endpoint: grant.Endpoint, Customer: firstCustomerPath, Class: "tier-1", Epoch: grant.Epoch})
		outcomes = append(outcomes, &schedulerv1.Outcome{GrantId: grant.Id, Tokens: 422, FirstTokenMs: 200, DurationMs: 25_000})
	}
	err := g.measure(rows, "message renew by grants in use", float64(n), 1000, func(int) error { return g.renew(ctx, epoch, held, nil) })
	if err != nil {
		return err
	}
	return g.renew(ctx, epoch, nil, outcomes)
}

// Bookings begins and finishes n bookings, with the given number in parallel, and adds
// rows with their rate, latency and cost at the leader.
func (c *LeaderClient) Bookings(ctx context.Context, rows Rows, n, parallel int) error {
	if err := c.findLeader(ctx); err != nil {
		return err
	}
	metrics := daemonMetricsAddress(c.leader)
	before, err := daemonUsage(metrics)
	if err != nil {
		return err
	}
	start, runID := time.Now(), time.Now().UnixNano()
	errs := make(chan error, parallel)
	for worker := range parallel {
		go func() {
			client := c.client(c.leader)
			var err error
			for i := worker; i < n && err == nil; i += parallel {
				err = makeBooking(ctx, client, fmt.Sprintf("booking-%d-%08d", runID, i), i)
			}
			errs <- err
		}()
	}
	for range parallel {
		if err := <-errs; err != nil {
			return Error.Wrap(err)
		}
	}
	seconds := time.Since(start).Seconds()
	after, err := daemonUsage(metrics)
	if err != nil {
		return err
	}
	size := float64(parallel)
	rows.Add("booking of three members: rate", size, float64(n)/seconds, "1/s")
	rows.Add("booking of three members: latency of begin and finish", size, seconds*1e3*size/float64(n), "ms")
	rows.addUsage("booking, leader", size, after.sub(before), float64(n))
	return nil
}

// makeBooking begins and finishes the booking number i under an idempotency key.
func makeBooking(ctx context.Context, client controlv1connect.ControlClient, key string, i int) error {
	bookingKey := &controlv1.BookingKey{Customer: fmt.Sprintf("/customers/g%d/c%06d", i%33, i%33_000), Key: key}
	attemptID := "attempt-" + key
	_, err := client.Booking(ctx, connect.NewRequest(&controlv1.BookingRequest{Request: &controlv1.BookingRequest_Begin{
		Begin: &controlv1.BeginBooking{Key: bookingKey, BodyHash: make([]byte, 32), AttemptId: attemptID, AtMs: time.Now().UnixMilli()},
	}}))
	if err != nil {
		return err
	}
	_, err = client.Booking(ctx, connect.NewRequest(&controlv1.BookingRequest{Request: &controlv1.BookingRequest_Finish{
		Finish: &controlv1.FinishBooking{Key: bookingKey, AttemptId: attemptID, Outcome: &controlv1.BookingOutcome{
			Status: 201, ContentType: "application/json", Body: []byte(`{"booking":"confirmed","crew":"torino-3"}`),
		}},
	}}))
	return err
}

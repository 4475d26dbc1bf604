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

// entryName stands for an entry in messages to a scheduler.
const entryName = "region-1-c-017"

// Scheduler sends the messages of an entry to the scheduler of a group.
type Scheduler struct {
	wire    wire
	pool    *transport.Pool
	client  schedulerv1connect.SchedulerClient
	metrics string
	group   string
	// endpoint names the announced endpoints, so that runs do not share them.
	endpoint string
}

// NewScheduler finds the holder of the first group of the service.
func NewScheduler(ctx context.Context, c *Control) (*Scheduler, error) {
	if err := c.find(ctx); err != nil {
		return nil, err
	}
	r, err := c.client(c.leader).Status(ctx, connect.NewRequest(&controlv1.StatusRequest{}))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s := &Scheduler{group: Service + "/0", endpoint: fmt.Sprintf("engine-%d", time.Now().UnixNano())}
	for _, a := range r.Msg.Assignments {
		if a.Group != s.group {
			continue
		}
		s.metrics = metricsAddress(a.Address)
		s.pool = transport.NewPool(transport.Options{Dial: s.wire.Dial, Sender: "10.101.17.27:8081", Clock: hlc.New(nil)})
		s.client = schedulerv1connect.NewSchedulerClient(s.pool.Peer(a.Address).Client())
		return s, nil
	}
	return nil, Error.New("group %s has no holder", s.group)
}

// measure runs f n times in turn and writes the cost at both ends.
func (s *Scheduler) measure(rows Rows, label string, size float64, n int, f func(i int) error) error {
	settle()
	begin := time.Now()
	before, err := daemonUsage(s.metrics)
	if err != nil {
		return err
	}
	own, in, out, segments := ownUsage(), s.wire.in.Load(), s.wire.out.Load(), s.wire.segments()
	for i := range n {
		if err := f(i); err != nil {
			return Error.Wrap(err)
		}
	}
	ownNow, seconds := ownUsage(), time.Since(begin).Seconds()
	after, err := daemonUsage(s.metrics)
	if err != nil {
		return err
	}
	rows.addWire(label, size, s.wire.in.Load()-in, s.wire.out.Load()-out, s.wire.segments()-segments, float64(n))
	rows.addUsage(label+", scheduler", size, after.since(before), float64(n))
	rows.addUsage(label+", caller", size, ownNow.since(own), float64(n))
	rows.Add(label+": round trip", size, seconds*1e6/float64(n), "us")
	return nil
}

func (s *Scheduler) announcement(i int, slots uint32) *schedulerv1.AnnounceRequest {
	return &schedulerv1.AnnounceRequest{Group: s.group, Endpoints: []*schedulerv1.Endpoint{{
		Id: fmt.Sprintf("%s-%03d", s.endpoint, i), Incarnation: 1796364729662000000, Service: Service, Kind: "engine", Address: "10.102.14.31:9000",
		Models: []string{Model}, Slots: slots, TokensPerSecond: 14, FailureDomain: "region-1-c", ChecksOrders: true, RefusesOldFencing: true,
		LeaseMs: 30_000, Load: &schedulerv1.Load{Running: 120, Waiting: 3, KvUsed: 0.7, MeasuredAtMs: time.Now().UnixMilli()},
	}}}
}

func (s *Scheduler) acquire(ctx context.Context, id string) (*schedulerv1.Grant, error) {
	r, err := s.client.Acquire(ctx, connect.NewRequest(&schedulerv1.AcquireRequest{Group: s.group, Entry: entryName, HoldMs: 500,
		Request: &schedulerv1.Request{
			Id: id, Customer: keyed, Class: "tier-1", Model: Model, PromptTokens: 900, MaxTokens: 600,
			Prefixes: []uint64{0x9e3779b97f4a7c15, 0xc2b2ae3d27d4eb4f, 0x165667b19e3779f9, 0xd6e8feb86659fd93}, MayRepeat: true,
		}}))
	if err != nil {
		return nil, err
	}
	if g := r.Msg.Grant; g != nil {
		return g, nil
	}
	return nil, Error.New("no grant for %s: %v", id, r.Msg.Refusal)
}

func (s *Scheduler) renew(ctx context.Context, epoch uint64, held []*schedulerv1.HeldGrant, released []*schedulerv1.Outcome) error {
	_, err := s.client.Renew(ctx, connect.NewRequest(&schedulerv1.RenewRequest{
		Group: s.group, Entry: entryName, Epoch: epoch, Held: held, Released: released,
	}))
	return err
}

// Run measures announcements, acquisitions with their releases, and renewals
// by the number of grants that they carry.
func (s *Scheduler) Run(ctx context.Context, rows Rows, held []int) error {
	const calls = 2000
	if err := s.measure(rows, "message announce", 1, calls, func(int) error {
		_, err := s.client.Announce(ctx, connect.NewRequest(s.announcement(0, 4096)))
		return err
	}); err != nil {
		return err
	}
	run := time.Now().UnixNano()
	id := func(kind string, i int) string { return fmt.Sprintf("%s-%d-%08d", kind, run, i) }
	var last *schedulerv1.Grant
	grants := make([]*schedulerv1.Grant, calls)
	err := s.measure(rows, "message acquire", 1, calls, func(i int) (err error) {
		last, err = s.acquire(ctx, id("a", i))
		grants[i] = last
		return err
	})
	if err != nil {
		return err
	}
	err = s.measure(rows, "message renew with one release", 1, calls, func(i int) error {
		return s.renew(ctx, last.Epoch, nil, []*schedulerv1.Outcome{{GrantId: grants[i].Id, Tokens: 422, FirstTokenMs: 200, DurationMs: 25_000}})
	})
	if err != nil {
		return err
	}
	for _, n := range held {
		if err := s.renewals(ctx, rows, n, func(i int) string { return id(fmt.Sprint("h", n), i) }); err != nil {
			return err
		}
	}
	return nil
}

// renewals measures Renew with n grants in use, and gives them back.
func (s *Scheduler) renewals(ctx context.Context, rows Rows, n int, id func(int) string) error {
	var list []*schedulerv1.HeldGrant
	var back []*schedulerv1.Outcome
	var epoch uint64
	for i := range n {
		g, err := s.acquire(ctx, id(i))
		if err != nil {
			return err
		}
		epoch = g.Epoch
		list = append(list, &schedulerv1.HeldGrant{GrantId: g.Id, RequestId: id(i), Endpoint: g.Endpoint, Customer: keyed, Class: "tier-1", Epoch: g.Epoch})
		back = append(back, &schedulerv1.Outcome{GrantId: g.Id, Tokens: 422, FirstTokenMs: 200, DurationMs: 25_000})
	}
	err := s.measure(rows, "message renew by grants in use", float64(n), 1000, func(int) error { return s.renew(ctx, epoch, list, nil) })
	if err != nil {
		return err
	}
	return s.renew(ctx, epoch, nil, back)
}

// Bookings begins and finishes n bookings with the given number at once.
func (c *Control) Bookings(ctx context.Context, rows Rows, n, parallel int) error {
	if err := c.find(ctx); err != nil {
		return err
	}
	metrics := metricsAddress(c.leader)
	before, err := daemonUsage(metrics)
	if err != nil {
		return err
	}
	begin, run := time.Now(), time.Now().UnixNano()
	errs := make(chan error, parallel)
	for w := range parallel {
		go func() {
			client := c.client(c.leader)
			var err error
			for i := w; i < n && err == nil; i += parallel {
				err = book(ctx, client, fmt.Sprintf("booking-%d-%08d", run, i), i)
			}
			errs <- err
		}()
	}
	for range parallel {
		if err := <-errs; err != nil {
			return Error.Wrap(err)
		}
	}
	seconds := time.Since(begin).Seconds()
	after, err := daemonUsage(metrics)
	if err != nil {
		return err
	}
	size := float64(parallel)
	rows.Add("booking of three members: rate", size, float64(n)/seconds, "1/s")
	rows.Add("booking of three members: latency of begin and finish", size, seconds*1e3*size/float64(n), "ms")
	rows.addUsage("booking, leader", size, after.since(before), float64(n))
	return nil
}

func book(ctx context.Context, client controlv1connect.ControlClient, key string, i int) error {
	k := &controlv1.BookingKey{Customer: fmt.Sprintf("/customers/g%d/c%06d", i%33, i%33_000), Key: key}
	attempt := "attempt-" + key
	_, err := client.Booking(ctx, connect.NewRequest(&controlv1.BookingRequest{Request: &controlv1.BookingRequest_Begin{
		Begin: &controlv1.BeginBooking{Key: k, BodyHash: make([]byte, 32), AttemptId: attempt, AtMs: time.Now().UnixMilli()},
	}}))
	if err != nil {
		return err
	}
	_, err = client.Booking(ctx, connect.NewRequest(&controlv1.BookingRequest{Request: &controlv1.BookingRequest_Finish{
		Finish: &controlv1.FinishBooking{Key: k, AttemptId: attempt, Outcome: &controlv1.BookingOutcome{
			Status: 201, ContentType: "application/json", Body: []byte(`{"booking":"confirmed","crew":"torino-3"}`),
		}},
	}}))
	return err
}

package capacity

import (
	"context"
	"encoding/hex"
	"fmt"
	"net"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/rpc/controlv1/controlv1connect"
	"auburnstep.example/auburnstep/internal/rpc/transport"
	"auburnstep.example/auburnstep/internal/settings"
)

// Names and sizes of the settings that AddCustomers creates.
const (
	// Service is the engine service that the requests of the measurements use.
	Service = "capacity-pool"
	// Model is the model that requests ask for and announced endpoints serve.
	Model = "capacity-1"
	// CustomerKey is the bearer key of the first customer, number 0.
	CustomerKey = "capacity-key-000000"

	plainService       = "capacity-plain"
	modelCount         = 5
	customersPerChange = 1000
	changeRetryTimeout = 10 * time.Second
	firstCustomerPath  = "/customers/g0/c000000"
)

// LeaderClient calls the leader of the control members. It is not safe for
// concurrent use.
type LeaderClient struct {
	addresses       []string
	pool            *transport.Pool
	leader          string
	settingsVersion uint64
	// retries counts the failed attempts of changeWithRetry.
	retries int
}

// NewLeaderClient returns a client of the control members with the given peer
// addresses.
func NewLeaderClient(addresses []string) *LeaderClient {
	return &LeaderClient{addresses: addresses, pool: transport.NewPool(transport.Options{Timeout: 30 * time.Second})}
}

func (c *LeaderClient) client(address string) controlv1connect.ControlClient {
	return controlv1connect.NewControlClient(c.pool.Peer(address).Client())
}

// findLeader polls the members until one reports itself as the leader, and records
// its address and settings version.
func (c *LeaderClient) findLeader(ctx context.Context) error {
	for ; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		for _, address := range c.addresses {
			resp, err := c.client(address).Status(ctx, connect.NewRequest(&controlv1.StatusRequest{}))
			if err != nil || resp.Msg.LeaderAddress != address {
				continue
			}
			c.leader, c.settingsVersion = address, resp.Msg.SettingsVersion
			return nil
		}
	}
	return Error.New("no control member reported itself as the leader")
}

// daemonMetricsAddress returns the metrics address of the daemon with a peer
// address. scripts/capacity.sh gives every daemon its own host, peer port 7001 and
// metrics port 7002.
func daemonMetricsAddress(peer string) string {
	host, _, _ := net.SplitHostPort(peer)
	return net.JoinHostPort(host, "7002")
}

// change proposes one settings change on top of the last known version, and returns
// the time until the leader accepted it.
func (c *LeaderClient) change(ctx context.Context, ops []*controlv1.Operation) (time.Duration, error) {
	start := time.Now()
	resp, err := c.client(c.leader).Change(ctx, connect.NewRequest(&controlv1.ChangeRequest{Change: &controlv1.Change{
		ChangeId: fmt.Sprintf("capacity-%d-%d", c.settingsVersion, start.UnixNano()), BaseVersion: c.settingsVersion, Actor: "capacity", Operations: ops,
	}}))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	if outcome := resp.Msg.GetResult().GetOutcome(); outcome != controlv1.ChangeResult_ACCEPTED {
		return 0, Error.New("settings change was not accepted: %v %s", outcome, resp.Msg.GetResult().GetMessage())
	}
	c.settingsVersion = resp.Msg.Result.Version
	return time.Since(start), nil
}

func putNode(path, kind string) *controlv1.Operation {
	return &controlv1.Operation{Kind: controlv1.Operation_NODE_PUT, Path: path, NodeKind: kind}
}

func setKey(path, key, value string) *controlv1.Operation {
	return &controlv1.Operation{Kind: controlv1.Operation_KEY_SET, Path: path, Key: key, Value: value}
}

// baseSettings returns the operations that create an engine service with one class
// per tier, and a plain service for bookings.
func baseSettings() []*controlv1.Operation {
	service := "/services/" + Service
	ops := []*controlv1.Operation{
		putNode("/services", "group"), putNode(service, "service"), setKey(service, settings.KeyKind, "engine"),
		setKey(service, settings.KeyClassDefault, "tier-1"), setKey(service, settings.KeySchedulerGroups, "1"),
		setKey(service, settings.KeyQueueMax, "1000000"),
	}
	for tier := range 3 {
		class := fmt.Sprintf("%s/tier-%d", service, tier)
		ops = append(ops, putNode(class, "class"), setKey(class, settings.KeyTier, fmt.Sprint(tier)),
			setKey(class, settings.KeyIdempotent, "true"), setKey(class, settings.KeyDeadline, "10m"))
	}
	plain := "/services/" + plainService
	return append(ops, putNode(plain, "service"), setKey(plain, settings.KeyKind, "plain"),
		putNode(plain+"/booking", "class"), setKey(plain+"/booking", settings.KeyTier, "0"))
}

// customerOperations returns the operations that create the customers first to
// last-1, in groups of 1,000. Each customer has one key, a concurrency limit and a
// weight.
func customerOperations(first, last int) []*controlv1.Operation {
	var ops []*controlv1.Operation
	for i := first; i < last; i++ {
		group := fmt.Sprintf("/customers/g%d", i/1000)
		if i%1000 == 0 {
			ops = append(ops, putNode(group, "group"))
		}
		hash := settings.HashKey(fmt.Sprintf("capacity-key-%06d", i))
		path := fmt.Sprintf("%s/c%06d", group, i)
		ops = append(ops, putNode(path, "customer"), setKey(path, settings.KeyHashes, hex.EncodeToString(hash[:])),
			setKey(path, settings.KeyConcurrency, "100000"), setKey(path, settings.KeyWeight, "3"))
	}
	return ops
}

// AddCustomers raises the number of customers from existing to total and sets the
// number of scheduler groups of the service. It creates the base settings first if
// there are none. It adds a row with the duration of the last change, which adds up
// to 1,000 customers, and a row with the number of retries.
func (c *LeaderClient) AddCustomers(ctx context.Context, rows Rows, existing, total, groups int) error {
	if err := c.findLeader(ctx); err != nil {
		return err
	}
	if c.settingsVersion == 0 {
		if _, err := c.change(ctx, append(baseSettings(), putNode("/customers", "group"))); err != nil {
			return err
		}
	}
	for i := existing; i < total; i += customersPerChange {
		elapsed, err := c.changeWithRetry(ctx, customerOperations(i, min(i+customersPerChange, total)))
		if err != nil {
			return err
		}
		if i+customersPerChange >= total {
			rows.Add("settings: time of the change that adds the last customers", float64(total), float64(elapsed.Microseconds())/1000, "ms")
		}
	}
	rows.Add("settings: changes that had to be made again", float64(total), float64(c.retries), "")
	return c.setSchedulerGroups(ctx, groups)
}

func (c *LeaderClient) setSchedulerGroups(ctx context.Context, groups int) error {
	resp, err := c.client(c.leader).Settings(ctx, connect.NewRequest(&controlv1.SettingsRequest{}))
	if err != nil {
		return Error.Wrap(err)
	}
	path := "/services/" + Service
	for _, node := range resp.Msg.GetSettings().GetNodes() {
		if node.Path == path && node.Values[settings.KeySchedulerGroups] == fmt.Sprint(groups) {
			return nil
		}
	}
	_, err = c.change(ctx, []*controlv1.Operation{setKey(path, settings.KeySchedulerGroups, fmt.Sprint(groups))})
	return err
}

// changeWeight changes the weight of the first customer, as an example of a small
// change.
func (c *LeaderClient) changeWeight(ctx context.Context) (time.Duration, error) {
	return c.changeWithRetry(ctx, []*controlv1.Operation{setKey(firstCustomerPath, settings.KeyWeight, fmt.Sprint(time.Now().UnixNano()%900+4))})
}

// changeWithRetry makes a settings change and retries it at the current leader, up
// to changeRetryTimeout, for instance during a change of leader. If the response to
// an accepted change is lost, the operations are applied twice.
func (c *LeaderClient) changeWithRetry(ctx context.Context, ops []*controlv1.Operation) (time.Duration, error) {
	start := time.Now()
	for {
		_, err := c.change(ctx, ops)
		if err == nil {
			return time.Since(start), nil
		}
		c.retries++
		if time.Since(start) > changeRetryTimeout {
			return 0, err
		}
		if err := c.findLeader(ctx); err != nil {
			return 0, err
		}
	}
}

// GroupHolderName returns an instance name whose rendezvous hash for the first group
// of the service is higher than that of almost all other names. The instance with
// this name is assigned the group, so that the scheduler runs on an instance separate
// from the control members.
func GroupHolderName() string {
	const minHash = 1<<64 - 1<<44 // the top 2^-20 of all hashes
	for i := 0; ; i++ {
		name := fmt.Sprintf("scheduler-%07d", i)
		if xxhash.Sum64String(Service+"/0\x00"+name) >= minHash {
			return name
		}
	}
}

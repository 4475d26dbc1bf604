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

// Service and class names of the settings that Load makes.
const (
	Service = "capacity-pool"
	Model   = "capacity-1"
	// Key is the bearer key of the first customer.
	Key = "capacity-key-000000"

	plainService = "capacity-plain"
	models       = 5
	changeBatch  = 1000
	persistBound = 10 * time.Second
	keyed        = "/customers/g0/c000000"
)

// Control calls the leader of a set of control members.
type Control struct {
	addresses []string
	pool      *transport.Pool
	leader    string
	version   uint64
	// failures counts changes that had to be made again.
	failures int
}

// NewControl returns a caller of the given members.
func NewControl(addresses []string) *Control {
	return &Control{addresses: addresses, pool: transport.NewPool(transport.Options{Timeout: 30 * time.Second})}
}

func (c *Control) client(address string) controlv1connect.ControlClient {
	return controlv1connect.NewControlClient(c.pool.Peer(address).Client())
}

// find waits for a leader and notes its settings version.
func (c *Control) find(ctx context.Context) error {
	for ; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		for _, a := range c.addresses {
			r, err := c.client(a).Status(ctx, connect.NewRequest(&controlv1.StatusRequest{}))
			if err != nil || r.Msg.LeaderAddress != a {
				continue
			}
			c.leader, c.version = a, r.Msg.SettingsVersion
			return nil
		}
	}
	return Error.New("no leader answered")
}

// metricsAddress returns the address of a daemon's metrics: by convention of
// scripts/capacity.sh the port after the peer port.
func metricsAddress(peer string) string {
	host, _, _ := net.SplitHostPort(peer)
	return net.JoinHostPort(host, "7002")
}

// change makes one settings change and returns how long it took.
func (c *Control) change(ctx context.Context, ops []*controlv1.Operation) (time.Duration, error) {
	begin := time.Now()
	r, err := c.client(c.leader).Change(ctx, connect.NewRequest(&controlv1.ChangeRequest{Change: &controlv1.Change{
		ChangeId: fmt.Sprintf("capacity-%d-%d", c.version, begin.UnixNano()), BaseVersion: c.version, Actor: "capacity", Operations: ops,
	}}))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	if o := r.Msg.GetResult().GetOutcome(); o != controlv1.ChangeResult_ACCEPTED {
		return 0, Error.New("change was not accepted: %v %s", o, r.Msg.GetResult().GetMessage())
	}
	c.version = r.Msg.Result.Version
	return time.Since(begin), nil
}

func put(path, kind string) *controlv1.Operation {
	return &controlv1.Operation{Kind: controlv1.Operation_NODE_PUT, Path: path, NodeKind: kind}
}

func set(path, key, value string) *controlv1.Operation {
	return &controlv1.Operation{Kind: controlv1.Operation_KEY_SET, Path: path, Key: key, Value: value}
}

// base returns a service of three classes, one of each tier, and a plain one.
func base() []*controlv1.Operation {
	service := "/services/" + Service
	ops := []*controlv1.Operation{
		put("/services", "group"), put(service, "service"), set(service, settings.KeyKind, "engine"),
		set(service, settings.KeyClassDefault, "tier-1"), set(service, settings.KeySchedulerGroups, "1"),
		set(service, settings.KeyQueueMax, "1000000"),
	}
	for tier := range 3 {
		class := fmt.Sprintf("%s/tier-%d", service, tier)
		ops = append(ops, put(class, "class"), set(class, settings.KeyTier, fmt.Sprint(tier)),
			set(class, settings.KeyIdempotent, "true"), set(class, settings.KeyDeadline, "10m"))
	}
	plain := "/services/" + plainService
	return append(ops, put(plain, "service"), set(plain, settings.KeyKind, "plain"),
		put(plain+"/booking", "class"), set(plain+"/booking", settings.KeyTier, "0"))
}

// customers returns the operations for customers first to last-1: each has one
// key and two limits, in groups of 1,000.
func customers(first, last int) []*controlv1.Operation {
	var ops []*controlv1.Operation
	for i := first; i < last; i++ {
		group := fmt.Sprintf("/customers/g%d", i/1000)
		if i%1000 == 0 {
			ops = append(ops, put(group, "group"))
		}
		hash := settings.HashKey(fmt.Sprintf("capacity-key-%06d", i))
		path := fmt.Sprintf("%s/c%06d", group, i)
		ops = append(ops, put(path, "customer"), set(path, settings.KeyHashes, hex.EncodeToString(hash[:])),
			set(path, settings.KeyConcurrency, "100000"), set(path, settings.KeyWeight, "3"))
	}
	return ops
}

// Load adds customers until there are n, with the given number of scheduler
// groups, and measures the last change that adds one thousand of them.
func (c *Control) Load(ctx context.Context, rows Rows, present, n, groups int) error {
	if err := c.find(ctx); err != nil {
		return err
	}
	if c.version == 0 {
		if _, err := c.change(ctx, append(base(), put("/customers", "group"))); err != nil {
			return err
		}
	}
	for i := present; i < n; i += changeBatch {
		took, err := c.persist(ctx, customers(i, min(i+changeBatch, n)))
		if err != nil {
			return err
		}
		if i+changeBatch >= n {
			rows.Add("settings: time of the change that adds the last customers", float64(n), float64(took.Microseconds())/1000, "ms")
		}
	}
	rows.Add("settings: changes that had to be made again", float64(n), float64(c.failures), "")
	return c.setGroups(ctx, groups)
}

func (c *Control) setGroups(ctx context.Context, groups int) error {
	r, err := c.client(c.leader).Settings(ctx, connect.NewRequest(&controlv1.SettingsRequest{}))
	if err != nil {
		return Error.Wrap(err)
	}
	path := "/services/" + Service
	for _, n := range r.Msg.GetSettings().GetNodes() {
		if n.Path == path && n.Values[settings.KeySchedulerGroups] == fmt.Sprint(groups) {
			return nil
		}
	}
	_, err = c.change(ctx, []*controlv1.Operation{set(path, settings.KeySchedulerGroups, fmt.Sprint(groups))})
	return err
}

// touch changes one limit of one customer.
func (c *Control) touch(ctx context.Context) (time.Duration, error) {
	return c.persist(ctx, []*controlv1.Operation{set(keyed, settings.KeyWeight, fmt.Sprint(time.Now().UnixNano()%900+4))})
}

// persist makes a change, and makes it again while no leader takes it;
// failures counts these. Operations may be applied twice.
func (c *Control) persist(ctx context.Context, ops []*controlv1.Operation) (time.Duration, error) {
	begin := time.Now()
	for {
		_, err := c.change(ctx, ops)
		if err == nil {
			return time.Since(begin), nil
		}
		c.failures++
		if time.Since(begin) > persistBound {
			return 0, err
		}
		if err := c.find(ctx); err != nil {
			return 0, err
		}
	}
}

// HolderName returns an instance name that wins the assignment of the first
// group of the service against almost all others, so that the scheduler runs on
// an instance of its own.
func HolderName() string {
	const high = 1<<64 - 1<<44
	for i := 0; ; i++ {
		name := fmt.Sprintf("scheduler-%07d", i)
		if xxhash.Sum64String(Service+"/0\x00"+name) >= high {
			return name
		}
	}
}

// Package schedulerhost serves the scheduler groups whose lease this instance holds. Each
// group has a scheduler.Core, which is accessed by one goroutine only.
package schedulerhost

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/kernel"
	controlv1 "auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/rpc/schedulerv1/schedulerv1connect"
	"auburnstep.example/auburnstep/internal/settings"
)

// Error is the class of errors of this package.
var Error = errs.Class("scheduler host")

// ErrNotHolder is returned for a group that this instance does not schedule, or whose
// lease has expired.
var ErrNotHolder = errs.Class("not the scheduler of the group")

const (
	// reconcileInterval is how often the held groups are compared with the leases.
	reconcileInterval = 50 * time.Millisecond
	// reportInterval is how often a group refreshes the load it reports.
	reportInterval = 200 * time.Millisecond
)

var (
	eventStarted = event.Define(4001, "group-started", event.Info, "started scheduling a group of endpoints")
	eventStopped = event.Define(4002, "group-stopped", event.Info, "stopped scheduling a group of endpoints")
	eventGranted = event.Define(4010, "request-granted", event.Debug, "granted an endpoint to a request")
	eventRefused = event.Define(4011, "request-refused", event.Info, "refused a request before it reached an endpoint")
	eventJoined  = event.Define(4020, "endpoint-joined", event.Info, "a scheduler learned of an endpoint")
	eventLeft    = event.Define(4021, "endpoint-left", event.Info, "a scheduler no longer holds a lease of an endpoint")
	eventResync  = event.Define(4012, "cache-resync", event.Debug, "requested the complete list of cached prefixes from an endpoint")
)

// Lease is the right to schedule one group until a point on the local
// monotonic clock.
type Lease struct {
	Group string
	Epoch uint64
	Until time.Time
}

// Source is this instance's view of the control plane.
type Source interface {
	// Leases returns the groups that this instance may schedule now.
	Leases() []Lease
	// Lease returns the lease of one group.
	Lease(group string) (Lease, bool)
	// Index returns the settings in force.
	Index() *settings.Index
	// Entries returns the names of the live instances.
	Entries() []string
}

// Peers finds the instance that schedules a group.
type Peers interface {
	Holder(group string) (address string, epoch uint64, ok bool)
}

// Dialer returns the scheduler client for a peer address.
type Dialer func(address string) schedulerv1connect.SchedulerClient

// Host runs the scheduler groups of one instance. It is a kernel.Service and the connect
// handler of scheduler.v1.Scheduler.
type Host struct {
	kernel.Base
	source Source
	events *event.Recorder
	scope  tally.Scope

	// peers and dial are used to reach the owners of shared budgets.
	peers Peers
	dial  Dialer

	mu      sync.Mutex
	groups  map[string]*group
	stopped bool
	// lastEpochs holds, by group, the last epoch under which this host started it.
	lastEpochs map[string]uint64
}

// New returns a host without groups.
func New(source Source, events *event.Recorder, scope tally.Scope) *Host {
	return &Host{source: source, events: events, scope: scope.SubScope("scheduler"), groups: make(map[string]*group), lastEpochs: make(map[string]uint64)}
}

// SetPeers sets how the host reaches the schedulers of other groups. Without this call
// no service can have more than one group.
func (h *Host) SetPeers(peers Peers, dial Dialer) { h.peers, h.dial = peers, dial }

// Start runs the groups whose lease this instance holds until ctx ends.
func (h *Host) Start(ctx context.Context) error {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	defer h.stopAll()
	for {
		h.reconcile(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Stop implements kernel.Service. It stops all groups, so that their leases can be
// released to other instances.
func (h *Host) Stop(context.Context) error {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	h.stopAll()
	return nil
}

// reconcile starts the groups of new leases and stops those whose lease has ended or has a
// new epoch, or whose service changed between one group and several. A new epoch always
// gets a new core.
func (h *Host) reconcile(ctx context.Context) {
	leases := h.source.Leases()
	leasedEpochs := make(map[string]uint64, len(leases))
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return
	}
	for _, l := range leases {
		leasedEpochs[l.Group] = l.Epoch
	}
	for name, g := range h.groups {
		if epoch, ok := leasedEpochs[name]; !ok || epoch != g.epoch || g.sharedLimits != needsSharedLimits(h.source.Index(), g.service) {
			h.stop(name, g)
		}
	}
	for _, l := range leases {
		if _, ok := h.groups[l.Group]; !ok {
			h.start(ctx, l)
		}
	}
}

func (h *Host) start(ctx context.Context, l Lease) {
	g, ok := newGroup(h, l, h.lastEpochs[l.Group] == l.Epoch)
	if !ok {
		return
	}
	h.groups[l.Group], h.lastEpochs[l.Group] = g, l.Epoch
	h.events.Emit(eventStarted, event.F("group", l.Group), event.F("epoch", l.Epoch))
	go g.run(ctx)
	go g.pushTicks(ctx)
	if g.sharedLimits {
		go g.renewShares(ctx)
	}
}

func (h *Host) stop(name string, g *group) {
	delete(h.groups, name)
	g.close()
	h.events.Emit(eventStopped, event.F("group", name), event.F("epoch", g.epoch))
}

func (h *Host) stopAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, g := range h.groups {
		h.stop(name, g)
	}
}

// lookup returns a running group whose lease has not expired.
func (h *Host) lookup(name string) (*group, error) {
	h.mu.Lock()
	g, ok := h.groups[name]
	h.mu.Unlock()
	if !ok || !g.holdsLease() {
		return nil, ErrNotHolder.New("%s", name)
	}
	return g, nil
}

// Reports returns the load of all groups for the control leader.
func (h *Host) Reports() []*controlv1.GroupReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*controlv1.GroupReport, 0, len(h.groups))
	for _, g := range h.groups {
		if r := g.latestReport.Load(); r != nil {
			out = append(out, r)
		}
	}
	return out
}

package daemon

import (
	"cmp"
	"context"
	"io"
	stdlog "log"
	"net"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"auburnstep.example/auburnstep/internal/control"
	"auburnstep.example/auburnstep/internal/control/feed"
	"auburnstep.example/auburnstep/internal/directory"
	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/duty"
	"auburnstep.example/auburnstep/internal/entryweight"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/fairshare"
	"auburnstep.example/auburnstep/internal/hlc"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/metrics"
	"auburnstep.example/auburnstep/internal/router"
	controlv1 "auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1/directoryv1connect"
	"auburnstep.example/auburnstep/internal/rpc/transport"
	"auburnstep.example/auburnstep/internal/usage"
)

// Names under which the services that only a RoutedDaemon has are registered in the
// kernel.
const (
	ServiceDirectory       = "directory"
	ServiceDirectoryClient = "directory-client"
	ServiceRouter          = "router"
	ServiceDuties          = "duties"
	ServiceRoomWatch       = "room-watch"
)

// RoutedConfig holds the process settings of an instance that serves a routing
// table. The instance is an entry, a control member, or both.
type RoutedConfig struct {
	Instance, FailureDomain, Cluster string
	// PeerListen is the address on which the instance listens for other instances.
	// They also connect to it under this address.
	PeerListen string
	// Peers lists addresses of control members. With BootstrapCluster, they form a new cluster.
	Peers            []string
	BootstrapCluster bool
	// DataDirectory is the data directory. If it is empty, the instance is not a control member.
	DataDirectory string
	// EntryListen is the address for callers. If it is empty, the instance is not an entry.
	EntryListen string
	// MetricsListen is the address for GET /metrics. If it is empty, metrics are not served.
	MetricsListen string
	Retry         dispatch.RetryRules
	// Memory is the memory limit of the process in bytes, 0 for a default. BodyMemory is the part
	// of it for buffered bodies, 0 for the default.
	Memory, BodyMemory int64
	// CatchUp is passed to control.Options, 0 for the default.
	CatchUp time.Duration
	// Disk is the size of the disk of the data directory in bytes, 0 if not known.
	Disk int64
	// MaxFDs is the limit of descriptors of the process, 0 for that of the system.
	MaxFDs int
	// DrainWait and Grace are passed to router.Options.
	DrainWait, Grace time.Duration
	// AllowUnauthenticatedPeers permits the instance to run without PeerToken; see AllowUnauthenticated of
	// transport.ServerOptions.
	AllowUnauthenticatedPeers bool
	PeerToken                 string
	LogLevel                  logrus.Level
	Duties                    Duties
	// Capacity holds the resources of the instance. An entry reports its room to the control
	// members if the number of its cores is known.
	Capacity entryweight.Capacity
}

// Duties names the calls to the platform that one instance at a time makes for the system.
// The zero value has none.
type Duties struct {
	// Metering is the report of usage by customer, Autoscaling the ordering of endpoints.
	Metering, Autoscaling bool
	// Lease is the time within which holders of a duty must not act in the order A, B, A.
	Lease time.Duration
	// UsageWindow is the length of the windows of usage. The report of a window is due
	// UsageDue after its end.
	UsageWindow, UsageDue time.Duration
	// CallsPerS bounds the calls per second of all instances together.
	CallsPerS float64
	// Client calls the platform. It must be set if there is a duty.
	Client duty.Client
}

// any reports whether there is a duty.
func (d *Duties) any() bool { return d.Metering || d.Autoscaling }

// RoutedDaemon is an instance that serves a routing table.
type RoutedDaemon struct {
	Config RoutedConfig
	Events *event.Recorder
	// Member and Directory are nil unless the instance is a control member, Router is
	// nil unless it is an entry.
	Member    *control.Member
	Directory *directory.Service
	Router    *router.Server
	// DutyCaller makes the calls of duties. It is nil unless the instance is a control member
	// and there is a duty.
	DutyCaller *duty.Caller
	// Usage sums the usage of all entries. It is nil unless the instance is a control member
	// and usage is reported.
	Usage *usage.Collector

	kernel          *kernel.Kernel
	clock           *hlc.Clock
	metrics         *metrics.Metrics
	guards          *guards
	pool            *transport.Pool
	peers           *transport.Server
	feed            *feed.Client
	directoryClient *directory.Client
	crashes         *directory.Crashes
	room            *roomWatch
	log             *event.AsyncWriter
	// seeds are the addresses of control members in the settings. SetSeeds replaces
	// them when the settings change.
	seeds atomic.Pointer[[]string]
}

// NewRoutedDaemon creates and registers the services of an instance. It opens the
// listeners, so that an address in use is an error before any service starts.
func NewRoutedDaemon(c RoutedConfig, codec router.Codec, log io.Writer) (*RoutedDaemon, error) {
	clock := hlc.New(nil)
	asyncLog := event.NewAsyncWriter(log)
	d := &RoutedDaemon{
		Config: c, kernel: kernel.New(), clock: clock, metrics: metrics.New(c.Instance), log: asyncLog,
		Events: event.NewRecorder(c.Instance, clock, asyncLog, c.LogLevel),
	}
	d.crashes = directory.NewCrashes(d.Events, d.metrics.Scope)
	d.guards = newGuards(routedMemory(cmp.Or(c.Memory, defaultMemory())), c.MaxFDs, c.DataDirectory == "", d.Events, d.metrics.Scope)
	// Some libraries log to the standard logger. Record their lines as events.
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryLog{d.Events})
	d.SetSeeds(c.Peers)
	steps := []func() error{d.registerMetrics, d.registerSuspensionWatch, d.registerPeers}
	if c.DataDirectory != "" {
		steps = append(steps, d.registerMember, d.registerDuties)
	}
	if c.EntryListen != "" {
		steps = append(steps, func() error { return d.registerEntry(codec) })
	}
	if c.DataDirectory != "" && c.Duties.Autoscaling {
		steps = append(steps, d.registerFleet) // It uses the directory client of an entry.
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// AddService registers an additional service. It starts after the services that are
// registered already and stops before them.
func (d *RoutedDaemon) AddService(name string, s kernel.Service) error {
	return d.kernel.Register(name, s)
}

// SetSeeds replaces the addresses of control members from the settings.
func (d *RoutedDaemon) SetSeeds(addresses []string) {
	d.seeds.Store(&addresses)
	if d.feed != nil {
		d.feed.SetSeeds(addresses)
	}
}

// Run runs the instance. When stop is closed, it drains the instance and returns;
// when kill is closed, it returns immediately.
func (d *RoutedDaemon) Run(stop, kill <-chan struct{}) error {
	c := &d.Config
	d.guards.plan.limitHeap()
	d.Events.Emit(eventStarted, event.F("failure_domain", c.FailureDomain), event.F("listen", c.EntryListen),
		event.F("peer_listen", c.PeerListen), event.F("control_member", c.DataDirectory != ""), event.F("founding", c.BootstrapCluster), event.F("peers", c.Peers))
	err := d.kernel.Run(stop, kill)
	d.Events.Emit(eventStopped, event.F("error", err), event.F("log_lines_dropped", d.log.Dropped()))
	d.pool.Close()
	closeErr := d.metrics.Close()
	d.log.Close()
	if err == nil {
		err = closeErr
	}
	return err
}

func (d *RoutedDaemon) registerMetrics() error {
	if d.Config.MetricsListen == "" {
		return nil
	}
	l, err := net.Listen("tcp", d.Config.MetricsListen)
	if err != nil {
		return Error.Wrap(err)
	}
	healthy := func() bool { return d.Router == nil || d.Router.Ready() }
	return d.kernel.Register(ServiceMetrics, newMetricsServer(d.guards, l, d.metrics, healthy))
}

func (d *RoutedDaemon) registerSuspensionWatch() error {
	return d.kernel.Register(ServiceSuspensionWatch, newSuspensionWatch(d.Events))
}

func (d *RoutedDaemon) registerPeers() error {
	l, err := net.Listen("tcp", d.Config.PeerListen)
	if err != nil {
		return Error.Wrap(err)
	}
	var tokens transport.Tokens
	if d.Config.PeerToken != "" {
		tokens.Peers = []string{d.Config.PeerToken}
	}
	guard := d.guards.guard(listenerOptions{name: listenerPeers, countBodies: true, maxHeaderBytes: maxServiceHeaderBytes})
	d.peers = transport.NewServer(transport.ServerOptions{
		Address: d.Config.PeerListen, Listener: l, Wrap: guard.Listener, Configure: guard.Configure, AllowUnauthenticated: d.Config.AllowUnauthenticatedPeers, Tokens: tokens, Clock: d.clock, Scope: d.metrics.Scope,
	})
	d.pool = transport.NewPool(transport.Options{
		Token: d.Config.PeerToken, Sender: d.Config.PeerListen, Clock: d.clock, Scope: d.metrics.Scope,
	})
	return d.kernel.Register(ServicePeers, d.peers)
}

func (d *RoutedDaemon) registerMember() error {
	var initial []string
	if d.Config.BootstrapCluster {
		initial = d.Config.Peers
	}
	d.Member = control.NewMember(control.Options{
		Cluster: d.Config.Cluster, Instance: d.Config.Instance, Address: d.Config.PeerListen,
		InitialMembers: initial, Peers: d.Config.Peers, Storage: control.NewDirStorage(d.Config.DataDirectory, directory.StoredFiles...),
		Network: control.NewNetwork(d.pool), Events: d.Events, Scope: d.metrics.Scope, Seed: instanceSeed(d.Config.Instance),
		ReplaceLostVoters: true, CatchUp: d.Config.CatchUp, UsageWindow: d.usageWindow(), Limits: control.LimitsFor(cmp.Or(d.Config.Memory, defaultMemory()), d.Config.Disk),
	})
	control.NewService(d.Member).Register(d.peers)
	d.Directory = directory.NewService(d.Events, d.crashes, d.Config.DataDirectory)
	d.Directory.SetPeers(directory.Peers{
		Self: d.Config.PeerListen, Voters: d.Member.VoterAddresses,
		Dial: func(address string) directoryv1connect.DirectoryClient {
			return directoryv1connect.NewDirectoryClient(d.pool.Peer(address).Client())
		},
	})
	d.Usage = d.newUsageCollector()
	d.Directory.SetUsage(d.Usage)
	d.Directory.SetScope(d.metrics.Scope)
	d.Directory.Register(d.peers)
	if err := d.kernel.Register(ServiceControl, d.Member); err != nil {
		return err
	}
	return d.kernel.Register(ServiceDirectory, d.Directory)
}

func (d *RoutedDaemon) registerEntry(codec router.Codec) error {
	l, err := net.Listen("tcp", d.Config.EntryListen)
	if err != nil {
		return Error.Wrap(err)
	}
	d.feed = feed.NewClient(feed.Options{
		Members: d.Config.Peers, MemberClient: feed.NewMemberClient(d.pool), Self: d.entryInfo, Events: d.Events, Scope: d.metrics.Scope,
	})
	started := time.Now()
	limits, counter, customers := directory.NewLimits(d.metrics.Scope), d.newUsageCounter(started), fairshare.NewEntry()
	var demand func() []*directoryv1.ServiceDemand
	if d.Config.Duties.Autoscaling {
		demand = func() []*directoryv1.ServiceDemand { return d.Router.Demand() }
	}
	d.directoryClient = directory.NewClient(directory.ClientOptions{
		Pool: d.pool, Members: d.memberAddresses, Self: d.directoryEntry, Loads: func() map[string]dispatch.Load { return d.Router.Loads() },
		Busy: func() bool { return d.Router.Busy() }, Crashes: d.crashes, Limits: limits, Usage: counter, Demand: demand, ProcessStart: started,
		Customers: customers, Events: d.Events, Scope: d.metrics.Scope,
	})
	guard := d.guards.guard(listenerOptions{name: ServiceRouter, headCopies: routerHeadCopies})
	d.Router = router.New(router.Options{
		Listener: guard.Listener(l, nil), Configure: guard.Configure, MakeRoom: guard.MakeRoom, Account: d.guards.account.Budget, Codec: codec, Domain: d.Config.FailureDomain,
		Routing: d.routingTable, CurrentTable: d.currentTable,
		Directory: d.directoryClient, Retry: d.Config.Retry, BodyMemory: d.Config.BodyMemory, DrainWait: d.Config.DrainWait, Grace: d.Config.Grace,
		Crashes: d.crashes, Limits: limits, Usage: counter, Customers: customers, Events: d.Events, Scope: d.metrics.Scope,
	})
	if err := d.registerRoomWatch(); err != nil {
		return err
	}
	if err := d.kernel.Register(ServiceFeed, d.feed); err != nil {
		return err
	}
	if err := d.kernel.Register(ServiceDirectoryClient, d.directoryClient); err != nil {
		return err
	}
	return d.kernel.Register(ServiceRouter, d.Router)
}

// routingTable returns the latest routing table.
func (d *RoutedDaemon) routingTable() router.Table {
	v := d.feed.View()
	return router.Table{Index: v.Routing, Age: d.feed.Age(v)}
}

// currentTable returns the routing table by which to handle a request; see
// feed.Client.CurrentView.
func (d *RoutedDaemon) currentTable(ctx context.Context) router.Table {
	v, confirmed := d.feed.CurrentView(ctx)
	return router.Table{Index: v.Routing, Age: d.feed.Age(v), Confirmed: confirmed}
}

// memberAddresses returns the addresses of control members from the feed, or those
// from the settings until the feed has provided any.
func (d *RoutedDaemon) memberAddresses() []string {
	if known := d.feed.View().Members; len(known) > 0 {
		return known
	}
	return *d.seeds.Load()
}

// entryInfo describes this instance in polls of the feed.
func (d *RoutedDaemon) entryInfo() *controlv1.EntryInfo {
	return &controlv1.EntryInfo{
		Instance: d.Config.Instance, Address: d.Config.EntryListen, PeerAddress: d.Config.PeerListen,
		FailureDomain: d.Config.FailureDomain, Weight: 1, Draining: d.Router.Draining(),
	}
}

// directoryEntry describes this instance in calls to the directory.
func (d *RoutedDaemon) directoryEntry() *directoryv1.Entry {
	idle, present := d.room.Room()
	return &directoryv1.Entry{
		Instance: d.Config.Instance, Address: d.Config.EntryListen, FailureDomain: d.Config.FailureDomain,
		Draining: !d.Router.Ready(), IdleRoom: idle, Room: present,
	}
}

package daemon

import (
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
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/hlc"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/metrics"
	"auburnstep.example/auburnstep/internal/router"
	"auburnstep.example/auburnstep/internal/routing"
	controlv1 "auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
	"auburnstep.example/auburnstep/internal/rpc/transport"
)

// Names of the services of routed instances in the kernel.
const (
	ServiceDirectory       = "directory"
	ServiceDirectoryClient = "directory-client"
	ServiceRouter          = "router"
)

// RoutedConfig holds the process settings of an instance that serves a routing
// table. An instance is an entry, a control member, or both.
type RoutedConfig struct {
	Instance, FailureDomain, Cluster string
	// PeerListen is the address for other instances, which also reach it there.
	PeerListen string
	// Peers lists addresses of control members. With Founding they form a new cluster.
	Peers    []string
	Founding bool
	// Data is the data folder of a control member, "" for none.
	Data string
	// EntryListen is the address for callers, "" for none.
	EntryListen string
	// MetricsListen is the address of GET /metrics, "" for none.
	MetricsListen string
	Retry         dispatch.RetryRules
	// DrainWait and Grace are as in router.Options.
	DrainWait, Grace time.Duration
	// OpenPeers admits other instances without a token; see transport.ServerOptions.
	OpenPeers bool
	PeerToken string
	LogLevel  logrus.Level
}

// Routed is an instance that serves a routing table.
type Routed struct {
	Config RoutedConfig
	Events *event.Recorder
	// Member and Directory are set on control members, Router on entries.
	Member    *control.Member
	Directory *directory.Service
	Router    *router.Server

	kernel  *kernel.Kernel
	clock   *hlc.Clock
	metrics *metrics.Metrics
	pool    *transport.Pool
	peers   *transport.Server
	feed    *feed.Client
	entries *directory.Client
	log     *event.AsyncWriter
	// seeds are the addresses of control members in the settings, which may change.
	seeds atomic.Pointer[[]string]
}

// NewRouted joins the services of an instance.
func NewRouted(c RoutedConfig, codec router.Codec, log io.Writer) (*Routed, error) {
	clock := hlc.New(nil)
	out := event.NewAsyncWriter(log)
	d := &Routed{
		Config: c, kernel: kernel.New(), clock: clock, metrics: metrics.New(c.Instance), log: out,
		Events: event.NewRecorder(c.Instance, clock, out, c.LogLevel),
	}
	// Libraries write to the standard logger; their lines become events as well.
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryLog{d.Events})
	d.SetSeeds(c.Peers)
	steps := []func() error{d.joinMetrics, d.joinPeers}
	if c.Data != "" {
		steps = append(steps, d.joinMember)
	}
	if c.EntryListen != "" {
		steps = append(steps, func() error { return d.joinEntry(codec) })
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// Add registers a further service, which starts after the others and stops before them.
func (d *Routed) Add(name string, s kernel.Service) error { return d.kernel.Register(name, s) }

// SetSeeds replaces the addresses of control members that the settings name.
func (d *Routed) SetSeeds(addresses []string) { d.seeds.Store(&addresses) }

// Run runs the instance until stop or kill is closed.
func (d *Routed) Run(stop, kill <-chan struct{}) error {
	c := &d.Config
	d.Events.Emit(eventStarted, event.F("failure_domain", c.FailureDomain), event.F("listen", c.EntryListen),
		event.F("peer_listen", c.PeerListen), event.F("control_member", c.Data != ""), event.F("founding", c.Founding), event.F("peers", c.Peers))
	err := d.kernel.Run(stop, kill)
	d.Events.Emit(eventStopped, event.F("error", err), event.F("log_lines_dropped", d.log.Dropped()))
	d.pool.Close()
	closed := d.metrics.Close()
	d.log.Close()
	if err == nil {
		err = closed
	}
	return err
}

func (d *Routed) joinMetrics() error {
	if d.Config.MetricsListen == "" {
		return nil
	}
	l, err := net.Listen("tcp", d.Config.MetricsListen)
	if err != nil {
		return Error.Wrap(err)
	}
	healthy := func() bool { return d.Router == nil || d.Router.Ready() }
	return d.kernel.Register(ServiceMetrics, newMetricsServer(l, d.metrics, healthy))
}

func (d *Routed) joinPeers() error {
	l, err := net.Listen("tcp", d.Config.PeerListen)
	if err != nil {
		return Error.Wrap(err)
	}
	var tokens transport.Tokens
	if d.Config.PeerToken != "" {
		tokens.Peers = []string{d.Config.PeerToken}
	}
	d.peers = transport.NewServer(transport.ServerOptions{
		Address: d.Config.PeerListen, Listener: l, AllowUnauthenticated: d.Config.OpenPeers, Tokens: tokens, Clock: d.clock, Scope: d.metrics.Scope,
	})
	d.pool = transport.NewPool(transport.Options{
		Token: d.Config.PeerToken, Sender: d.Config.PeerListen, Clock: d.clock, Scope: d.metrics.Scope,
	})
	return d.kernel.Register(ServicePeers, d.peers)
}

func (d *Routed) joinMember() error {
	var initial []string
	if d.Config.Founding {
		initial = d.Config.Peers
	}
	d.Member = control.NewMember(control.Options{
		Cluster: d.Config.Cluster, Instance: d.Config.Instance, Address: d.Config.PeerListen,
		InitialMembers: initial, Peers: d.Config.Peers, Storage: control.NewDirStorage(d.Config.Data),
		Network: control.NewNetwork(d.pool), Events: d.Events, Scope: d.metrics.Scope, Seed: instanceSeed(d.Config.Instance),
		Replace: true,
	})
	control.NewService(d.Member).Register(d.peers)
	d.Directory = directory.NewService(d.Events)
	d.Directory.Register(d.peers)
	if err := d.kernel.Register(ServiceControl, d.Member); err != nil {
		return err
	}
	return d.kernel.Register(ServiceDirectory, d.Directory)
}

func (d *Routed) joinEntry(codec router.Codec) error {
	l, err := net.Listen("tcp", d.Config.EntryListen)
	if err != nil {
		return Error.Wrap(err)
	}
	d.feed = feed.NewClient(feed.Options{
		Members: d.Config.Peers, Caller: feed.NewCaller(d.pool), Self: d.entryInfo, Events: d.Events, Scope: d.metrics.Scope,
	})
	d.entries = directory.NewClient(directory.ClientOptions{
		Pool: d.pool, Members: d.members, Self: d.entry, Loads: func() map[string]dispatch.Load { return d.Router.Loads() },
		Busy: func() bool { return d.Router.Busy() }, Events: d.Events, Scope: d.metrics.Scope,
	})
	d.Router = router.New(router.Options{
		Listener: l, Codec: codec, Domain: d.Config.FailureDomain,
		Routing:   func() *routing.Index { return d.feed.View().Routing },
		Directory: d.entries, Retry: d.Config.Retry, DrainWait: d.Config.DrainWait, Grace: d.Config.Grace,
		Events: d.Events, Scope: d.metrics.Scope,
	})
	if err := d.kernel.Register(ServiceFeed, d.feed); err != nil {
		return err
	}
	if err := d.kernel.Register(ServiceDirectoryClient, d.entries); err != nil {
		return err
	}
	return d.kernel.Register(ServiceRouter, d.Router)
}

// members returns the addresses of control members: those that the members
// themselves name, or those of the settings until then.
func (d *Routed) members() []string {
	if known := d.feed.View().Members; len(known) > 0 {
		return known
	}
	return *d.seeds.Load()
}

func (d *Routed) entryInfo() *controlv1.EntryInfo {
	return &controlv1.EntryInfo{
		Instance: d.Config.Instance, Address: d.Config.EntryListen, PeerAddress: d.Config.PeerListen,
		FailureDomain: d.Config.FailureDomain, Weight: 1, Draining: d.Router.Draining(),
	}
}

func (d *Routed) entry() *directoryv1.Entry {
	return &directoryv1.Entry{
		Instance: d.Config.Instance, Address: d.Config.EntryListen, FailureDomain: d.Config.FailureDomain,
		Draining: !d.Router.Ready(),
	}
}

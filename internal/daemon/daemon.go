package daemon

import (
	"crypto/tls"
	"hash/fnv"
	"io"
	stdlog "log"
	"net"
	"strings"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"auburnstep.example/auburnstep/internal/clientlimit"
	"auburnstep.example/auburnstep/internal/control"
	"auburnstep.example/auburnstep/internal/control/feed"
	"auburnstep.example/auburnstep/internal/entry"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/grants"
	"auburnstep.example/auburnstep/internal/hlc"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/metrics"
	"auburnstep.example/auburnstep/internal/placement"
	controlv1 "auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/rpc/eventsv1/eventsv1connect"
	"auburnstep.example/auburnstep/internal/rpc/schedulerv1/schedulerv1connect"
	"auburnstep.example/auburnstep/internal/rpc/transport"
	"auburnstep.example/auburnstep/internal/schedulerhost"
	"auburnstep.example/auburnstep/internal/upstream"
)

// Error is the class of errors of this package.
var Error = errs.Class("instance")

// Names under which services are registered in the kernel.
const (
	ServiceMetrics         = "metrics"
	ServiceSuspensionWatch = "suspension-watch"
	ServicePeers           = "peer-server"
	ServiceControl         = "control-member"
	ServiceFeed            = "feed"
	ServiceBookings        = "bookings"
	ServiceScheduler       = "scheduler-host"
	ServiceGrants          = "grants"
	ServicePlacement       = "placement"
	ServiceEntry           = "entry"
)

var (
	eventStarted = event.Define(1001, "instance-started", event.Info, "the instance is starting")
	eventLibrary = event.Define(1003, "library-message", event.Debug, "a library wrote a log line")
	eventStopped = event.Define(1002, "instance-stopped", event.Info, "the instance has stopped")
)

// libraryLog is the output of the standard logger. It records each line as an event.
type libraryLog struct{ events *event.Recorder }

// Write implements io.Writer.
func (l libraryLog) Write(line []byte) (int, error) {
	l.events.Emit(eventLibrary, event.F("message", strings.TrimSpace(string(line))))
	return len(line), nil
}

// Daemon is an instance with its services.
type Daemon struct {
	config   Config
	kernel   *kernel.Kernel
	clock    *hlc.Clock
	events   *event.Recorder
	metrics  *metrics.Metrics
	guards   *guards
	pool     *transport.Pool
	peers    *transport.Server
	feedView *feedView
	host     *schedulerhost.Host
}

// New creates and registers the services of an instance. It opens the listeners, so
// that an address in use is an error before any service starts.
func New(c Config, log io.Writer) (*Daemon, error) {
	logLevel, err := c.logLevel()
	if err != nil {
		return nil, err
	}
	bodyMemoryBytes, err := c.bodyMemoryBytes()
	if err != nil {
		return nil, err
	}
	memoryLimitBytes, err := c.memoryLimitBytes()
	if err != nil {
		return nil, err
	}
	clock := hlc.New(nil)
	d := &Daemon{
		config: c, kernel: kernel.New(), clock: clock, metrics: metrics.New(c.Instance),
		events: event.NewRecorder(c.Instance, clock, log, logLevel),
	}
	d.guards = newGuards(ownMemory(memoryLimitBytes, bodyMemoryBytes), 0, c.Data == "", d.events, d.metrics.Scope)
	// Some libraries log to the standard logger. Record their lines as events.
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryLog{d.events})
	if err := d.registerServices(); err != nil {
		return nil, err
	}
	return d, nil
}

// Run runs the instance. When stop is closed, it drains the instance and returns;
// when kill is closed, it returns immediately.
func (d *Daemon) Run(stop, kill <-chan struct{}) error {
	d.guards.plan.limitHeap()
	d.events.Emit(eventStarted, event.F("failure_domain", d.config.FailureDomain), event.F("listen", d.config.Listen),
		event.F("peer_listen", d.config.PeerListen), event.F("control_member", d.config.Data != ""))
	err := d.kernel.Run(stop, kill)
	d.events.Emit(eventStopped, event.F("error", err))
	d.pool.Close()
	return errs.Combine(err, d.metrics.Close())
}

// registerServices creates and registers the services in the order in which they
// start. They stop in reverse order: the entry drains first, and the peer server
// stops after the services that use it.
func (d *Daemon) registerServices() error {
	for _, step := range []func() error{
		d.registerMetrics, d.registerSuspensionWatch, d.registerPeers, d.registerControl, d.registerFeed, d.registerClients, d.registerPlacement, d.registerEntry,
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) registerMetrics() error {
	if d.config.MetricsListen == "" {
		return nil
	}
	l, err := net.Listen("tcp", d.config.MetricsListen)
	if err != nil {
		return Error.Wrap(err)
	}
	return d.kernel.Register(ServiceMetrics, newMetricsServer(d.guards, l, d.metrics, func() bool { return d.feedView.Fresh() }))
}

func (d *Daemon) registerSuspensionWatch() error {
	return d.kernel.Register(ServiceSuspensionWatch, newSuspensionWatch(d.events))
}

func (d *Daemon) registerPeers() error {
	tlsConfig, err := d.peerTLS()
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", d.config.PeerListen)
	if err != nil {
		return Error.Wrap(err)
	}
	guard := d.guards.guard(listenerOptions{name: listenerPeers, countBodies: true, maxHeaderBytes: maxServiceHeaderBytes, encrypted: tlsConfig != nil})
	d.peers = transport.NewServer(transport.ServerOptions{
		Address: d.config.PeerListen, Listener: l, Wrap: guard.Listener, Configure: guard.Configure, TLS: tlsConfig, Clock: d.clock, Scope: d.metrics.Scope,
		Tokens: transport.Tokens{Peers: d.config.PeerTokens, Operators: d.config.OperatorTokens},
	})
	var token string
	if len(d.config.PeerTokens) > 0 {
		token = d.config.PeerTokens[0]
	}
	d.pool = transport.NewPool(transport.Options{
		TLS: tlsConfig, Token: token, Sender: d.config.PeerAdvertise, Clock: d.clock, Scope: d.metrics.Scope,
	})
	return d.kernel.Register(ServicePeers, d.peers)
}

func (d *Daemon) peerTLS() (*tls.Config, error) {
	if d.config.TLSCert == "" {
		return nil, nil
	}
	return transport.LoadTLS(d.config.TLSCert, d.config.TLSKey, d.config.TLSCA)
}

func (d *Daemon) registerControl() error {
	if d.config.Data == "" {
		return nil
	}
	memory, err := d.config.memoryLimitBytes()
	if err != nil {
		return err
	}
	m := control.NewMember(control.Options{
		Limits:  control.LimitsFor(memory, diskBytes(d.config.Data)),
		Cluster: d.config.Cluster, Instance: d.config.Instance, Address: d.config.PeerAdvertise,
		InitialMembers: d.config.InitialMembers, Peers: d.config.Peers, Storage: control.NewDirStorage(d.config.Data),
		Network: control.NewNetwork(d.pool), Events: d.events, Scope: d.metrics.Scope, Seed: instanceSeed(d.config.Instance),
	})
	control.NewService(m).Register(d.peers)
	return d.kernel.Register(ServiceControl, m)
}

// instanceSeed returns a random seed that differs between instances, so that they do
// not all make the same random choices.
func instanceSeed(instance string) int64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(instance))
	return int64(h.Sum64())
}

// registerFeed registers the feed client and the scheduler host. They depend on each
// other: the feed provides the leases of scheduler groups, and the host provides the
// reports of the groups that the feed sends.
func (d *Daemon) registerFeed() error {
	d.feedView = &feedView{draining: new(atomic.Bool), self: &controlv1.EntryInfo{
		Instance: d.config.Instance, Address: d.config.Advertise, PeerAddress: d.config.PeerAdvertise,
		FailureDomain: d.config.FailureDomain, Weight: d.config.Weight,
	}}
	d.host = schedulerhost.New(d.feedView, d.events, d.metrics.Scope)
	d.host.SetPeers(d.feedView, d.dialScheduler)
	d.feedView.feed = feed.NewClient(feed.Options{
		Members: d.config.Peers, MemberClient: feed.NewMemberClient(d.pool), Self: d.feedView.info, Reports: d.host.Reports,
		Events: d.events, Scope: d.metrics.Scope,
	})
	d.registerPeerHandlers()
	if err := d.kernel.Register(ServiceFeed, d.feedView.feed); err != nil {
		return err
	}
	return d.kernel.Register(ServiceScheduler, d.host)
}

// registerPeerHandlers adds the handlers for calls of other instances and operators
// to the peer server.
func (d *Daemon) registerPeerHandlers() {
	path, handler := schedulerv1connect.NewSchedulerHandler(d.host, d.peers.HandlerOptions())
	d.peers.Handle(path, handler, transport.PeerRole, map[string]transport.Role{
		schedulerv1connect.SchedulerStatusProcedure: transport.AnyRole,
	})
	path, handler = eventsv1connect.NewInstanceHandler(&instanceHandler{d}, d.peers.HandlerOptions())
	d.peers.Handle(path, handler, transport.OperatorRole, nil)
}

// registerClients registers the clients through which the entry obtains grants and
// stores bookings.
func (d *Daemon) registerClients() error {
	client := grants.New(d.config.Instance, d.feedView, d.dialScheduler, d.metrics.Scope)
	if err := d.kernel.Register(ServiceGrants, client); err != nil {
		return err
	}
	return d.kernel.Register(ServiceBookings, feed.NewBookings(d.feedView.feed))
}

// dialScheduler returns a client for the schedulers at an address. Calls to
// schedulers on this instance bypass the network. All calls are idempotent: Acquire
// carries a request ID, and releases of unknown grants are ignored.
func (d *Daemon) dialScheduler(address string) schedulerv1connect.SchedulerClient {
	if address == d.config.PeerAdvertise {
		return d.host
	}
	return schedulerv1connect.NewSchedulerClient(d.pool.Peer(address).Client())
}

// registerPlacement registers model placement. The feed client holds its lease and is
// registered earlier, so that model placement stops before the lease is released.
func (d *Daemon) registerPlacement() error {
	endpoints, err := d.endpointClient(d.metrics.Scope.SubScope("placement"))
	if err != nil {
		return err
	}
	return d.kernel.Register(ServicePlacement, placement.NewRunner(placement.NewExecutor(placement.Options{
		Lease:  d.feedView.placementLease,
		Fleet:  placement.NewFleet(d.feedView, d.dialScheduler),
		Client: endpoints,
		Tokens: d.config.OrderTokens, Events: d.events, Scope: d.metrics.Scope,
	})))
}

// endpointClient returns a client for endpoints that reports its metrics to scope.
func (d *Daemon) endpointClient(scope tally.Scope) (*upstream.Client, error) {
	config, err := d.config.endpointTLS()
	if err != nil {
		return nil, err
	}
	return upstream.New(upstream.Options{TLS: config, Scope: scope, Events: d.events}), nil
}

func (d *Daemon) registerEntry() error {
	guard := d.guards.guard(listenerOptions{name: ServiceEntry, headCopies: entryHeadCopies, encrypted: d.config.CallerTLSCert != ""})
	l, err := d.listenForCallers(guard)
	if err != nil {
		return err
	}
	bodyMemoryBytes, err := d.config.bodyMemoryBytes()
	if err != nil {
		return err
	}
	endpoints, err := d.endpointClient(d.metrics.Scope)
	if err != nil {
		return err
	}
	client, err := kernel.Lookup[*grants.Client](d.kernel, ServiceGrants)
	if err != nil {
		return err
	}
	bookings, err := kernel.Lookup[*feed.Bookings](d.kernel, ServiceBookings)
	if err != nil {
		return err
	}
	return d.kernel.Register(ServiceEntry, entry.New(entry.Options{
		Instance: d.config.Instance, Listener: l, EndpointTokens: d.config.EndpointTokens, View: d.feedView, Grants: client,
		Directory: d.feedView, Dial: d.dialScheduler, Bookings: bookingsAdapter{bookings},
		Upstream: endpoints,
		Events:   d.events, Scope: d.metrics.Scope, Draining: d.feedView.draining, DrainWait: d.config.DrainWait,
		BodyMemory: bodyMemoryBytes, MaxRequests: d.config.MaxRequests, Configure: guard.Configure,
	}))
}

// listenForCallers opens the listener for callers and endpoints, with TLS if a
// certificate is configured.
func (d *Daemon) listenForCallers(guard *clientlimit.Guard) (net.Listener, error) {
	l, err := net.Listen("tcp", d.config.Listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if d.config.CallerTLSCert == "" {
		return guard.Listener(l, nil), nil
	}
	cert, err := tls.LoadX509KeyPair(d.config.CallerTLSCert, d.config.CallerTLSKey)
	if err != nil {
		l.Close()
		return nil, Error.Wrap(err)
	}
	return guard.Listener(l, &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}), nil
}

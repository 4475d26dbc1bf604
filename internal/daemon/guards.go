package daemon

import (
	"net"
	"net/http"
	"syscall"

	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/clientlimit"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/rpc/transport"
)

const (
	// connectionBytes is what a connection takes: two buffers of net/http and the stacks of its
	// goroutines. tlsConnectionBytes is what it takes with TLS: also its keys and a record.
	connectionBytes, tlsConnectionBytes = 16 << 10, 32 << 10
	// defaultMaxFDs is the limit of descriptors if neither the settings nor the system has one.
	defaultMaxFDs = 65536
	// minConnections is the smallest bound on the connections of a listener.
	minConnections = 4
	// routerHeadCopies and entryHeadCopies are the copies of the fields of a caller's request: as
	// received, as forwarded, and those of the present attempt.
	routerHeadCopies, entryHeadCopies = 3, 3
	// maxServiceHeaderBytes bounds heads at all listeners but those for callers.
	maxServiceHeaderBytes = 16 << 10
)

// Parts of the limit of descriptors for the connections of a listener, in sixteenths. An entry
// has those for callers, peers, readiness and metrics: 9. Each request of a caller has one
// connection to an endpoint, so as many as for callers are left for these. A member has those for
// operators and endpoints, peers, the list of entries and metrics: 12. The rest is left for
// connections that the instance opens, and for files.
var connectionSixteenths = map[string]int{
	ServiceRouter: 6, ServiceEntry: 6, listenerPeers: 4, ListenerControl: 4, ListenerEntries: 3, ListenerReady: 1, ServiceMetrics: 1,
}

// Names of listeners that are not names of services of this package.
const (
	ListenerControl = "control"
	ListenerEntries = "entries"
	ListenerReady   = "ready"
	listenerPeers   = "peers"
	// entrySixteenths and memberSixteenths are the sums of the parts of all their listeners.
	entrySixteenths, memberSixteenths = 9, 12
	// entryPeerSixteenths is the part for peers at an entry, which no instance polls.
	entryPeerSixteenths = 1
)

// guards creates the guards of the listeners of one process.
type guards struct {
	account *clientlimit.Account
	maxFDs  int
	plan    memoryPlan
	// entry reports that the instance serves callers and is no control member.
	entry bool
}

func newGuards(plan memoryPlan, maxFDs int, entry bool, events *event.Recorder, scope tally.Scope) *guards {
	return &guards{account: clientlimit.NewAccount(plan.clients, events, scope), maxFDs: effectiveMaxFDs(maxFDs), plan: plan, entry: entry}
}

// effectiveMaxFDs returns the lower of a limit from the settings, 0 for none, and that of the system.
func effectiveMaxFDs(configured int) int {
	limit := defaultMaxFDs
	var system syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system) == nil && system.Cur < defaultMaxFDs {
		limit = int(system.Cur)
	}
	if configured > 0 {
		limit = min(limit, configured)
	}
	return limit
}

// listenerOptions describes a listener.
type listenerOptions struct {
	name string
	// countBodies is false for handlers that charge bodies to a budget of their own.
	countBodies bool
	// headCopies is the number of copies of the header fields that the handler holds.
	headCopies     int
	maxHeaderBytes int
	encrypted      bool
}

// guard returns the guard of a listener.
func (g *guards) guard(o listenerOptions) *clientlimit.Guard {
	sixteenths := connectionSixteenths[o.name]
	if o.name == listenerPeers && g.entry {
		sixteenths = entryPeerSixteenths
	}
	each := connectionBytes
	if o.encrypted {
		each = tlsConnectionBytes
	}
	connections := min(g.maxFDs*sixteenths/16, int(g.plan.connections)/each*sixteenths/g.allSixteenths())
	return g.account.Guard(clientlimit.Options{
		Name: o.name, MaxConnections: max(minConnections, connections), CountBodies: o.countBodies, HeadCopies: o.headCopies,
		MaxHeaderBytes: o.maxHeaderBytes, ReceiveWindow: transport.ServerWindowBytes,
	})
}

// allSixteenths returns the sum of the parts of all listeners of the process.
func (g *guards) allSixteenths() int {
	if g.entry {
		return entrySixteenths
	}
	return memberSixteenths
}

// http returns a service that serves h on l under the limits of a guard.
func (g *guards) http(name string, l net.Listener, h http.Handler) kernel.Service {
	guard := g.guard(listenerOptions{name: name, countBodies: true, maxHeaderBytes: maxServiceHeaderBytes})
	return kernel.NewHTTP(guard.Listener(l, nil), h, guard.Configure)
}

// AddHTTP registers a service that serves h on an address under the limits for clients.
func (d *RoutedDaemon) AddHTTP(name, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return Error.Wrap(err)
	}
	return d.AddService(name, d.guards.http(name, l, h))
}

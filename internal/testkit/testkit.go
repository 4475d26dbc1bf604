// Package testkit runs an entry and a scheduler host with a fixed view of the
// control plane in a test process. Only tests use it.
package testkit

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/entry"
	"auburnstep.example/auburnstep/internal/fakeengine"
	"auburnstep.example/auburnstep/internal/grants"
	controlv1 "auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/rpc/schedulerv1/schedulerv1connect"
	"auburnstep.example/auburnstep/internal/schedulerhost"
	"auburnstep.example/auburnstep/internal/settings"
	"auburnstep.example/auburnstep/internal/upstream"
)

// Instance is the name of the testbed's only instance.
const Instance = "instance-1"

// View is a fixed view of the control plane with one instance that holds the
// leases of all groups.
type View struct {
	// Stale makes Fresh return false.
	Stale atomic.Bool
	// Epoch is the epoch of all leases.
	Epoch atomic.Uint64
	index *settings.Index
	host  *schedulerhost.Host
	// URL of the peer server, and the address on which the entry listens.
	peer, entryAddress string
}

// Fresh implements entry.View.
func (v *View) Fresh() bool { return !v.Stale.Load() }

// Index implements entry.View and schedulerhost.Source.
func (v *View) Index() *settings.Index { return v.index }

// Instances implements entry.View.
func (v *View) Instances() []*controlv1.EntryInfo {
	return []*controlv1.EntryInfo{{Instance: Instance, Address: v.entryAddress, FailureDomain: "nord-a"}}
}

// Reports implements entry.View.
func (v *View) Reports() []*controlv1.GroupReport { return v.host.Reports() }

// Entries implements schedulerhost.Source.
func (v *View) Entries() []string { return []string{Instance} }

// AllGroups implements grants.Directory.
func (v *View) AllGroups() []string {
	var out []string
	for _, s := range v.index.Services() {
		out = append(out, v.Groups(s.Name)...)
	}
	return out
}

// Groups implements grants.Directory.
func (v *View) Groups(service string) []string {
	s, ok := v.index.Service(service)
	if !ok {
		return nil
	}
	var out []string
	for i := range max(s.Groups, 1) {
		out = append(out, service+"/"+strconv.Itoa(i))
	}
	return out
}

// Holder implements grants.Directory.
func (v *View) Holder(string) (string, uint64, bool) { return v.peer, v.Epoch.Load(), true }

// Leases implements schedulerhost.Source.
func (v *View) Leases() []schedulerhost.Lease {
	var out []schedulerhost.Lease
	for _, g := range v.AllGroups() {
		l, _ := v.Lease(g)
		out = append(out, l)
	}
	return out
}

// Lease implements schedulerhost.Source.
func (v *View) Lease(group string) (schedulerhost.Lease, bool) {
	return schedulerhost.Lease{Group: group, Epoch: v.Epoch.Load(), Until: time.Now().Add(time.Hour)}, true
}

// BookingStore keeps bookings in memory.
type BookingStore struct {
	mu      sync.Mutex
	records map[string]*record
	// FailBegin makes Begin fail.
	FailBegin atomic.Bool
}

type record struct {
	begin   *controlv1.BeginBooking
	outcome *controlv1.BookingOutcome
}

func recordKey(k *controlv1.BookingKey) string { return k.Customer + " " + k.Key }

// Begin implements entry.Bookings.
func (r *BookingStore) Begin(_ context.Context, b *controlv1.BeginBooking) (*controlv1.BookingResponse, error) {
	if r.FailBegin.Load() {
		return nil, context.DeadlineExceeded
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.records[recordKey(b.Key)]
	switch {
	case !ok:
		r.records[recordKey(b.Key)] = &record{begin: b}
		return &controlv1.BookingResponse{State: controlv1.BookingResponse_BEGUN}, nil
	case string(old.begin.BodyHash) != string(b.BodyHash):
		return &controlv1.BookingResponse{State: controlv1.BookingResponse_MISMATCH}, nil
	case old.outcome != nil:
		return &controlv1.BookingResponse{State: controlv1.BookingResponse_FINISHED, Outcome: old.outcome}, nil
	default:
		return &controlv1.BookingResponse{State: controlv1.BookingResponse_STARTED}, nil
	}
}

// Finish implements entry.Bookings.
func (r *BookingStore) Finish(_ context.Context, f *controlv1.FinishBooking) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records[recordKey(f.Key)].outcome = f.Outcome
	return nil
}

// Release implements entry.Bookings.
func (r *BookingStore) Release(_ context.Context, b *controlv1.ReleaseBooking) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.records, recordKey(b.Key))
	return nil
}

// Testbed is one entry with its scheduler host and booking store.
type Testbed struct {
	URL          string
	View         *View
	BookingStore *BookingStore
	Entry        *entry.Server
	Scope        tally.TestScope
}

// Start runs an entry on loopback with the declared settings. The configure
// functions can change the options of the entry before it starts.
func Start(t *testing.T, yaml string, configure ...func(*entry.Options)) *Testbed {
	t.Helper()
	declared, err := settings.Parse("test.yaml", []byte(yaml))
	if err != nil {
		t.Fatal(err)
	}
	empty, err := settings.FromProto(&controlv1.Settings{})
	if err != nil {
		t.Fatal(err)
	}
	tree, err := empty.Apply(settings.Diff(empty, declared, false))
	if err != nil {
		t.Fatal(err)
	}
	b := &Testbed{BookingStore: &BookingStore{records: make(map[string]*record)}, Scope: tally.NewTestScope("", nil)}
	b.View = &View{index: tree.Index()}
	b.View.Epoch.Store(1)
	b.View.host = schedulerhost.New(b.View, nil, b.Scope)
	mux := http.NewServeMux()
	mux.Handle(schedulerv1connect.NewSchedulerHandler(b.View.host))
	peer := httptest.NewServer(mux)
	b.View.peer = peer.URL
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.View.entryAddress = listener.Addr().String()
	b.URL = "http://" + b.View.entryAddress
	dial := func(address string) schedulerv1connect.SchedulerClient {
		return schedulerv1connect.NewSchedulerClient(peer.Client(), address)
	}
	b.View.host.SetPeers(b.View, dial)
	client := grants.New(Instance, b.View, dial, b.Scope)
	options := entry.Options{
		Instance: Instance, Listener: listener, View: b.View, Grants: client, Directory: b.View, Dial: dial,
		Bookings: b.BookingStore, Upstream: upstream.New(upstream.Options{Scope: b.Scope}), Scope: b.Scope, DrainWait: 50 * time.Millisecond,
	}
	for _, f := range configure {
		f(&options)
	}
	b.Entry = entry.New(options)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = b.View.host.Start(ctx) }()
	watched := make(chan struct{})
	go func() { client.Watch(ctx); close(watched) }()
	go func() { _ = b.Entry.Start(ctx) }()
	// The port of the peer server may be given to another test once it is closed.
	t.Cleanup(func() { cancel(); <-watched; peer.Close() })
	return b
}

// StartEndpoint starts a fake endpoint that announces itself to the entry, and
// waits until the scheduler reports it.
func (b *Testbed) StartEndpoint(t *testing.T, c fakeengine.Config) *fakeengine.Server {
	t.Helper()
	c.Listen, c.Announce = "127.0.0.1:0", []string{b.View.entryAddress}
	before := b.endpointCount()
	s, err := fakeengine.Start(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	for deadline := time.Now().Add(10 * time.Second); b.endpointCount() == before; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the scheduler did not report the endpoint within 10 s")
		}
	}
	return s
}

// endpointCount returns the number of endpoints in all groups.
func (b *Testbed) endpointCount() int {
	n := 0
	for _, r := range b.View.Reports() {
		n += int(r.Endpoints)
	}
	return n
}

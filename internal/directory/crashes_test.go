package directory

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/quarantine"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
)

// localMember calls the directory of a member in the same process.
type localMember struct {
	service *Service
	silent  bool // does not respond to requests for permits
}

func newLocalMember() *localMember {
	return &localMember{service: NewService(nil, NewCrashes(nil, nil), "")}
}

// Sync implements directoryv1connect.DirectoryClient.
func (m *localMember) Sync(ctx context.Context, r *connect.Request[directoryv1.SyncRequest]) (*connect.Response[directoryv1.SyncResponse], error) {
	return m.service.Sync(ctx, r)
}

// Acquire implements directoryv1connect.DirectoryClient.
func (m *localMember) Acquire(ctx context.Context, r *connect.Request[directoryv1.AcquireRequest]) (*connect.Response[directoryv1.AcquireResponse], error) {
	if m.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return m.service.Acquire(ctx, r)
}

// RecordDepartures implements directoryv1connect.DirectoryClient.
func (m *localMember) RecordDepartures(ctx context.Context, r *connect.Request[directoryv1.RecordDeparturesRequest]) (*connect.Response[directoryv1.RecordDeparturesResponse], error) {
	return m.service.RecordDepartures(ctx, r)
}

// testEntry is a client without goroutines that polls members on demand.
type testEntry struct {
	*Client
	pollers map[*localMember]*poller
}

func newTestEntry(name string) *testEntry {
	return &testEntry{pollers: make(map[*localMember]*poller), Client: NewClient(ClientOptions{
		Self: func() *directoryv1.Entry { return &directoryv1.Entry{Instance: name, Address: name} }, Loads: func() map[string]dispatch.Load { return nil },
	})}
}

func (e *testEntry) poll(m *localMember) {
	if e.pollers[m] == nil {
		e.pollers[m] = &poller{knownReports: make(knownReports), reportedLimits: make(map[endpointKey]dispatch.Limit), client: m}
	}
	e.pollOnce(context.Background(), e.pollers[m])
}

// reportCrashes reports three crashes under requests with the part.
func (e *testEntry) reportCrashes(part string) {
	now := time.Now()
	for i, id := range []string{"a", "b", "c"} {
		lost := now.Add(time.Duration(i-3) * time.Second)
		e.options.Crashes.Add(now, quarantine.Report{
			Endpoint: "e" + id, Incarnation: 1, Request: id, Parts: []string{"system", part}, SentAt: lost.Add(-200 * time.Millisecond), LostAt: lost,
		})
	}
}

func (e *testEntry) refuses(part string) bool {
	_, found := e.options.Crashes.Find([]string{"system", part, "own"})
	return found
}

// TestQuarantineReachesEveryEntry guards against a quarantine that only the entries know
// whose endpoints crashed, or that ends with the restart of a process: entries learn it
// with the first poll of any member, and tell members that have lost it.
func TestQuarantineReachesEveryEntry(t *testing.T) {
	first, second := newLocalMember(), newLocalMember()
	reporter, other := newTestEntry("reporter"), newTestEntry("other")
	other.poll(first)
	reporter.reportCrashes("x")
	reporter.poll(first)
	other.poll(first)
	qt.Assert(t, other.refuses("x"), qt.IsTrue)
	qt.Check(t, other.refuses("y"), qt.IsFalse)

	// Reports of others are forwarded to members that lack them.
	other.forgetForwardDelay()
	other.poll(second)
	started := newTestEntry("started")
	started.poll(second)
	qt.Check(t, started.refuses("x"), qt.IsTrue)

	// The member restarts without its memory.
	first.service = NewService(nil, NewCrashes(nil, nil), "")
	reporter.poll(first)
	reporter.poll(first)
	late := newTestEntry("late")
	late.poll(first)
	qt.Check(t, late.refuses("x"), qt.IsTrue)
}

// TestRequestThatCrashesAtDifferentEntriesIsRefused guards against a request that is not
// found because each entry has seen it crash one endpoint.
func TestRequestThatCrashesAtDifferentEntriesIsRefused(t *testing.T) {
	member := newLocalMember()
	const fingerprint = quarantine.RequestPrefix + "f"
	entries := []*testEntry{newTestEntry("a"), newTestEntry("b"), newTestEntry("c"), newTestEntry("d")}
	now := time.Now()
	for i, e := range entries[:3] {
		lost := now.Add(time.Duration(i-3) * time.Second)
		e.options.Crashes.Add(now, quarantine.Report{
			Endpoint: fmt.Sprint("e", i), Incarnation: 1, Request: fmt.Sprint("r", i), Parts: []string{fingerprint}, SentAt: lost.Add(-100 * time.Millisecond), LostAt: lost,
		})
		for _, each := range entries {
			each.poll(member)
		}
	}
	for _, e := range entries {
		e.poll(member)
		qt.Check(t, e.refuses(fingerprint), qt.IsTrue)
	}
}

// forgetForwardDelay makes the entry forward at once what it has learned.
func (e *testEntry) forgetForwardDelay() {
	reports, _ := e.options.Crashes.Since(0)
	tracker := NewCrashes(nil, nil)
	for _, r := range reports {
		tracker.Add(time.Now(), r)
	}
	e.options.Crashes = tracker
}

// TestKnownReportsAreNotSentAgain guards against polls that grow with the number of
// crashes: a member that has a report is not told it again.
func TestKnownReportsAreNotSentAgain(t *testing.T) {
	m, e := newLocalMember(), newTestEntry("e")
	e.poll(m)
	e.reportCrashes("x")
	missing := func() []quarantine.Report {
		known := e.pollers[m].knownReports
		return e.options.Crashes.Missing(time.Now(), func(k quarantine.Key) []quarantine.Soundness { return known[k] }, 0)
	}
	qt.Check(t, missing(), qt.HasLen, 3)
	e.poll(m)
	qt.Check(t, missing(), qt.HasLen, 0)
	e.options.Crashes.RecordAnswered(time.Now(), []string{"system"})
	qt.Check(t, missing(), qt.HasLen, 3)
	e.poll(m)
	qt.Check(t, missing(), qt.HasLen, 0)
}

// TestMalformedCrashReports guards against reports that make a poll fail or a process
// panic.
func TestMalformedCrashReports(t *testing.T) {
	m := newLocalMember()
	for _, report := range []*directoryv1.CrashReport{{}, {Parts: []string{"x"}}, {Parts: []string{"x"}, Soundness: []byte{1, 2}}, {Parts: []string{"x"}, Soundness: []byte{200}}} {
		_, err := m.Sync(context.Background(), connect.NewRequest(&directoryv1.SyncRequest{CrashReports: []*directoryv1.CrashReport{report}}))
		qt.Check(t, err, qt.IsNil)
	}
}

// TestQuarantineOutlivesLossOfAllProcesses guards against prompt parts that crash endpoints
// again after every process has ended, and against stored reports that are damaged.
func TestQuarantineOutlivesLossOfAllProcesses(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	quarantined := func() bool {
		crashes := NewCrashes(nil, nil)
		NewService(nil, crashes, dir)
		_, found := crashes.Find([]string{"x"})
		return found
	}
	qt.Check(t, quarantined(), qt.IsFalse)

	e := newTestEntry("e")
	e.reportCrashes("x")
	service := NewService(nil, e.options.Crashes, dir)
	ctx, cancel := context.WithTimeout(context.Background(), 3*saveInterval)
	defer cancel()
	qt.Assert(t, service.Start(ctx), qt.IsNil)
	qt.Check(t, quarantined(), qt.IsTrue)

	path := filepath.Join(dir, reportsFile)
	stored, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	for n := 0; n < len(stored); n += 13 {
		damaged := slices.Clone(stored)
		damaged[n] ^= 1
		qt.Assert(t, os.WriteFile(path, damaged, 0o600), qt.IsNil)
		qt.Assert(t, quarantined(), qt.IsFalse)
		qt.Assert(t, os.WriteFile(path, stored[:n], 0o600), qt.IsNil)
		qt.Assert(t, quarantined(), qt.IsFalse)
	}
}

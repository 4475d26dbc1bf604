package control

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/consensus"
	"auburnstep.example/auburnstep/internal/routing"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// TestLogOfLargeTablesIsCompacted guards against a log that is compacted by the number of its
// entries only, so that some hundred large tables fill the disk and the memory of all members.
func TestLogOfLargeTablesIsCompacted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 81, 0)
		c.limits = Limits{Log: 256 << 10}
		c.files = make(map[string]*diskFS)
		c.initial = []string{"m0", "m1", "m2"}
		for i, name := range c.initial {
			c.files[name] = newDiskFS(uint64(i))
			c.addInstance(name)
		}
		defer c.stop()
		const tableBytes = 20 << 10
		var largestLog, largestDisk int
		for version := uint64(1); version <= 40; version++ {
			c.putRouting(paddedTable(t, version, tableBytes))
			if version%10 == 0 {
				c.restart(c.names[version/10%3])
			}
			for _, name := range c.names {
				largestLog = max(largestLog, c.member(name).status.Load().LogBytes)
				largestDisk = max(largestDisk, c.files[name].size())
			}
		}
		qt.Check(t, largestLog <= 256<<10, qt.IsTrue, qt.Commentf("the log has %d bytes", largestLog))
		qt.Check(t, largestDisk <= 512<<10, qt.IsTrue, qt.Commentf("the disk has %d bytes", largestDisk))
		version, _ := c.readRouting()
		qt.Check(t, version, qt.Equals, uint64(40))
	})
}

// paddedTable returns a routing table of at least size bytes.
func paddedTable(t *testing.T, version uint64, size int) *controlv1.RoutingTable {
	table, err := routing.Decode(routingTable(t, version, "padded").Document)
	qt.Assert(t, err, qt.IsNil)
	table.Customers = []routing.Customer{{Name: "c", Keys: []string{strings.Repeat("k", size)}}}
	document, err := table.Encode()
	qt.Assert(t, err, qt.IsNil)
	return &controlv1.RoutingTable{Version: version, Document: document}
}

// TestReplacedEntriesAreCompacted guards against a disk that is filled by entries which later
// leaders replace: the log in memory never holds them all.
func TestReplacedEntriesAreCompacted(t *testing.T) {
	c := newCompaction(&Options{SnapshotEvery: 1000, Limits: Limits{Log: 400}}, &consensus.Restored{Snapshot: consensus.Snapshot{Index: 10}})
	replaced := []consensus.Entry{{Index: 11, Data: make([]byte, 30)}}
	for range 3 {
		c.savedBytes += entryBytes(replaced)
	}
	qt.Check(t, c.isDue(10), qt.IsFalse) // Nothing new to take a snapshot of.
	qt.Assert(t, c.isDue(11), qt.IsTrue)
	c.request()
	qt.Check(t, c.isDue(12), qt.IsFalse)
	c.savedBytes += entryBytes(replaced)
	c.stored(11, 0)
	qt.Check(t, c.savedBytes, qt.Equals, entryBytes(replaced))
}

// TestQueuesBoundTheirBytes guards against proposals and messages that pile up in memory while
// the consensus loop waits for the disk.
func TestQueuesBoundTheirBytes(t *testing.T) {
	m := NewMember(Options{Cluster: "test", Instance: "m0", Address: "m0"})
	m.participating.Store(true)
	m.status.Store(&consensus.Status{ID: 1})
	table := &controlv1.Command{Command: &controlv1.Command_Routing{Routing: &controlv1.RoutingTable{Version: 1, Document: make([]byte, maxCommandBytes/4)}}}
	queued := 0
	for range 8 {
		ctx, cancel := context.WithCancel(t.Context())
		cancel() // Nothing takes the proposal.
		_, err := m.propose(ctx, table)
		if err != nil && strings.Contains(err.Error(), "no room") {
			break
		}
		queued++
	}
	qt.Check(t, queued > 0 && int64(queued*maxCommandBytes/4) <= m.options.Limits.Queue, qt.IsTrue, qt.Commentf("%d are queued", queued))
	entry := consensus.Message{Type: consensus.MsgAppend, From: 2, To: 1, Entries: []consensus.Entry{{Index: 1, Data: make([]byte, maxCommandBytes/2)}}}
	accepted := 0
	for range 8 {
		if m.enqueue(t.Context(), entry) == nil {
			accepted++
		}
	}
	qt.Check(t, accepted > 0 && int64(accepted*maxCommandBytes/2) <= m.options.Limits.Queue, qt.IsTrue, qt.Commentf("%d are queued", accepted))
	m.reset()
	qt.Check(t, m.inboundBytes.Used()+m.proposalBytes.Used(), qt.Equals, int64(0))
}

// TestBookingsWithinLimit guards against booking records and outcomes that exhaust the memory
// of all members: a new key is refused as not run, while a known one is answered as before.
func TestBookingsWithinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 82, 0)
		c.limits = Limits{Bookings: 4 << 10}
		c.initial = []string{"m0"}
		c.addInstance("m0")
		defer c.stop()
		leader := c.member(c.leader())
		begin := func(key string) controlv1.BookingResponse_State {
			r, err := leader.Booking(t.Context(), beginBooking(key))
			qt.Assert(t, err, qt.IsNil)
			return r.GetState()
		}
		n := 0
		for ; n < 100 && begin(fmt.Sprint("key", n)) == controlv1.BookingResponse_BEGUN; n++ {
		}
		qt.Check(t, n > 1 && n < 20, qt.IsTrue, qt.Commentf("%d records", n))
		qt.Check(t, begin("key0"), qt.Equals, controlv1.BookingResponse_BEGUN)
		r, err := leader.Booking(t.Context(), &controlv1.BookingRequest{Request: &controlv1.BookingRequest_Finish{Finish: &controlv1.FinishBooking{
			Key: &controlv1.BookingKey{Customer: "c", Key: "key0"}, AttemptId: "key0", Outcome: &controlv1.BookingOutcome{Body: make([]byte, 8<<10)}}}})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, r.GetState(), qt.Equals, controlv1.BookingResponse_FULL)
	})
}

func beginBooking(key string) *controlv1.BookingRequest {
	return &controlv1.BookingRequest{Request: &controlv1.BookingRequest_Begin{Begin: &controlv1.BeginBooking{
		Key: &controlv1.BookingKey{Customer: "c", Key: key}, BodyHash: []byte("h"), AttemptId: key}}}
}

// TestSettingsWithinLimit guards against a settings tree that exceeds the memory of the members.
func TestSettingsWithinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 83, 0)
		c.limits = Limits{Settings: 1 << 10}
		c.initial = []string{"m0"}
		c.addInstance("m0")
		defer c.stop()
		leader := c.member(c.leader())
		for i := range 100 {
			path := fmt.Sprintf("/customers-%d", i)
			r, err := leader.Change(t.Context(), request(path, uint64(i), put(path, "group")))
			qt.Assert(t, err, qt.IsNil)
			if r.GetResult().GetOutcome() == controlv1.ChangeResult_INVALID {
				qt.Check(t, r.GetResult().GetMessage(), qt.Contains, "has room for 1024")
				qt.Check(t, i > 10, qt.IsTrue)
				return
			}
		}
		t.Error("the settings have no bound")
	})
}

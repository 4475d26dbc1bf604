package directory

import (
	"context"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/hlc"
	"auburnstep.example/auburnstep/internal/quarantine"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
)

// oddNames cannot be sent on, or not put into the head of a request.
var oddNames = []string{"i-\xff\xfe", "i-1\n", "i-1\x00", strings.Repeat("x", 1000)}

// TestMalformedEndpointLeavesOthers guards against one endpoint that cannot be encoded, from an
// earlier version or another member, that keeps a member from telling of all others.
func TestMalformedEndpointLeavesOthers(t *testing.T) {
	sound := &directoryv1.Endpoint{Id: "sound", Incarnation: 1, Service: "s", Address: "10.0.0.1:80", Slots: 1}
	for _, odd := range oddNames {
		r := NewRegistry(7)
		for _, e := range []*directoryv1.Endpoint{
			{Id: odd, Incarnation: 1, Service: "s", Address: "10.0.0.2:80", Draining: true}, {Id: "a", Incarnation: 1, Service: odd, Address: "10.0.0.3:80", Draining: true},
			{Id: "b", Incarnation: 1, Service: "s", Address: odd, Draining: true}, {Id: "c", Incarnation: 1, Service: "s", Address: "10.0.0.4:80", FailureDomain: odd, Draining: true},
		} {
			qt.Check(t, r.Announce(start, e), qt.Equals, Malformed)
			qt.Check(t, r.RecordDeparture(start, e), qt.Equals, Malformed)
		}
		qt.Check(t, r.Leave(start, odd, 1), qt.IsFalse)
		qt.Check(t, r.Announce(start, sound), qt.Equals, Changed)
		response, err := r.Sync(start, &directoryv1.SyncRequest{})
		qt.Assert(t, err, qt.IsNil)
		_, err = proto.Marshal(response)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, response.Endpoints, qt.HasLen, 1)
		v := &view{}
		v.apply(&directoryv1.SyncResponse{Epoch: 7, Endpoints: []*directoryv1.Endpoint{{Id: odd}, sound}})
		qt.Check(t, v.endpoints, qt.HasLen, 1)
	}
}

// TestMalformedReportLeavesOthers guards against one crash report that holds back all others of a
// message: an entry or a member would not learn what crashes endpoints.
func TestMalformedReportLeavesOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	report := func(request, part string) quarantine.Report {
		return quarantine.Report{Endpoint: "e", Request: request, Parts: []string{part}, Soundness: []quarantine.Soundness{0}, SentAt: now, LostAt: now}
	}
	packed := packCrashReports(now, []quarantine.Report{report("cafe-\xff", "p"), report("r1", "p"), report("r2", "p\xfe")})
	qt.Assert(t, packed, qt.HasLen, 1)
	qt.Check(t, packed[0].Request, qt.Equals, "r1")
	_, err := proto.Marshal(packed[0])
	qt.Check(t, err, qt.IsNil)
	received, err := unpackCrashReports(now, []*directoryv1.CrashReport{{Request: "r0", Parts: []string{"p"}}, packed[0]})
	qt.Check(t, err, qt.ErrorMatches, ".*a crash report has 1 parts and the soundness of 0")
	qt.Assert(t, received, qt.HasLen, 1)
	qt.Check(t, received[0].Request, qt.Equals, "r1")
}

// FuzzSync guards against a poll of one entry after which the responses to others cannot be
// encoded.
func FuzzSync(f *testing.F) {
	seed, err := proto.Marshal(&directoryv1.SyncRequest{
		Self: &directoryv1.Entry{Instance: "e1", Address: "10.0.0.1:80"}, CrashReports: []*directoryv1.CrashReport{{Request: "r", Parts: []string{"p"}, Soundness: []byte{1}}},
		Limits: []*directoryv1.EndpointLimit{{Endpoint: "i"}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, b []byte) {
		poll := &directoryv1.SyncRequest{}
		if proto.Unmarshal(b, poll) != nil {
			return
		}
		events := event.NewRecorder("member", hlc.New(nil), discard{}, 0)
		s := NewService(events, NewCrashes(events, nil), "")
		_, _ = s.Sync(context.Background(), connect.NewRequest(poll)) // A poll may be refused.
		response, err := s.Sync(context.Background(), connect.NewRequest(&directoryv1.SyncRequest{Self: &directoryv1.Entry{Instance: "other"}, WantLoads: true}))
		if err != nil {
			t.Fatalf("another poll is refused: %v", err)
		}
		if _, err := proto.Marshal(response.Msg); err != nil {
			t.Fatalf("the response to another poll cannot be encoded: %v", err)
		}
	})
}

type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }

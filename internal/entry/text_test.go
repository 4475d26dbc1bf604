package entry

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/endpointapi"
	"auburnstep.example/auburnstep/internal/text"
)

// TestOddTextInAnnouncements guards against names in announcements that other processes cannot
// receive or that end a field of a head.
func TestOddTextInAnnouncements(t *testing.T) {
	const odd = "a\r\nb"
	for _, change := range []func(*endpointapi.Announcement){
		func(a *endpointapi.Announcement) { a.ID = odd },
		func(a *endpointapi.Announcement) { a.Address = odd + ":80" },
		func(a *endpointapi.Announcement) { a.FailureDomain = odd },
		func(a *endpointapi.Announcement) { a.Models = []string{odd} },
		func(a *endpointapi.Announcement) { a.Adapters = []string{odd} },
		func(a *endpointapi.Announcement) { a.Loading = []string{odd} },
		func(a *endpointapi.Announcement) { a.CacheEvents = []endpointapi.CacheEvent{{Prefix: odd}} },
	} {
		a := endpointapi.Announcement{ID: "i-1", Address: "10.0.0.1:80", FailureDomain: "a", Models: []string{"m"}}
		qt.Assert(t, checkAnnouncedText(&a), qt.IsNil)
		change(&a)
		qt.Check(t, checkAnnouncedText(&a), qt.IsNotNil)
	}
}

// FuzzAnnouncement guards against an accepted announcement that cannot be sent to the scheduler.
func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(`{"id":"i-1","address":"10.0.0.1:80","models":["m"],"failure_domain":"a"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var a endpointapi.Announcement
		if json.Unmarshal(b, &a) != nil || checkAnnouncedText(&a) != nil {
			return
		}
		if _, err := proto.Marshal(endpointToProto(&a)); err != nil || !text.IsFieldValue(a.ID) {
			t.Fatalf("%q cannot be sent on: %v", b, err)
		}
	})
}

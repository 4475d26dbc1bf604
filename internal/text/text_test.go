package text

import (
	"net/http"
	"strings"
	"testing"
	"unicode/utf8"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// TestKinds guards against text that breaks a message or a head, and against usual names that are
// refused.
func TestKinds(t *testing.T) {
	for _, c := range []struct {
		s                string
		id, name, inHead bool
	}{
		{"i-7f3a91c2", true, true, true},
		{"sala grande", false, true, true},
		{"Röstbund", false, true, true},
		{"", false, false, true},
		{"i-\xff\xfe91c2", false, false, true},
		{"i-1\nX", false, false, false},
		{"i-1\r", false, false, false},
		{"i-1\x00", false, false, false},
		{"i-1\u0085", false, false, true},
		{" i", false, false, true},
		{"a\tb", false, false, true},
		{strings.Repeat("x", MaxIDBytes), true, true, true},
		{strings.Repeat("x", MaxIDBytes+1), false, true, true},
		{strings.Repeat("x", MaxNameBytes+1), false, false, true},
	} {
		qt.Check(t, IsID(c.s), qt.Equals, c.id, qt.Commentf("%q", c.s))
		qt.Check(t, IsName(c.s), qt.Equals, c.name, qt.Commentf("%q", c.s))
		qt.Check(t, IsFieldValue(c.s), qt.Equals, c.inHead, qt.Commentf("%q", c.s))
		qt.Check(t, CheckID("the id", c.s) == nil, qt.Equals, c.id)
		qt.Check(t, CheckName("the name", c.s) == nil, qt.Equals, c.name)
	}
}

// FuzzKinds guards against accepted text that cannot be encoded or does not come back from a
// head unchanged.
func FuzzKinds(f *testing.F) {
	f.Add("i-7f3a91c2")
	f.Add("i-\xff\xfe91c2")
	f.Add("i\u0085")
	f.Fuzz(func(t *testing.T, s string) {
		if IsID(s) && !IsName(s) || IsName(s) && !IsFieldValue(s) {
			t.Fatalf("%q is accepted as a kind, but not as a wider one", s)
		}
		if p := Printable(s); !IsName(p) || IsName(s) && p != s {
			t.Fatalf("%q is printed as %q", s, p)
		}
		if !IsName(s) {
			return
		}
		if _, err := proto.Marshal(wrapperspb.String(s)); err != nil || !utf8.ValidString(s) {
			t.Fatalf("%q cannot be encoded: %v", s, err)
		}
		var head strings.Builder
		if err := (http.Header{"X": {s}}).Write(&head); err != nil || head.String() != "X: "+s+"\r\n" {
			t.Fatalf("%q becomes %q in a head", s, head.String())
		}
	})
}

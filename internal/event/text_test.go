package event

import (
	"testing"
	"unicode/utf8"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"auburnstep.example/auburnstep/internal/hlc"
)

// FuzzFields guards against a value of a record that keeps all records of a process from being
// encoded for the time line.
func FuzzFields(f *testing.F) {
	f.Add("cafe-\xff")
	f.Add("usual")
	f.Fuzz(func(t *testing.T, value string) {
		r := NewRecorder("a", hlc.New(nil), discard{}, logrus.PanicLevel)
		r.Emit(&Event{Name: "x"}, F("value", value))
		got := r.Records()[0].Fields[0].Value
		if !utf8.ValidString(got) || utf8.ValidString(value) && len(value) <= maxValueBytes && got != value {
			t.Fatalf("%q is kept as %q", value, got)
		}
	})
}

// TestOddValueIsKept guards against a record that is lost because of its text.
func TestOddValueIsKept(t *testing.T) {
	qt.Check(t, presentableFields([]Field{F("a", "cafe-\xff"), F("b", "c")}), qt.DeepEquals, []Field{F("a", "cafe-\uFFFD"), F("b", "c")})
}

type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }

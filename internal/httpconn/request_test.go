package httpconn

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestHeadWithControlCharacter guards against a value that ends its field, behind which an
// endpoint reads other fields or another request.
func TestHeadWithControlCharacter(t *testing.T) {
	for _, r := range []*Request{
		{Method: "GET", Target: "/", Host: "h", Header: http.Header{"X": {"a\r\n\r\nGET /other HTTP/1.1"}}},
		{Method: "GET", Target: "/", Host: "h", Header: http.Header{"X": {"a\n"}}},
		{Method: "GET", Target: "/", Host: "h", Header: http.Header{"X\n": {"a"}}},
		{Method: "GET", Target: "/\r\n", Host: "h"},
		{Method: "GET", Target: "/", Host: "h\x00"},
		{Method: "GET\n", Target: "/", Host: "h"},
	} {
		_, err := r.head()
		qt.Check(t, err, qt.ErrorIs, ErrInvalidRequest)
	}
}

// FuzzRequestHead guards against a head that an endpoint reads as another request.
func FuzzRequestHead(f *testing.F) {
	f.Add("/a?b", "h", "X", "value")
	f.Add("/a\r\n", "h", "X", "i-1\n")
	f.Fuzz(func(t *testing.T, target, host, name, value string) {
		head, err := (&Request{Method: "GET", Target: target, Host: host, Header: http.Header{name: {value}}}).head()
		if err != nil {
			return
		}
		reader := bufio.NewReader(bytes.NewReader(head))
		got, err := http.ReadRequest(reader)
		if err != nil {
			return // It is refused as a whole.
		}
		if reader.Buffered() > 0 || len(got.Header) > 1 || got.Method != "GET" {
			t.Fatalf("%q is read as %v %v with %d bytes behind it", head, got.Method, got.Header, reader.Buffered())
		}
	})
}

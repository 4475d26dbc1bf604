package upstream

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/fakeengine"
)

// BenchmarkParse measures the cost per token of decoding and checking a chunk.
func BenchmarkParse(b *testing.B) {
	data := []byte(`{"id":"0b5cfa0e-9d3f-4c53-9d21-0f3c2f9f7f7e","object":"chat.completion.chunk","created":1796363976,"model":"auburn-pool","auburnstep_offset":17,"choices":[{"index":0,"delta":{"content":"gimumi "},"finish_reason":null}]}`)
	b.ReportAllocs()
	var w wireChunk
	for b.Loop() {
		if err := w.parse(data); err != nil || w.tokenCount() != 1 {
			b.Fatal(err)
		}
	}
}

// BenchmarkChat measures a stream of 256 tokens over loopback, including the cost of the
// fake engine.
func BenchmarkChat(b *testing.B) {
	c := qt.New(b)
	fake := startFake(c, fakeengine.Config{Slots: 64})
	client := startClient(c, Options{})
	call := callTo(fake, "r", "p", 256)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := chat(client, call); err != nil {
			b.Fatal(err)
		}
	}
}

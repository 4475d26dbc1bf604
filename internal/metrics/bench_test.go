package metrics

import (
	"testing"
	"time"
)

// BenchmarkRecord measures the kinds of metric that are recorded for each request
// or token.
func BenchmarkRecord(b *testing.B) {
	m := New("benchmark")
	b.Cleanup(func() { _ = m.Close() })
	counter, timer := m.Counter("requests"), m.Timer("wait")
	histogram := m.Histogram("between_tokens", nil)
	for _, c := range []struct {
		name string
		run  func()
	}{
		{"counter", func() { counter.Inc(1) }},
		{"timer", func() { timer.Record(time.Millisecond) }},
		{"histogram", func() { histogram.RecordDuration(time.Millisecond) }},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c.run()
			}
		})
	}
}

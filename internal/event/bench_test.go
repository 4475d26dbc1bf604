package event

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"auburnstep.example/auburnstep/internal/hlc"
)

// BenchmarkEmit measures one event with five fields, the number that a grant's
// event has: "kept" only stores it in memory, "logged" also formats a log line.
func BenchmarkEmit(b *testing.B) {
	for _, c := range []struct {
		name  string
		level logrus.Level
	}{{"kept", logrus.InfoLevel}, {"logged", logrus.DebugLevel}} {
		b.Run(c.name, func(b *testing.B) {
			r := NewRecorder("nord-a-1", hlc.New(nil), io.Discard, c.level)
			e := &Event{Number: 1, Name: "benchmark", Level: Debug, Text: "granted a request an endpoint"}
			b.ReportAllocs()
			for b.Loop() {
				r.Emit(e, Request("0b5cfa0e-9d3f-4c53-9d21-0f3c2f9f7f7e"), F("grant", "12-345678"), F("endpoint", "engine-17"),
					F("entry", "nord-a-1"), F("reserved", false))
			}
		})
	}
}

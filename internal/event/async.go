package event

import (
	"context"
	"io"
	"sync/atomic"

	"auburnstep.example/auburnstep/internal/ring"
)

// asyncLines is the number of log lines that wait for the output, some 500 bytes each.
const asyncLines = 4096

// AsyncWriter hands lines to a slow writer without waiting for it. When its ring
// is full, lines are dropped and counted. It is safe for concurrent use.
type AsyncWriter struct {
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
	done    chan struct{}
}

// NewAsyncWriter returns a writer that is closed by Close.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: ring.New[[]byte]("log lines", asyncLines, ring.Reject), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for {
			line, err := a.lines.Pop(context.Background())
			if err != nil {
				return
			}
			// There is no other place to report a failed output to.
			_, _ = w.Write(line)
		}
	}()
	return a
}

// Write implements io.Writer; it never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	if a.lines.Push(context.Background(), append([]byte(nil), line...)) != nil {
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() }

// Close writes the lines that wait and ends the writer.
func (a *AsyncWriter) Close() {
	a.lines.Close()
	<-a.done
}

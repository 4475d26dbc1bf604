package event

import (
	"context"
	"io"
	"sync/atomic"

	"auburnstep.example/auburnstep/internal/ring"
)

// asyncQueueLines is the capacity of the queue in log lines. A line takes about
// 500 bytes, so that a full queue holds about 2 MB.
const asyncQueueLines = 4096

// AsyncWriter queues lines for a slow writer, so that Write does not block. When
// the queue is full, it drops and counts lines. It is safe for concurrent use.
type AsyncWriter struct {
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
	done    chan struct{}
}

// NewAsyncWriter returns a writer that copies lines to w from a goroutine of its
// own. Close ends the goroutine.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: ring.New[[]byte]("log lines", asyncQueueLines, ring.Reject), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for {
			line, err := a.lines.Pop(context.Background())
			if err != nil {
				return
			}
			// The log itself has failed, so there is nowhere to report the error.
			_, _ = w.Write(line)
		}
	}()
	return a
}

// Write implements io.Writer. It never fails: a line that does not fit into the
// queue is dropped.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	if a.lines.Push(context.Background(), append([]byte(nil), line...)) != nil {
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() }

// Close writes the queued lines and stops the writer.
func (a *AsyncWriter) Close() {
	a.lines.Close()
	<-a.done
}

package ring

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestPushOnFullRing guards against a full ring that loses elements without
// counting them, or retains other elements than its policy requires.
func TestPushOnFullRing(t *testing.T) {
	for _, test := range []struct {
		name   string
		policy Policy
		err    error
		want   []int
		stats  Stats
	}{
		{"reject", Reject, ErrFull, []int{1, 2}, Stats{Name: "r", Capacity: 2, Rejected: 1}},
		{"drop oldest", DropOldest, nil, []int{2, 3}, Stats{Name: "r", Capacity: 2, Dropped: 1}},
		{"block", Block, context.Canceled, []int{1, 2}, Stats{Name: "r", Capacity: 2}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := New[int]("r", 2, test.policy)
			ctx, cancel := context.WithCancel(context.Background())
			qt.Assert(t, r.Push(ctx, 1), qt.IsNil)
			qt.Assert(t, r.Push(ctx, 2), qt.IsNil)
			cancel()
			qt.Check(t, r.Push(ctx, 3), qt.Equals, test.err)
			qt.Check(t, r.Drain(10), qt.DeepEquals, test.want)
			qt.Check(t, r.Stats(), qt.Equals, test.stats)
		})
	}
}

// TestPopAfterClose guards against queued elements that are lost on Close.
func TestPopAfterClose(t *testing.T) {
	r := New[int]("r", 2, Reject)
	ctx := context.Background()
	qt.Assert(t, r.Push(ctx, 1), qt.IsNil)
	r.Close()
	qt.Check(t, r.Push(ctx, 2), qt.Equals, ErrClosed)
	v, err := r.Pop(ctx)
	qt.Check(t, v, qt.Equals, 1)
	qt.Check(t, err, qt.IsNil)
	_, err = r.Pop(ctx)
	qt.Check(t, err, qt.Equals, ErrClosed)
}

// TestOrderAcrossGoroutines guards against missed wake-ups and reordered elements
// between one producer and one consumer.
func TestOrderAcrossGoroutines(t *testing.T) {
	for n := 1; n <= 200; n += 13 {
		for capacity := 1; capacity <= 8; capacity++ {
			r := New[int]("r", capacity, Block)
			go func() {
				for i := range n {
					_ = r.Push(context.Background(), i)
				}
				r.Close()
			}()
			for i := range n {
				v, err := r.Pop(context.Background())
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, v, qt.Equals, i)
			}
		}
	}
}

package bytebudget

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// endless is a body that never ends.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// TestBudgetBoundsAllBodies guards against bodies that each stay below their limit and
// together exceed the memory of the instance.
func TestBudgetBoundsAllBodies(t *testing.T) {
	b := New(1 << 20)
	var wg sync.WaitGroup
	for range 200 {
		wg.Go(func() {
			_, err := b.ReadAll(endless{}, -1, 256<<10)
			if !errors.Is(err, ErrExhausted) && !errors.Is(err, ErrTooLarge) {
				t.Errorf("unexpected error %v", err)
			}
			if used := b.Used(); used > 1<<20 {
				t.Errorf("%d bytes in use", used)
			}
		})
	}
	wg.Wait()
	qt.Check(t, b.Used(), qt.Equals, int64(0))
	_, err := b.ReadAll(endless{}, 2<<20, 4<<20)
	qt.Check(t, err, qt.ErrorIs, ErrExhausted)
	body, err := b.ReadAll(bytes.NewReader(make([]byte, 100<<10)), 4<<20, 4<<20)
	qt.Check(t, err, qt.IsNil, qt.Commentf("the declared length is not allocated"))
	body.Release()
	_, err = b.ReadAll(endless{}, 5<<20, 4<<20)
	qt.Check(t, err, qt.ErrorIs, ErrTooLarge)
}

// TestReadAll checks that bodies are read whole, that limits hold to the byte, and that
// the memory returns to the budget.
func TestReadAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := bytes.Repeat([]byte("b"), rapid.IntRange(0, 20_000).Draw(t, "size"))
		limit := int64(rapid.IntRange(0, 20_000).Draw(t, "limit"))
		length := int64(len(want))
		if rapid.Bool().Draw(t, "unknown length") {
			length = -1
		}
		var r io.Reader = bytes.NewReader(want)
		if rapid.Bool().Draw(t, "slow") {
			r = iotest.HalfReader(r)
		}
		b := New(1 << 20)
		body, err := b.ReadAll(r, length, limit)
		if tooLarge := int64(len(want)) > limit; tooLarge != errors.Is(err, ErrTooLarge) {
			t.Fatalf("%d bytes with a limit of %d: %v", len(want), limit, err)
		}
		if err == nil && !bytes.Equal(body.Bytes, want) {
			t.Fatalf("read %d of %d bytes", len(body.Bytes), len(want))
		}
		body.Release()
		body.Release()
		if b.Used() != 0 {
			t.Fatalf("%d bytes stay in use", b.Used())
		}
	})
}

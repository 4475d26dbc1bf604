package state

import (
	"fmt"
	"testing"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

func stateWithBookings(n int) *State {
	s := New()
	for i := range n {
		c := begin(fmt.Sprintf("booking-%08d", i), "0123456789abcdef0123456789abcdef", fmt.Sprintf("attempt-%08d", i), int64(i))
		c.GetBegin().Key.Customer = fmt.Sprintf("customer-%d", i%10)
		s.Apply(uint64(i+1), c)
		f := finish(c.GetBegin().Key.Key, c.GetBegin().AttemptId, `{"booking":"confirmed","crew":"torino-3"}`)
		f.GetFinish().Key = c.GetBegin().Key
		s.Apply(uint64(i+1), f)
	}
	return s
}

func stateWithChanges(n int) *State {
	s := New()
	s.Apply(1, change("root", 0, put("/customers")))
	for i := range n {
		s.Apply(uint64(i+2), change(fmt.Sprintf("change-%08d", i), uint64(i+1), set("/customers", "tier", fmt.Sprint(i%3))))
	}
	return s
}

func BenchmarkApply(b *testing.B) {
	b.Run("change", func(b *testing.B) {
		s := New()
		ops := []*controlv1.Operation{set("/", "tier", "1")}
		for i := 0; b.Loop(); i++ {
			s.Apply(uint64(i+1), change(fmt.Sprint(i), uint64(i), ops...))
		}
	})
	b.Run("begin", func(b *testing.B) {
		s := New()
		s.bookings.recordLimit = 1 << 40
		for i := 0; b.Loop(); i++ {
			s.Apply(uint64(i+1), begin(fmt.Sprint(i), "hash", "a", int64(i)))
		}
	})
	b.Run("finish", func(b *testing.B) {
		s := New()
		s.Apply(1, begin("k", "hash", "a", 1))
		c := finish("k", "a", "body")
		for i := 0; b.Loop(); i++ {
			s.Apply(uint64(i+1), c)
		}
	})
	b.Run("release and begin", func(b *testing.B) {
		s := New()
		for i := 0; b.Loop(); i++ {
			k, a := fmt.Sprint(i%1000), fmt.Sprint(i)
			s.Apply(uint64(i+1), begin(k+fmt.Sprint(i/100_000), "hash", a, int64(i)))
			s.Apply(uint64(i+1), release(k+fmt.Sprint(i/100_000), a))
			if i%1000 == 0 {
				s.Apply(uint64(i+1), expire(int64(i-2000)))
			}
		}
	})
	b.Run("assign", func(b *testing.B) {
		s := New()
		c := &controlv1.Command{Command: &controlv1.Command_Assign{Assign: &controlv1.AssignGroup{Group: "auburn-pool/0", Instance: "nord-a-1"}}}
		for i := 0; b.Loop(); i++ {
			s.Apply(uint64(i+1), c)
		}
	})
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("changes=%d", n), func(b *testing.B) { benchmarkSnapshot(b, stateWithChanges(n)) })
	}
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("bookings=%d", n), func(b *testing.B) { benchmarkSnapshot(b, stateWithBookings(n)) })
	}
}

func benchmarkSnapshot(b *testing.B, s *State) {
	snapshot := s.Snapshot()
	b.Run("write", func(b *testing.B) {
		for b.Loop() {
			s.Snapshot()
		}
		b.ReportMetric(float64(len(snapshot)), "bytes")
	})
	b.Run("freeze", func(b *testing.B) {
		for b.Loop() {
			s.Freeze()
		}
	})
	b.Run("restore", func(b *testing.B) {
		for b.Loop() {
			if _, err := Restore(snapshot); err != nil {
				b.Fatal(err)
			}
		}
	})
}

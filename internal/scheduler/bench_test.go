package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// saturatedBench returns a core whose slots are all taken and whose queue has
// the given length. The requests are spread evenly over the customers.
func saturatedBench(waiting, endpoints, customers int) *bench {
	b := newBench(Config{}, Policy{QueueMax: 1 << 30, Classes: map[string]ClassPolicy{}})
	for t := range Tiers {
		b.policy.Classes[fmt.Sprint("class", t)] = ClassPolicy{QueueMax: 1 << 30, QueueWait: 24 * time.Hour}
	}
	for i := range endpoints {
		e := engine(fmt.Sprint("n", i), 8)
		e.Lease = 24 * time.Hour
		b.Announce(b.now, e)
	}
	for i := range endpoints*8 + waiting {
		b.now = b.now.Add(time.Microsecond)
		b.enqueueNow(saturatingRequest(i, customers))
	}
	return b
}

func saturatingRequest(i, customers int) Request {
	r := request(fmt.Sprint("r", i), i%Tiers)
	r.Customer = fmt.Sprint("k", i%customers)
	r.Target, r.Deadline = 12*time.Hour, 24*time.Hour
	r.Prefixes = []uint64{1, uint64(i % 100), uint64(i % 1000), uint64(i)}
	return r
}

// benchmarkDecision measures one release and one new request. The release
// grants the slot to a waiting request, so that the queue keeps its length.
func benchmarkDecision(b *testing.B, waiting, endpoints, customers int) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	core := saturatedBench(waiting, endpoints, customers)
	runtime.GC()
	runtime.ReadMemStats(&after)
	next := 10_000_000
	var ids []string
	for id := range core.grants {
		ids = append(ids, id)
	}
	requests := make([]Request, b.N)
	for i := range requests {
		requests[i] = saturatingRequest(next+i, customers)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		core.now = core.now.Add(10 * time.Microsecond)
		out := core.Release(core.now, ids[i%len(ids)], Outcome{Tokens: 200, FirstToken: 50 * time.Millisecond, Duration: time.Second})
		granted := false
		for _, d := range out {
			if g, ok := d.(Granted); ok {
				ids[i%len(ids)], granted = g.GrantID, true
			}
		}
		if !granted {
			b.Fatalf("release %d granted no slot: %d requests waiting, decisions %v", i, len(core.waiting), out)
		}
		core.enqueueNow(requests[i])
	}
	b.StopTimer()
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
	b.ReportMetric(float64(len(core.waiting)), "waiting")
}

// BenchmarkDecisionByWaiting measures a decision by the length of the queue.
// The design demands less than 20 us with 10,000 waiting requests.
func BenchmarkDecisionByWaiting(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkDecision(b, n, 20, 10) })
	}
}

// BenchmarkDecisionByEndpoints shows how the time of a decision grows with the
// number of endpoints, for capacity planning.
func BenchmarkDecisionByEndpoints(b *testing.B) {
	for _, n := range []int{8, 32, 128} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkDecision(b, 1000, n, 10) })
	}
}

// BenchmarkDecisionByCustomers shows how the time of a decision grows with the
// number of customers, for capacity planning. Each customer has at least one
// waiting request.
func BenchmarkDecisionByCustomers(b *testing.B) {
	for _, n := range []int{330, 3300, 33_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkDecision(b, max(n, 10_000), 20, n) })
	}
}

// BenchmarkTick measures a Tick in which nothing expires.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			core := saturatedBench(n, 20, 10)
			b.ReportAllocs()
			for b.Loop() {
				core.Tick(core.now)
			}
		})
	}
}

// BenchmarkKnownCustomers measures the memory that the core keeps for customers
// that were served in the last minute and have no waiting requests.
func BenchmarkKnownCustomers(b *testing.B) {
	for _, n := range []int{330, 3300, 33_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				core := newBench(Config{}, Policy{}, engine("a", 8))
				for i := range n {
					for _, d := range core.enqueueNow(saturatingRequest(i, n)) {
						core.Release(core.now, d.(Granted).GrantID, Outcome{Tokens: 200, Duration: time.Second})
					}
				}
				core.Tick(core.now.Add(10 * time.Second))
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(core)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
		})
	}
}

package control

import (
	"context"
	"fmt"
	"io/fs"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/control/feed"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// reportPercentiles adds the 50th, 99th and 100th percentile of the durations to
// the results of a benchmark.
func reportPercentiles(b *testing.B, name string, durations []time.Duration) {
	slices.Sort(durations)
	for _, p := range []int{50, 99, 100} {
		value := durations[min(len(durations)-1, len(durations)*p/100)]
		b.ReportMetric(float64(value.Microseconds())/1000, fmt.Sprintf("%s-p%d-ms", name, p))
	}
}

// dirBytes returns the total size of all files below a directory.
func dirBytes(t testing.TB, dir string) (n int64) {
	err := filepath.WalkDir(dir, func(_ string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() {
			info, err := d.Info()
			if err == nil {
				n += info.Size()
			}
		}
		return err
	})
	qt.Assert(t, err, qt.IsNil)
	return n
}

// BenchmarkInForce measures, for each change, the time until it is accepted and
// the time from then until it is in force on 8 feeds. Run it with -benchtime
// 100x.
func BenchmarkInForce(b *testing.B) {
	l := newLoopback(b, 3)
	defer l.stop()
	feeds, stop := l.feeds(8)
	defer stop()
	l.accept("first", 0, put("/services", "group"))
	waitUntilInForce(feeds, 1)
	var accepted, inForceTimes []time.Duration
	for i := uint64(1); b.Loop(); i++ {
		start := time.Now()
		l.accept(fmt.Sprint("c", i), i, set("/", "tier", fmt.Sprint(i%3)))
		acceptedAt := time.Now()
		accepted = append(accepted, acceptedAt.Sub(start))
		inForceTimes = append(inForceTimes, waitUntilInForce(feeds, i+1).Sub(acceptedAt))
	}
	reportPercentiles(b, "accept", accepted)
	reportPercentiles(b, "inforce", inForceTimes)
}

// BenchmarkLeaderKilled measures, for a change that is sent at the moment the
// leader is killed, the times from the kill until it is accepted and until it is
// in force on 8 feeds. Run it with -benchtime 20x.
func BenchmarkLeaderKilled(b *testing.B) {
	l := newLoopback(b, 3)
	defer l.stop()
	feeds, stop := l.feeds(8)
	defer stop()
	var accepted, total []time.Duration
	l.accept("first", 0, put("/services", "group"))
	for i := uint64(1); b.Loop(); i++ {
		waitUntilInForce(feeds, i)
		victim := l.leader()
		start := time.Now()
		victim.kill()
		l.accept(fmt.Sprint("c", i), i, set("/", "tier", fmt.Sprint(i%3)))
		accepted = append(accepted, time.Since(start))
		total = append(total, waitUntilInForce(feeds, i+1).Sub(start))
		l.start(victim, nil)
		time.Sleep(time.Second)
	}
	reportPercentiles(b, "kill-to-accept", accepted)
	reportPercentiles(b, "kill-to-inforce", total)
}

// BenchmarkRestart measures, after a number of changes, how long one member reads
// its log, how long the restart of all members takes, and the bytes that one
// member stores on disk.
func BenchmarkRestart(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("changes=%d", n), func(b *testing.B) {
			l := newLoopback(b, 3)
			defer l.stop()
			for i := range uint64(n) {
				l.accept(fmt.Sprint("c", i), i, set("/", "tier", fmt.Sprint(i%3)))
			}
			var opened, ready []time.Duration
			for b.Loop() {
				for _, m := range l.members {
					m.kill()
				}
				start := time.Now()
				log, _, err := NewDirStorage(l.members[0].dir).Open("test")
				qt.Assert(b, err, qt.IsNil)
				opened = append(opened, time.Since(start))
				qt.Assert(b, log.Close(), qt.IsNil)
				start = time.Now()
				for _, m := range l.members {
					l.start(m, nil)
				}
				leader := l.leader()
				ready = append(ready, time.Since(start))
				r, err := leader.member.Settings(context.Background())
				qt.Assert(b, err, qt.IsNil)
				qt.Assert(b, r.Settings.Version, qt.Equals, uint64(n))
			}
			reportPercentiles(b, "read-log", opened)
			reportPercentiles(b, "leader-ready", ready)
			b.ReportMetric(float64(dirBytes(b, l.members[0].dir)), "disk-bytes")
		})
	}
}

// BenchmarkFeed measures one poll at the leader with 390 instances while the
// settings stay at the same version and nothing else changes.
func BenchmarkFeed(b *testing.B) {
	m := NewMember(Options{})
	m.tickZero = m.now()
	m.leaderLease.update(1, 0, time.Hour)
	polls := make([]*controlv1.FeedRequest, 390)
	for i := range polls {
		polls[i] = pollOf(fmt.Sprintf("nord-a-%03d", i), uint64(i))
		_, err := m.Feed(context.Background(), polls[i])
		qt.Assert(b, err, qt.IsNil)
	}
	m.live.termStart = m.live.termStart.Add(-directoryWarmup)
	i := 0
	for b.Loop() {
		if _, err := m.Feed(context.Background(), polls[i%len(polls)]); err != nil {
			b.Fatal(err)
		}
		i++
	}
}

// BenchmarkProve measures, for each poll, the work of the leader for a follower
// that serves a third of 390 instances: 26 polls in each request.
func BenchmarkProve(b *testing.B) {
	m := NewMember(Options{})
	m.tickZero = m.now()
	m.leaderLease.update(1, 0, time.Hour)
	r := &controlv1.ProveRequest{}
	for i := range 390 {
		m.live.recordPoll(1, m.now(), pollOf(fmt.Sprintf("nord-a-%03d", i), uint64(i)))
		if i < 26 {
			r.Polls = append(r.Polls, pollOf(fmt.Sprintf("nord-a-%03d", i), uint64(i)))
		}
	}
	m.live.termStart = m.live.termStart.Add(-directoryWarmup)
	for b.Loop() {
		p, err := m.Prove(r)
		if err != nil {
			b.Fatal(err)
		}
		r.EntriesVersion = p.EntriesVersion
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(r.Polls)), "ns/poll")
}

// BenchmarkBookings measures begin and finish of bookings by 64 concurrent
// callers over sockets and files.
func BenchmarkBookings(b *testing.B) {
	l := newLoopback(b, 3)
	defer l.stop()
	feeds, stop := l.feeds(1)
	defer stop()
	l.accept("first", 0, put("/services", "group"))
	waitUntilInForce(feeds, 1)
	bookings := feed.NewBookings(feeds[0])
	var mu sync.Mutex
	var begins []time.Duration
	var failures, next atomic.Int64
	b.SetParallelism(64 / runtime.GOMAXPROCS(0))
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id := fmt.Sprintf("k%d-%d", b.N, next.Add(1))
			key := &controlv1.BookingKey{Customer: "torino", Key: id}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			start := time.Now()
			r, err := bookings.Begin(ctx, key, []byte("hash"), id)
			took := time.Since(start)
			if err == nil && r.State == controlv1.BookingResponse_BEGUN {
				_, err = bookings.Finish(ctx, key, id, &controlv1.BookingOutcome{Status: 201, Body: make([]byte, 512)})
			}
			cancel()
			if err != nil {
				failures.Add(1)
			}
			mu.Lock()
			begins = append(begins, took)
			mu.Unlock()
		}
	})
	reportPercentiles(b, "begin", begins)
	b.ReportMetric(float64(failures.Load()), "failures")
}

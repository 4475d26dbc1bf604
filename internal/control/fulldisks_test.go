package control

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

var (
	fullDiskSeeds = flag.Uint64("control.full-disk-seeds", 16, "number of drawn runs of TestChangesUnansweredAfterFullDisks")
	fullDiskFirst = flag.Uint64("control.full-disk-first", 0, "first seed of TestChangesUnansweredAfterFullDisks")
)

const (
	// answerBound is the time after the last disk has room again within which a change is
	// acknowledged: an attempt to start again (0.5 s), an election, and a margin.
	answerBound = 6 * time.Second
	// callBound is the time after which a call of a client counts as unanswered; see
	// withDeadline.
	callBound = 6 * time.Second
)

// fullDiskRun is a run in which the disks of the members are full one after the other.
type fullDiskRun struct {
	*cluster
	rng   *rand.Rand
	live  []string // the instances that are not replaced
	storm bool

	mu       sync.Mutex
	settings uint64 // acknowledged version of the settings
	table    uint64 // acknowledged version of the routing table
	stopped  bool
	clients  sync.WaitGroup
}

// newFullDiskRun returns a cluster whose size is drawn.
func newFullDiskRun(t *testing.T, seed uint64) *fullDiskRun {
	r := &fullDiskRun{rng: rand.New(rand.NewPCG(seed, 2))}
	size := []int{3, 3, 4, 5, 7}[r.rng.IntN(5)]
	r.storm = r.rng.IntN(2) == 0
	c := newCluster(t, int64(1000*seed), 0)
	c.replace, c.files, c.initial = true, make(map[string]*diskFS), []string{"m0", "m1", "m2"}
	r.cluster = c
	for i := range size {
		r.add(fmt.Sprint("m", i))
	}
	r.waitForVoters(r.live...)
	return r
}

// add starts a member with an empty disk.
func (r *fullDiskRun) add(name string) {
	r.files[name] = newDiskFS(r.rng.Uint64())
	r.addInstance(name)
	r.live = append(r.live, name)
}

// lose starts a member again with an empty disk.
func (r *fullDiskRun) lose(name string) {
	r.kill(name)
	r.files[name] = newDiskFS(r.rng.Uint64())
	r.start(name)
}

// duration draws a time up to a bound; one in four is zero.
func (r *fullDiskRun) duration(bound time.Duration) time.Duration {
	if r.rng.IntN(4) == 0 {
		return 0
	}
	return time.Duration(r.rng.Int64N(int64(bound)))
}

// putSettings changes the settings until the run ends, one change after the other.
func (r *fullDiskRun) putSettings(rng *rand.Rand) {
	defer r.clients.Done()
	for i := uint64(0); !r.ended(); i++ {
		req := request(fmt.Sprint("c", i), i, set("/", "tier", fmt.Sprint(i%3)))
		for !r.ended() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			response, err := r.link("client").Change(ctx, r.anyMember(rng), req)
			cancel()
			if result := response.GetResult(); err == nil && result != nil {
				if result.Outcome != controlv1.ChangeResult_ACCEPTED {
					r.t.Errorf("change %d: %v", i, result)
				}
				r.acknowledge(&r.settings, i+1)
				break
			}
			_ = kernel.Sleep(context.Background(), 20*time.Millisecond)
		}
		r.pause()
	}
}

// putTables puts routing tables until the run ends. Each call goes to one member.
func (r *fullDiskRun) putTables(rng *rand.Rand) {
	defer r.clients.Done()
	for version := uint64(1); !r.ended(); version++ {
		if m := r.member(r.anyMember(rng)); m != nil {
			began := time.Now()
			got, err := m.AcceptRouting(context.Background(), routingTable(r.t, version, fmt.Sprint("table-", version)))
			if took := time.Since(began); took > callBound {
				r.t.Errorf("a table stayed without an answer for %v", took)
			}
			if err == nil && got < version {
				r.t.Errorf("table %d was acknowledged as %d", version, got)
			}
			if err == nil {
				r.acknowledge(&r.table, version)
			}
		}
		r.pause()
	}
}

// anyMember returns the name of a member that runs.
func (r *fullDiskRun) anyMember(rng *rand.Rand) string {
	r.net.mu.Lock()
	defer r.net.mu.Unlock()
	names := slices.Sorted(maps.Keys(r.net.members))
	return names[rng.IntN(len(names))]
}

func (r *fullDiskRun) pause() {
	wait := time.Second
	if r.storm {
		wait = 20 * time.Millisecond
	}
	_ = kernel.Sleep(context.Background(), wait)
}

func (r *fullDiskRun) ended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopped
}

func (r *fullDiskRun) acknowledge(what *uint64, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*what = max(*what, version)
}

func (r *fullDiskRun) acknowledged() (settings, table uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.settings, r.table
}

// fillInTurn fills the disk of each member once, in a drawn order, with other faults beside
// some of them: restarts, and one lost disk or one replacement.
func (r *fullDiskRun) fillInTurn() {
	beside := r.rng.IntN(3) == 0
	names := slices.Clone(r.live)
	for at, i := range r.rng.Perm(len(names)) {
		name := names[i]
		if !slices.Contains(r.live, name) {
			continue
		}
		if at > 0 {
			time.Sleep(r.duration(3 * time.Second))
		}
		strict, left := r.rng.IntN(2) == 0, 0
		if r.rng.IntN(2) == 0 {
			left = r.rng.IntN(12)
		}
		r.files[name].fill(left, strict)
		time.Sleep(r.duration(2 * time.Second))
		other := r.live[r.rng.IntN(len(r.live))]
		switch r.rng.IntN(6) {
		case 0, 1:
			r.restart(other)
		case 2:
			if !beside && other != name {
				beside = true
				r.lose(other)
			}
		case 3:
			if !beside && other != name {
				beside = true
				r.replaceInstance(other)
			}
		}
		time.Sleep(r.duration(5 * time.Second))
		r.files[name].free()
	}
}

// replaceInstance replaces an instance by a new one.
func (r *fullDiskRun) replaceInstance(name string) {
	r.add(fmt.Sprint("n", len(r.names)))
	r.live = slices.DeleteFunc(r.live, func(n string) bool { return n == name })
	time.Sleep(r.duration(2 * time.Second))
	r.retire(name)
}

// requireAnswers requires that changes of both kinds are acknowledged within answerBound and
// reach every member, and that nothing acknowledged before is missing.
func (r *fullDiskRun) requireAnswers(seed uint64) {
	r.t.Helper()
	began := time.Now()
	settings, table := r.acknowledged()
	for {
		s, v := r.acknowledged()
		if s > settings && v > table {
			break
		}
		if time.Since(began) > answerBound {
			r.logStatus()
			r.t.Fatalf("seed %d: after %v the versions are %d and %d, they were %d and %d", seed, time.Since(began), s, v, settings, table)
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.t.Logf("answered after %v, settings %d, table %d, %d members, storm %v", time.Since(began), settings, table, len(r.live), r.storm)
	r.waitForLive()
}

// waitForLive waits until all instances that are not replaced vote, in the view of each. A
// replaced one may keep its vote only where surplusVoter says so: in an odd number of voters,
// of which no other is lost.
func (r *fullDiskRun) waitForLive() {
	r.t.Helper()
	r.waitFor("the voters", func() bool {
		for _, at := range r.live {
			s := r.member(at).status.Load().Members
			for _, name := range r.live {
				if !s.IsVoter(r.id(name)) {
					return false
				}
			}
			if extra := len(s.Voters) - len(r.live); extra > 1 || extra == 1 && len(s.Voters)%2 == 0 {
				return false
			}
		}
		return true
	})
}

// requireEverything requires that every member has all that was acknowledged.
func (r *fullDiskRun) requireEverything() {
	r.t.Helper()
	settings, table := r.acknowledged()
	for _, name := range r.live {
		m := r.member(name)
		r.waitFor("what was acknowledged at "+name, func() bool {
			m.mu.RLock()
			defer m.mu.RUnlock()
			return m.state.Version() >= settings && m.state.Routing().GetVersion() >= table
		})
	}
	read, _ := r.readRouting()
	qt.Assert(r.t, read >= table, qt.IsTrue, qt.Commentf("table %d was acknowledged, %d is in force", table, read))
}

// TestChangesUnansweredAfterFullDisks guards against members whose disks are full one after
// the other, never two at once, and that leave the changes refused or unanswered after the
// last disk has room again. Sizes, order, times, the change of the file system from which
// on a disk is full, and restarts, a lost disk or a replacement beside it are drawn.
func TestChangesUnansweredAfterFullDisks(t *testing.T) {
	for seed := *fullDiskFirst; seed < *fullDiskFirst+*fullDiskSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newFullDiskRun(t, seed)
				defer r.stop()
				end := func() {
					r.mu.Lock()
					r.stopped = true
					r.mu.Unlock()
					r.clients.Wait()
				}
				defer end()
				r.clients.Add(2)
				go r.putSettings(rand.New(rand.NewPCG(seed, 4)))
				go r.putTables(rand.New(rand.NewPCG(seed, 3)))
				for range 1 + r.rng.IntN(3) {
					r.waitForLive()
					r.fillInTurn()
				}
				r.requireAnswers(seed)
				end()
				r.requireEverything()
				for _, name := range r.live {
					r.kill(name)
				}
				for _, name := range r.live {
					r.start(name)
				}
				r.requireEverything()
			})
		})
	}
}

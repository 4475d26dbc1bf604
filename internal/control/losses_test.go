package control

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/kernel"
)

var (
	lossSeeds = flag.Uint64("control.loss-seeds", 48, "number of drawn runs of TestSingleLossesLeaveMajority")
	lossFirst = flag.Uint64("control.loss-first", 0, "first seed of TestSingleLossesLeaveMajority")
)

const (
	// catchUp is the time after which the next member may be lost: since the lost one is back,
	// or since its successor started. It is the bound of the users' deployments.
	catchUp    = 4 * time.Second
	lossMargin = 50 * time.Millisecond
	// lossRecovery is the time within which a change is acknowledged after the last loss.
	lossRecovery = 12 * time.Second
	lossesPerRun = 8
)

// TestSingleLossesLeaveMajority guards against single losses, each catchUp after the one before,
// that together leave voters without a majority: members of any role are killed, cut off, lose
// their disk or are replaced, and those that are down refuse connections or do not respond.
func TestSingleLossesLeaveMajority(t *testing.T) {
	for seed := *lossFirst; seed < *lossFirst+*lossSeeds; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { newLossRun(t, seed).play() })
		})
	}
}

// lossRun is a run in which one member after the other is lost.
type lossRun struct {
	*cluster
	rng  *rand.Rand
	live []string // the instances that are not replaced
	log  []string
}

func newLossRun(t *testing.T, seed uint64) *lossRun {
	r := &lossRun{rng: rand.New(rand.NewPCG(seed, 3))}
	c := newCluster(t, int64(1000*seed), 0)
	c.replace, c.initial = true, []string{"m0", "m1", "m2"}
	c.net.silent = r.rng.IntN(2) == 0
	c.net.delay = []time.Duration{2, 10, 40}[r.rng.IntN(3)] * time.Millisecond
	r.cluster = c
	keepInitial := r.rng.IntN(2) == 0
	for i := range []int{3, 3, 3, 4, 5}[r.rng.IntN(5)] {
		r.add(fmt.Sprint("m", i))
	}
	r.waitForVoters(r.live...)
	if !keepInitial {
		c.initial = nil
	}
	return r
}

// add starts a member with an empty disk. It knows the members that were live before.
func (r *lossRun) add(name string) {
	r.peers = slices.Clone(r.live)
	r.addInstance(name)
	r.live = append(r.live, name)
}

func (r *lossRun) play() {
	defer r.stop()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); r.putTables(ctx) }()
	defer func() { cancel(); <-done }()
	for n := range lossesPerRun {
		time.Sleep(time.Duration(r.rng.Int64N(int64(100 * time.Millisecond))))
		r.lose(n)
		time.Sleep(catchUp + lossMargin)
		if !r.survivesAnyLoss() {
			r.logStatus()
			r.t.Fatalf("%v after the last of %q, the next loss leaves no majority", catchUp+lossMargin, r.log)
		}
	}
	cancel()
	<-done
	began := time.Now()
	r.requireNewestTable(1 << 20)
	qt.Check(r.t, time.Since(began) <= lossRecovery, qt.IsTrue)
}

// lose has one member lost, and returns when it is back or its successor has started.
func (r *lossRun) lose(n int) {
	victim := r.live[r.rng.IntN(len(r.live))]
	if leader := r.leaderNow(); leader != "" && r.rng.IntN(2) == 0 {
		victim = leader
	}
	isLeader := victim == r.leaderNow()
	kind := []string{"restart", "cut", "wipe", "replace", "replace", "stop"}[r.rng.IntN(6)]
	away := time.Duration(0)
	if r.rng.IntN(3) > 0 {
		away = time.Duration(r.rng.Int64N(int64(2200 * time.Millisecond)))
	}
	r.log = append(r.log, fmt.Sprintf("%s of %s (leader: %v) for %v", kind, victim, isLeader, away))
	switch kind {
	case "restart":
		r.kill(victim)
		time.Sleep(away)
		r.start(victim)
	case "cut":
		r.isolate(victim, true)
		time.Sleep(away)
		r.isolate(victim, false)
	case "wipe":
		r.kill(victim)
		r.disks[victim] = &memDisk{}
		time.Sleep(away)
		r.peers = slices.Clone(r.live)
		r.start(victim)
	default:
		if kind == "stop" {
			r.retire(victim)
		} else {
			r.kill(victim)
		}
		time.Sleep(away)
		r.add(fmt.Sprint("n", n))
		r.live = slices.DeleteFunc(r.live, func(name string) bool { return name == victim })
	}
}

// putTables puts one table after the other until ctx ends.
func (r *lossRun) putTables(ctx context.Context) {
	rng := rand.New(rand.NewPCG(uint64(r.seed), 4))
	for version := uint64(1); ctx.Err() == nil; version++ {
		if m := r.member(r.names[rng.IntN(len(r.names))]); m != nil {
			call, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
			_, _ = m.AcceptRouting(call, routingTable(r.t, version, fmt.Sprint("table-", version)))
			cancel()
		}
		_ = kernel.Sleep(ctx, 200*time.Millisecond)
	}
}

// leaderNow returns the member that holds the leader lease, "" if there is none.
func (r *lossRun) leaderNow() string {
	for _, name := range r.live {
		if m := r.member(name); m != nil {
			if _, ok := m.lease(); ok {
				return name
			}
		}
	}
	return ""
}

// survivesAnyLoss reports whether there is a leader, and a majority of the voters runs whichever
// one of them is lost next.
func (r *lossRun) survivesAnyLoss() bool {
	leader := r.leaderNow()
	if leader == "" {
		return false
	}
	voters, running := r.member(leader).status.Load().Members.Voters, 0
	for _, name := range r.live {
		if m := r.member(name); m != nil && slices.Contains(voters, m.id()) {
			running++
		}
	}
	return running-1 >= len(voters)/2+1
}

package directory

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
)

// The simulated deployment of the budget tests.
const (
	simMembers = 3
	simEntries = 8
	simTick    = 100 * time.Millisecond
	simTicks   = 900
	// simRequestChance is the chance of a request in a tick.
	simRequestChance = 0.9
	// simDrainTicks is the time for which an entry that drains goes on to send.
	simDrainTicks = 25
	// simUsableShare is the part of a budget that entries use, so that requests and retries may
	// fall into different windows. Without requests, no window may have more.
	simUsableShare = 0.7
)

var simBudget = dispatch.RetryRules{Ratio: 0.2, Window: 10 * time.Second, Slack: 56}

// budgetEntry is a process of an entry with a retry budget.
type budgetEntry struct {
	name     string
	views    [simMembers]view
	share    *dispatch.SlackShare
	budget   *dispatch.RetryBudget
	entries  int
	nextPoll int
	// Ticks until which the process is frozen, and cut off from the members.
	frozenUntil, cutUntil int
	// stopAt is the tick at which a draining entry stops, 0 if it is not draining.
	stopAt int
	eager  bool // whether it sends retries as soon as it may
	// idleUntil is the tick until which it sends none.
	idleUntil int
	// reaches tells whether it reaches a member, nil if it reaches all of them.
	reaches func(member int) bool
}

// budgetSimulation is a deployment whose entries use up their retry budgets.
type budgetSimulation struct {
	rules             dispatch.RetryRules
	random            *rand.Rand
	members           [simMembers]*Registry
	entries           []*budgetEntry
	started           int // number of names of entries
	epoch             uint64
	tick              int
	requests, repeats []time.Time
}

func newBudgetSimulation(seed uint64, rules dispatch.RetryRules, entries int) *budgetSimulation {
	s := &budgetSimulation{rules: rules, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range s.members {
		s.restartMember(i)
	}
	for range entries {
		s.add()
	}
	return s
}

func (s *budgetSimulation) now() time.Time { return start.Add(time.Duration(s.tick) * simTick) }

func (s *budgetSimulation) restartMember(i int) {
	s.epoch++
	s.members[i] = NewRegistry(s.epoch)
}

// restart starts a new process of the entry with the given index.
func (s *budgetSimulation) restart(i int, name string) {
	s.entries[i] = &budgetEntry{
		name: name, share: dispatch.NewSlackShare(s.rules.Window), budget: dispatch.NewRetryBudget(s.rules),
		entries: 1, nextPoll: s.tick + 1 + s.random.IntN(8), eager: s.random.IntN(2) == 0,
	}
}

func (s *budgetSimulation) add() {
	s.entries = append(s.entries, nil)
	s.started++
	s.restart(len(s.entries)-1, fmt.Sprint("entry", s.started))
}

func (s *budgetSimulation) replace(i int) {
	s.started++
	s.restart(i, fmt.Sprint("entry", s.started))
}

// poll polls the members. One in ten polls is lost.
func (s *budgetSimulation) poll(t *testing.T, e *budgetEntry) {
	var views []*view
	for i, m := range s.members {
		v := &e.views[i]
		if s.tick >= e.cutUntil && (e.reaches == nil || e.reaches(i)) && s.random.IntN(10) > 0 {
			res, err := m.Sync(s.now(), &directoryv1.SyncRequest{
				Self: &directoryv1.Entry{Instance: e.name, Address: e.name + ":1", Draining: e.stopAt > 0}, Epoch: v.epoch, Cursor: v.cursor,
			})
			qt.Assert(t, err, qt.IsNil)
			v.apply(res)
			views = append(views, v)
		} else if v.epoch != 0 {
			v.entries = 0
		}
	}
	if len(views) > 0 {
		e.entries = merge(views).Entries
		e.share.Observe(s.now(), e.entries)
	}
}

// step advances the time by a tick.
func (s *budgetSimulation) step(t *testing.T) {
	s.tick++
	for i := 0; i < len(s.entries); i++ {
		e := s.entries[i]
		if e.stopAt > 0 && s.tick >= e.stopAt {
			s.entries = append(s.entries[:i], s.entries[i+1:]...)
			i--
			continue
		}
		if s.tick < e.frozenUntil {
			continue
		}
		if s.tick >= e.nextPoll {
			s.poll(t, e)
			e.nextPoll = s.tick + 3 + s.random.IntN(3)
		}
		for s.tick >= e.idleUntil && (e.eager || s.random.IntN(4) == 0) && e.budget.Take(s.now(), e.share.Entries(s.now())) {
			s.repeats = append(s.repeats, s.now())
		}
	}
	if n := len(s.entries); n > 0 && s.random.Float64() < simRequestChance {
		e := s.entries[s.random.IntN(n)]
		s.requests = append(s.requests, s.now())
		if s.tick >= e.frozenUntil {
			e.budget.CountRequest(s.now())
		}
	}
}

// check compares the repeats of each window with the requests of that window, of the one
// before it and of the one half a window earlier. It returns the largest share of the
// budget that was used.
func (s *budgetSimulation) check(t *testing.T, seed uint64) (worst float64) {
	within := func(times []time.Time, from time.Time) (n int) {
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(s.rules.Window)) {
				n++
			}
		}
		return n
	}
	for i, from := range s.repeats {
		if i > 0 && from.Equal(s.repeats[i-1]) {
			continue
		}
		requests := max(within(s.requests, from), within(s.requests, from.Add(-s.rules.Window)), within(s.requests, from.Add(-s.rules.Window/2)))
		repeats, allowed := within(s.repeats, from), s.rules.Ratio*float64(requests)+s.rules.Slack
		if s.rules.Ratio == 0 {
			allowed *= simUsableShare
		}
		if float64(repeats) > allowed {
			t.Errorf("seed %d: %d repeats in the window from tick %d, %.1f are allowed for %d requests", seed, repeats, from.Sub(start)/simTick, allowed, requests)
			return float64(repeats) / allowed
		}
		worst = max(worst, float64(repeats)/allowed)
	}
	return worst
}

// TestRetriesExceedBudget guards against entries that together send more repeats than the
// retry budget of a window allows, while processes restart, leave, join, freeze and lose
// contact with the members, and while members forget the entries.
func TestRetriesExceedBudget(t *testing.T) {
	const seeds = 12
	// disturb is called at each tick.
	for name, disturb := range map[string]func(s *budgetSimulation){
		"undisturbed": func(*budgetSimulation) {},
		"entries killed in turn": func(s *budgetSimulation) {
			if s.tick%6 == 0 {
				i := s.tick / 6 % len(s.entries)
				s.restart(i, s.entries[i].name)
			}
		},
		"entries killed in turn, slowly": func(s *budgetSimulation) {
			if s.tick%30 == 0 {
				i := s.tick / 30 % len(s.entries)
				s.restart(i, s.entries[i].name)
			}
		},
		"all entries killed": func(s *budgetSimulation) {
			if s.tick%180 == 0 {
				for i, e := range s.entries {
					s.restart(i, e.name)
				}
			}
		},
		"entries drained and replaced": func(s *budgetSimulation) {
			if s.tick%40 == 0 {
				s.entries[0].stopAt = s.tick + simDrainTicks
				s.add()
			}
		},
		"entries drained together and replaced": func(s *budgetSimulation) {
			if s.tick%200 == 0 {
				for _, e := range s.entries {
					e.stopAt = s.tick + simDrainTicks
				}
				for range simEntries {
					s.add()
				}
			}
		},
		"entries replaced at once": func(s *budgetSimulation) {
			if s.tick%25 == 0 {
				s.replace(s.random.IntN(len(s.entries)))
			}
		},
		"entries added": func(s *budgetSimulation) {
			if s.tick%20 == 0 && len(s.entries) < 6*simEntries {
				s.add()
			}
		},
		"entries added at once": func(s *budgetSimulation) {
			if s.tick == 300 || s.tick == 500 {
				for range 2 * simEntries {
					s.add()
				}
			}
		},
		"entries idle and cut off until others come": func(s *budgetSimulation) {
			if s.tick == 200 {
				for _, e := range s.entries {
					e.cutUntil = s.tick + 45
				}
				for range len(s.entries) {
					s.add()
				}
			}
			if s.tick == 10 {
				for _, e := range s.entries {
					e.eager, e.idleUntil = true, s.tick+215+s.random.IntN(20)
				}
			}
		},
		"entries drain for long while others restart": func(s *budgetSimulation) {
			if s.tick == 200 {
				for i, e := range s.entries {
					if i%2 == 0 {
						e.stopAt = s.tick + 500
					}
				}
			}
			if s.tick == 202 {
				for i, e := range s.entries {
					if i%2 == 1 {
						s.restart(i, e.name)
					}
				}
			}
		},
		"contact comes and goes": func(s *budgetSimulation) {
			for _, e := range s.entries {
				if polled := e.nextPoll > s.tick+2; polled && s.tick >= e.cutUntil {
					e.cutUntil = s.tick + 15 + s.random.IntN(30)
				}
			}
		},
		"entries leave, others come": func(s *budgetSimulation) {
			switch s.tick {
			case 300:
				for _, e := range s.entries[2:] {
					e.stopAt = s.tick + simDrainTicks
				}
			case 500:
				for range simEntries {
					s.add()
				}
			}
		},
		"all members killed": func(s *budgetSimulation) {
			if s.tick%50 == 0 {
				for i := range s.members {
					s.restartMember(i)
				}
			}
		},
		"members and entries killed": func(s *budgetSimulation) {
			if s.tick%80 == 0 {
				for i := range s.members {
					s.restartMember(i)
				}
			}
			if s.tick%15 == 0 {
				i := s.random.IntN(len(s.entries))
				s.restart(i, s.entries[i].name)
			}
		},
		"entries cut off, others come": func(s *budgetSimulation) {
			if s.tick%200 == 0 {
				for _, e := range s.entries[:len(s.entries)/2] {
					e.cutUntil = s.tick + 20 + s.random.IntN(400)
				}
				for range simEntries / 2 {
					s.add()
				}
			}
		},
		"members see a part of the entries": func(s *budgetSimulation) {
			for i, e := range s.entries {
				switch s.tick {
				case 250:
					e.reaches = func(member int) bool { return member == i%simMembers }
				case 700:
					e.reaches = nil
				}
			}
			if s.tick == 260 {
				for i := range s.members {
					s.restartMember(i)
				}
			}
		},
		"entries frozen": func(s *budgetSimulation) {
			if s.tick%20 == 0 {
				s.entries[s.random.IntN(len(s.entries))].frozenUntil = s.tick + 5 + s.random.IntN(200)
			}
		},
		"drawn": func(s *budgetSimulation) {
			if s.random.IntN(12) > 0 {
				return
			}
			i := s.random.IntN(len(s.entries))
			e := s.entries[i]
			switch s.random.IntN(8) {
			case 0, 1:
				s.restart(i, e.name)
			case 2:
				s.replace(i)
			case 3:
				e.stopAt = s.tick + simDrainTicks
				s.add()
			case 4:
				if len(s.entries) < 3*simEntries {
					s.add()
				}
			case 5:
				s.restartMember(s.random.IntN(simMembers))
			case 6:
				e.cutUntil = s.tick + s.random.IntN(150)
			case 7:
				e.frozenUntil = s.tick + s.random.IntN(150)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			worst := 0.0
			for seed := range uint64(seeds) {
				rules := simBudget
				if seed%2 == 1 {
					rules.Ratio = 0
				}
				s := newBudgetSimulation(seed, rules, 1+int(seed)%simEntries+simEntries/2)
				for range simTicks {
					s.step(t)
					disturb(s)
				}
				worst = max(worst, s.check(t, seed))
			}
			t.Logf("%.2f of the budget was used at most", worst)
		})
	}
}

// TestDrainingEntryIsCounted guards against entries that divide what all of them share by
// too small a number: an entry that drains sends to endpoints too, although callers do not
// get its address.
func TestDrainingEntryIsCounted(t *testing.T) {
	r := NewRegistry(7)
	poll := func(at time.Time, name string, draining bool) uint32 {
		res, err := r.Sync(at, &directoryv1.SyncRequest{Self: &directoryv1.Entry{Instance: name, Address: name + ":1", Draining: draining}})
		qt.Assert(t, err, qt.IsNil)
		return res.Entries
	}
	qt.Assert(t, poll(start, "a", false), qt.Equals, uint32(1))
	qt.Assert(t, poll(start, "b", true), qt.Equals, uint32(2))
	qt.Assert(t, poll(start.Add(entryLease+time.Millisecond), "a", false), qt.Equals, uint32(2))
	qt.Assert(t, r.Entries(start.Add(entryLease)), qt.HasLen, 1)
	qt.Assert(t, poll(start.Add(senderLease+time.Millisecond), "a", false), qt.Equals, uint32(1))
}

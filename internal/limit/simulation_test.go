package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	simulatedLease    = 2 * time.Second
	callInterval      = 250 * time.Millisecond
	callTimeout       = time.Second
	simulatedTimeStep = 50 * time.Millisecond
)

// group is a holder that serves requests of one customer and follows the protocol
// of schedulerhost: it makes one call at a time, and the validity of a share counts
// from the time at which the call was sent.
type group struct {
	name          string
	share         Share
	requestEnds   []time.Time // of the requests in flight
	idle          bool
	lastCallLost  bool
	nextCall      time.Time
	unservedSince time.Time // start of the latest request, or of the simulation
	// State of the call in progress.
	sentAt, arrivesAt, respondsAt time.Time
	reported                      Demand
	requestLost, responseLost     bool
	response                      *Share
}

// simulation runs groups that share the budget of one customer.
type simulation struct {
	*Budget
	now             time.Time
	random          *rand.Rand
	policy          Policy
	groups          []*group
	maxRequestSteps int // upper bound of a request's duration
	lossy           bool
}

// randomDuration returns a random duration between two numbers of time steps.
func (s *simulation) randomDuration(minSteps, maxSteps int) time.Duration {
	return time.Duration(minSteps+s.random.IntN(maxSteps-minSteps+1)) * simulatedTimeStep
}

// losesMessage reports whether the next message is lost.
func (s *simulation) losesMessage() bool { return s.lossy && s.random.IntN(10) == 0 }

// validSlots returns the slots that the group may use by its share.
func (g *group) validSlots(now time.Time) int {
	if now.Before(g.share.ExpiresAt) {
		return g.share.Concurrency
	}
	return 0
}

// startCall sends a call of the group. It is not lost if the previous one was.
func (s *simulation) startCall(g *group) {
	demand := len(g.requestEnds)
	if !g.idle {
		demand += 5
	}
	g.sentAt, g.arrivesAt, g.response = s.now, s.now.Add(s.randomDuration(0, 3)), nil
	g.reported = Demand{Customer: "k", Concurrency: demand, InFlight: len(g.requestEnds)}
	g.requestLost, g.responseLost = false, false
	if !g.lastCallLost {
		g.requestLost, g.responseLost = s.losesMessage(), s.losesMessage()
	}
	g.lastCallLost = g.requestLost || g.responseLost
}

// advanceCall starts, delivers, completes or times out the call of a group.
func (s *simulation) advanceCall(g *group) {
	switch {
	case g.sentAt.IsZero():
		if !s.now.Before(g.nextCall) && (!g.idle || len(g.requestEnds) > 0) {
			s.startCall(g)
		}
		return
	case g.response == nil && !g.requestLost && !s.now.Before(g.arrivesAt):
		share := s.RenewShare(s.now, g.name, g.reported, s.policy)
		share.ExpiresAt = g.sentAt.Add(share.ExpiresAt.Sub(s.now))
		g.response, g.respondsAt = &share, s.now.Add(s.randomDuration(0, 3))
	case g.response != nil && !g.responseLost && !s.now.Before(g.respondsAt):
		g.share = *g.response
		g.sentAt, g.nextCall = time.Time{}, s.now.Add(callInterval)
		return
	}
	if s.now.Sub(g.sentAt) >= callTimeout {
		g.sentAt, g.nextCall = time.Time{}, s.now.Add(callInterval)
	}
}

// step advances the simulation by one time step, in which it ends and starts
// requests, and returns how many are in flight.
func (s *simulation) step() (inFlight int) {
	s.now = s.now.Add(simulatedTimeStep)
	for _, g := range s.groups {
		remaining := g.requestEnds[:0]
		for _, end := range g.requestEnds {
			if s.now.Before(end) {
				remaining = append(remaining, end)
			}
		}
		g.requestEnds = remaining
		s.advanceCall(g)
		for !g.idle && len(g.requestEnds) < g.validSlots(s.now) {
			g.requestEnds = append(g.requestEnds, s.now.Add(s.randomDuration(1, s.maxRequestSteps)))
			g.unservedSince = s.now
		}
		inFlight += len(g.requestEnds)
	}
	return inFlight
}

func newSimulation(limit, groups, maxRequestSteps int, seed uint64) *simulation {
	s := &simulation{
		Budget: NewBudget(start, simulatedLease, false), now: start, maxRequestSteps: maxRequestSteps,
		policy: Policy{Concurrency: limit}, random: rand.New(rand.NewPCG(seed, 0)),
	}
	for i := range groups {
		s.groups = append(s.groups, &group{name: fmt.Sprint("g", i), unservedSince: start})
	}
	return s
}

func drawSimulation(t *rapid.T, maxLimit int) *simulation {
	return newSimulation(rapid.IntRange(1, maxLimit).Draw(t, "limit"), rapid.IntRange(2, 6).Draw(t, "groups"),
		rapid.IntRange(1, 60).Draw(t, "longest"), rapid.Uint64().Draw(t, "seed"))
}

// TestRequestsNeverExceedLimit guards against more requests in flight over all
// groups than the limit of the customer while shares move between the groups.
// Requests outlive the share under which they were started, and calls are slow or
// lost. Two calls in a row are never lost, since the group would then count as
// idle.
func TestRequestsNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSimulation(t, 8)
		s.lossy = true
		for n := range 400 {
			if n%20 == 0 {
				for _, g := range s.groups {
					g.idle = s.random.IntN(3) == 0
				}
			}
			if got := s.step(); got > s.policy.Concurrency {
				t.Fatalf("%d requests in flight, limit %d, after %v", got, s.policy.Concurrency, s.now.Sub(start))
			}
		}
	})
}

// TestEveryGroupGetsATurn guards against a group that gets no share while others
// do, where the limit is smaller than the number of groups. A group must wait no
// longer than the turns of all others last, including the requests started in them
// and the calls that pass a turn to the next group.
func TestEveryGroupGetsATurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { drawSimulation(t, 5).checkWaits(t) })
}

// TestRoundingSlotSkipsNoGroup guards against a slot left over by rounding that
// moves between groups that already have slots while another group has none. The
// limit, the number of groups and the seeds are fixed because random cases hit this
// too rarely.
func TestRoundingSlotSkipsNoGroup(t *testing.T) {
	for seed := range uint64(100) {
		for i := range 5 {
			newSimulation(5, 4, 1+i*i, seed).checkWaits(t)
		}
	}
}

// checkWaits fails the test if the limit is exceeded, or if a group starts no
// request for longer than the turns of all groups take.
func (s *simulation) checkWaits(t interface{ Fatalf(string, ...any) }) {
	// After a share has expired, the second call of its holder frees the slot, and
	// the next call of another group gets it. A call takes up to 6 steps, and its
	// arrival and its response are noticed up to 2 steps late in total.
	const calls = 3*(callInterval+8*simulatedTimeStep) + 3*simulatedTimeStep
	service := time.Duration(s.maxRequestSteps) * simulatedTimeStep
	rounds := (len(s.groups) + s.policy.Concurrency - 1) / s.policy.Concurrency
	maxWait := time.Duration(rounds) * (simulatedLease + service + calls)
	for range 1200 {
		if got := s.step(); got > s.policy.Concurrency {
			t.Fatalf("%d requests in flight, limit %d", got, s.policy.Concurrency)
		}
		for _, g := range s.groups {
			if wait := s.now.Sub(g.unservedSince); wait > maxWait {
				t.Fatalf("%s of %d started nothing for %v, limit %d", g.name, len(s.groups), wait, s.policy.Concurrency)
			}
		}
	}
}

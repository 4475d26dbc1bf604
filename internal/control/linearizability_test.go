package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/consensus"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// opInput is the input of one operation of a history. A retry after a lost
// response is an operation of its own.
type opInput struct {
	kind    string
	key     string // booking key, or change ID
	attempt string
	base    uint64
	value   string
}

// opOutput is the output of an operation. An operation with an unknown outcome
// stays open until the end of the history. A refused operation had no effect
// according to the member, and is left out of the history.
type opOutput struct {
	unknown bool
	refused bool
	state   string
	version uint64
	value   string
}

// history records operations. Its clock is a counter, so that operations at the
// same instant of the fake clock keep their order.
type history struct {
	mu   sync.Mutex
	tick int64
	ops  []porcupine.Operation
}

func (h *history) nextTick() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tick++
	return h.tick
}

func (h *history) record(client int, in opInput, do func() opOutput) opOutput {
	start := h.nextTick()
	out := do()
	end := h.nextTick()
	if out.unknown {
		end = 1 << 60
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if out.refused {
		return out
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: start, Return: end})
	return out
}

// outputOfError returns the output of a call without a result.
func outputOfError(err error) opOutput {
	refused := err == nil || errors.Is(err, ErrNotLeader) || errors.Is(err, ErrBusy) || errors.Is(err, ErrSuperseded)
	return opOutput{refused: refused, unknown: true}
}

// settingsModel is one register with a version that changes are compared to, and
// the first result of each change. The results are written as text to make models
// comparable.
type settingsModel struct {
	version uint64
	value   string
	results string
}

func (s settingsModel) result(id string) (state string, version uint64, ok bool) {
	_, rest, ok := strings.Cut(s.results, ";"+id+"=")
	if !ok {
		return "", 0, false
	}
	rest, _, _ = strings.Cut(rest, ";")
	state, text, _ := strings.Cut(rest, "@")
	version, _ = strconv.ParseUint(text, 10, 64)
	return state, version, true
}

func stepSettings(s settingsModel, in opInput, out opOutput) (bool, settingsModel) {
	if in.kind == "read" {
		return out.version == s.version && out.value == s.value, s
	}
	state, version, ok := s.result(in.key)
	if !ok {
		state, version = "CONFLICT", s.version
		if in.base == s.version {
			s.version, s.value = s.version+1, in.value
			state, version = "ACCEPTED", s.version
		}
		s.results += fmt.Sprintf(";%s=%s@%d;", in.key, state, version)
	}
	return out.unknown || out.state == state && out.version == version, s
}

// bookingModel is the booking record of one key.
type bookingModel struct {
	phase, holder, outcome string
	closed                 string // "/attempt=state/" of attempts that can never hold the key again
}

// closedState returns the state that a closed attempt gets in responses, or "" if
// the attempt is not closed.
func (s bookingModel) closedState(attempt string) string {
	_, rest, ok := strings.Cut(s.closed, "/"+attempt+"=")
	if !ok {
		return ""
	}
	state, _, _ := strings.Cut(rest, "/")
	return state
}

// close records that an attempt is closed and the state that it gets in
// responses.
func (s bookingModel) close(attempt, state string) bookingModel {
	if old := s.closedState(attempt); old != "" {
		s.closed = strings.Replace(s.closed, "/"+attempt+"="+old+"/", "/"+attempt+"="+state+"/", 1)
	} else {
		s.closed += "/" + attempt + "=" + state + "/"
	}
	return s
}

func stepBooking(s bookingModel, in opInput, out opOutput) (bool, bookingModel) {
	expected := ""
	switch {
	case s.phase == "finished":
		return out.unknown || out.state == "FINISHED" && out.value == s.outcome, s
	case in.kind == "begin" && s.closedState(in.attempt) != "":
		expected = s.closedState(in.attempt)
	case in.kind == "begin" && s.phase == "started" && s.holder != in.attempt:
		expected, s = "STARTED", s.close(in.attempt, "STARTED")
	case in.kind == "begin":
		expected, s.phase, s.holder = "BEGUN", "started", in.attempt
	case in.kind == "finish" && s.phase != "started":
		expected = "RELEASED"
	case in.kind == "finish" && s.holder != in.attempt:
		expected = "STARTED"
	case in.kind == "finish":
		s.phase, s.outcome = "finished", in.value
		return out.unknown || out.state == "FINISHED" && out.value == in.value, s
	case s.phase == "started" && s.holder != in.attempt:
		expected, s = "STARTED", s.close(in.attempt, "RELEASED")
	default:
		expected, s = "RELEASED", s.close(in.attempt, "RELEASED")
		s.phase, s.holder = "", ""
	}
	return out.unknown || out.state == expected, s
}

func newModel[S comparable](step func(S, opInput, opOutput) (bool, S), partition func([]porcupine.Operation) [][]porcupine.Operation) porcupine.Model {
	return porcupine.Model{
		Partition: partition,
		Init:      func() any { var s S; return s },
		Step: func(s, in, out any) (bool, any) {
			ok, next := step(s.(S), in.(opInput), out.(opOutput))
			return ok, next
		},
		DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
	}
}

// partitionByKey groups the operations by booking key, so that each key is
// checked on its own.
func partitionByKey(ops []porcupine.Operation) [][]porcupine.Operation {
	index := map[string]int{}
	var out [][]porcupine.Operation
	for _, op := range ops {
		key := op.Input.(opInput).key
		i, ok := index[key]
		if !ok {
			i = len(out)
			index[key] = i
			out = append(out, nil)
		}
		out[i] = append(out[i], op)
	}
	return out
}

// injectFaults injects faults in an order that depends on rng until ctx ends, and
// repairs each fault before the next one. It returns the number of faults of each
// kind.
func (c *cluster) injectFaults(ctx context.Context, rng *rand.Rand) map[string]int {
	counts := map[string]int{}
	for ctx.Err() == nil {
		name := c.names[rng.IntN(len(c.names))]
		if rng.IntN(2) == 0 {
			name = c.leader()
		}
		duration := time.Duration(200+rng.IntN(1500)) * time.Millisecond
		kind := []string{"drop", "delay", "one-way", "isolate", "pause", "restart", "kill", "wipe"}[rng.IntN(8)]
		counts[kind]++
		c.injectFault(kind, name, duration, rng)
		time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
	}
	return counts
}

func (c *cluster) injectFault(kind, name string, duration time.Duration, rng *rand.Rand) {
	setNetwork := func(drop float64, delay time.Duration) {
		c.net.mu.Lock()
		c.net.drop, c.net.delay = drop, delay
		c.net.mu.Unlock()
	}
	switch kind {
	case "drop":
		setNetwork(0.2, 2*time.Millisecond)
		time.Sleep(duration)
		setNetwork(0, 2*time.Millisecond)
	case "delay":
		setNetwork(0, 150*time.Millisecond)
		time.Sleep(duration)
		setNetwork(0, 2*time.Millisecond)
	case "one-way":
		other := c.names[rng.IntN(len(c.names))]
		c.oneWay(name, other, true)
		time.Sleep(duration)
		c.oneWay(name, other, false)
	case "isolate":
		c.isolate(name, true)
		time.Sleep(duration)
		c.isolate(name, false)
	case "pause":
		_ = c.member(name).do(context.Background(), func(*consensus.Node) error { time.Sleep(duration); return nil })
	case "restart":
		c.restart(name)
	case "kill":
		c.kill(name)
		time.Sleep(duration)
		c.start(name)
	case "wipe":
		// The members survive the loss of only one disk at a time, so the test waits
		// for the repair before and after it.
		c.waitRepaired()
		c.wipe(name)
		c.waitRepaired()
	}
}

// waitRepaired waits until all members are voters and have the whole log.
func (c *cluster) waitRepaired() {
	c.waitFor("the repair", func() bool {
		s := c.member(c.leader()).status.Load()
		for _, name := range c.names {
			id := c.id(name)
			caughtUp := slices.ContainsFunc(s.Progress, func(p consensus.Progress) bool { return p.ID == id && !p.Learner && p.Match == s.Last })
			if !caughtUp {
				return false
			}
		}
		return s.Commit == s.Last && len(s.Members.Voters) == len(c.names)
	})
}

// seeds returns the seeds of the random runs. AUBURNSTEP_TEST_SEEDS adds more of
// them, and AUBURNSTEP_TEST_SEED selects a single one.
func seeds() []int64 {
	n, _ := strconv.Atoi(os.Getenv("AUBURNSTEP_TEST_SEEDS"))
	if seed, err := strconv.ParseInt(os.Getenv("AUBURNSTEP_TEST_SEED"), 10, 64); err == nil {
		return []int64{seed}
	}
	out := make([]int64, 0, n+6)
	for i := range int64(n + 6) {
		out = append(out, 1000+i)
	}
	return out
}

// TestHistoriesAreLinearizable guards against responses for settings and
// bookings that a single copy of the state would not give, while members are
// cut off, paused, killed and wiped.
func TestHistoriesAreLinearizable(t *testing.T) {
	for _, seed := range seeds() {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			var settings, bookings history
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, seed, 3)
				defer c.stop()
				c.waitRepaired()
				ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
				defer cancel()
				var wg sync.WaitGroup
				for client := range 3 {
					wg.Add(2)
					go func() {
						defer wg.Done()
						c.runSettingsClient(ctx, &settings, client, rand.New(rand.NewPCG(uint64(seed), uint64(client+1))))
					}()
					go func() {
						defer wg.Done()
						c.runBookingsClient(ctx, &bookings, client, rand.New(rand.NewPCG(uint64(seed), uint64(client+11))))
					}()
				}
				faultCounts := c.injectFaults(ctx, rand.New(rand.NewPCG(uint64(seed), 99)))
				wg.Wait()
				c.waitRepaired()
				for c.readSettings(&settings, 9, c.leader()).unknown {
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("seed %d: %d settings operations, %d booking operations, faults %v", seed, len(settings.ops), len(bookings.ops), faultCounts)
			})
			qt.Check(t, porcupine.CheckOperations(newModel(stepSettings, nil), settings.ops), qt.IsTrue)
			qt.Check(t, porcupine.CheckOperations(newModel(stepBooking, partitionByKey), bookings.ops), qt.IsTrue)
		})
	}
}

// readSettings reads the version and the one setting of the test at a member.
func (c *cluster) readSettings(h *history, client int, member string) opOutput {
	return h.record(client, opInput{kind: "read"}, func() opOutput {
		r, err := exchange(context.Background(), c.link("client"), member, func(ctx context.Context, m *Member) (*controlv1.SettingsResponse, error) { return m.Settings(ctx) })
		if err != nil || r.Settings == nil {
			return opOutput{refused: true, unknown: true}
		}
		out := opOutput{version: r.Settings.Version}
		for _, n := range r.Settings.Nodes {
			out.value = n.Values["queue.max"]
		}
		return out
	})
}

// runSettingsClient reads and changes one setting at random members until ctx
// ends.
func (c *cluster) runSettingsClient(ctx context.Context, h *history, client int, rng *rand.Rand) {
	version := uint64(0)
	for i := 0; ctx.Err() == nil; i++ {
		member := c.names[rng.IntN(len(c.names))]
		if rng.IntN(2) == 0 {
			if out := c.readSettings(h, client, member); !out.unknown {
				version = out.version
			}
		} else {
			in := opInput{kind: "change", key: fmt.Sprintf("c%d-%d", client, i), base: version, value: strconv.Itoa(1000*(client+1) + i)}
			for tries := 0; tries < 4 && ctx.Err() == nil; tries++ {
				out := c.sendChange(h, client, member, in)
				if !out.unknown {
					version = out.version
					break
				}
				member = c.leader()
			}
		}
		_ = kernel.Sleep(ctx, time.Duration(100+rng.IntN(600))*time.Millisecond)
	}
}

func (c *cluster) sendChange(h *history, client int, member string, in opInput) opOutput {
	return h.record(client, in, func() opOutput {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		r, err := c.link("client").Change(ctx, member, request(in.key, in.base, set("/", "queue.max", in.value)))
		if err != nil || r.Result == nil {
			return outputOfError(err)
		}
		return opOutput{state: r.Result.Outcome.String(), version: r.Result.Version}
	})
}

// runBookingsClient begins bookings of keys that all clients share, and finishes
// or releases those that it holds. It also releases a booking whose begin has an
// unknown outcome.
func (c *cluster) runBookingsClient(ctx context.Context, h *history, client int, rng *rand.Rand) {
	for i := 0; ctx.Err() == nil; i++ {
		in := opInput{kind: "begin", key: fmt.Sprintf("k%d", i/2), attempt: fmt.Sprintf("a%d-%d", client, i)}
		out := c.sendBooking(h, client, rng, in)
		if out.unknown || out.state == "BEGUN" {
			next := in
			next.kind = "release"
			if !out.unknown && rng.IntN(2) == 0 {
				next.kind, next.value = "finish", in.attempt
			}
			for tries := 0; tries < 4 && ctx.Err() == nil; tries++ {
				if !c.sendBooking(h, client, rng, next).unknown {
					break
				}
			}
		}
		_ = kernel.Sleep(ctx, time.Duration(50+rng.IntN(400))*time.Millisecond)
	}
}

func (c *cluster) sendBooking(h *history, client int, rng *rand.Rand, in opInput) opOutput {
	member := c.leader()
	if rng.IntN(5) == 0 {
		member = c.names[rng.IntN(len(c.names))]
	}
	timeout := time.Second
	if rng.IntN(2) == 0 {
		timeout = time.Duration(2+rng.IntN(50)) * time.Millisecond
	}
	return h.record(client, in, func() opOutput {
		// With the short time-outs, releases overtake begins that are still in flight.
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		r, err := c.link("client").Booking(ctx, member, bookingRequest(in))
		if err != nil || r.State == controlv1.BookingResponse_STATE_UNSPECIFIED {
			return outputOfError(err)
		}
		return opOutput{state: r.State.String(), value: string(r.GetOutcome().GetBody())}
	})
}

func bookingRequest(in opInput) *controlv1.BookingRequest {
	key := &controlv1.BookingKey{Customer: "torino", Key: in.key}
	switch in.kind {
	case "begin":
		return &controlv1.BookingRequest{Request: &controlv1.BookingRequest_Begin{Begin: &controlv1.BeginBooking{Key: key, BodyHash: []byte("h"), AttemptId: in.attempt}}}
	case "finish":
		return &controlv1.BookingRequest{Request: &controlv1.BookingRequest_Finish{Finish: &controlv1.FinishBooking{
			Key: key, AttemptId: in.attempt, Outcome: &controlv1.BookingOutcome{Body: []byte(in.value)}}}}
	}
	return &controlv1.BookingRequest{Request: &controlv1.BookingRequest_Release{Release: &controlv1.ReleaseBooking{Key: key, AttemptId: in.attempt}}}
}

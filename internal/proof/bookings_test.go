package proof

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/endpointapi"
	"auburnstep.example/auburnstep/internal/fakeengine"
)

// bookingSeed seeds the callers' random pauses and their choices of instances.
const bookingSeed = 7

// bookingResult is the final result of one booking as its caller sees it.
type bookingResult struct {
	key       string
	confirmed string // body of the confirmation, empty if there is none
	notRun    bool   // every try had the verdict not-run, and the caller gave up
}

// tryOutcome is the outcome of one try: the body of a confirmation, or the verdict
// not-run. If it is neither, the outcome is unknown: the booking may have run or
// may still run later.
type tryOutcome struct {
	confirmed string
	notRun    bool
}

// bookingState is the state of the sequential specification of one key: whether
// the booking ran, and its confirmation, if known. All later callers must receive
// the same confirmation.
type bookingState struct {
	ran  bool
	body string
}

var bookingModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			byKey[op.Input.(string)] = append(byKey[op.Input.(string)], op)
		}
		return slices.Collect(maps.Values(byKey))
	},
	Init: func() any { return bookingState{} },
	Step: func(s, _, out any) (bool, any) {
		r, o := s.(bookingState), out.(tryOutcome)
		switch {
		case o.notRun:
			return true, r
		case o.confirmed == "":
			return true, bookingState{true, r.body}
		default:
			return r.body == "" || r.body == o.confirmed, bookingState{true, o.confirmed}
		}
	},
}

// book sends a booking under one idempotency key to random instances until it is
// confirmed or the number of tries is reached.
func (c *cluster) book(r *rand.Rand, key string, tries int, recordTry func(call time.Time, o tryOutcome)) bookingResult {
	out := bookingResult{key: key}
	header := map[string]string{"X-Auburnstep-Class": "booking", "Idempotency-Key": key}
	unknown := false
	for range tries {
		in := c.instances[r.IntN(len(c.instances))]
		ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
		call := time.Now()
		a := in.send(ctx, "/services/rota-app/bookings", "statue "+key, header)
		cancel()
		if a.err == nil && a.status < 300 {
			recordTry(call, tryOutcome{confirmed: a.body})
			out.confirmed, out.notRun = a.body, false
			return out
		}
		// A transport error leaves the outcome unknown, as the verdict
		// may-have-run does: a refused connection sent nothing, but a connection
		// that broke may have delivered the request.
		notRun := a.err == nil && a.verdict == "not-run"
		recordTry(call, tryOutcome{notRun: notRun})
		unknown = unknown || !notRun
		out.notRun = !unknown
		time.Sleep(time.Duration(50+r.IntN(100)) * time.Millisecond)
	}
	return out
}

// TestBookingsUnderProcessFaults guards against a booking that runs twice, is
// lost after its confirmation, or runs although its caller received the verdict
// not-run. Instances, among them the leader and the scheduler, are killed, frozen
// and restarted while callers send bookings.
func TestBookingsUnderProcessFaults(t *testing.T) {
	c := startCluster(t, 4, 0)
	plain := c.startEndpoint(fakeengine.Config{Kind: endpointapi.KindPlain, Service: "rota-app", Slots: 16}, "rota-app/0")
	t.Logf("seed %d", bookingSeed)

	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	var history []bookingResult
	var operations []porcupine.Operation
	historyStart := time.Now()
	for w := range 8 {
		r := rand.New(rand.NewPCG(bookingSeed, uint64(w)))
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				// Each pair of callers shares half of its keys, so that the callers
				// send concurrent requests under the same key.
				key := fmt.Sprintf("k-%d-%d", w-w%2*(n%2), n)
				a := c.book(r, key, 6, func(call time.Time, o tryOutcome) {
					returned := time.Since(historyStart)
					if o == (tryOutcome{}) {
						// The booking may run after the end of the test: record
						// the try as still in progress.
						returned = time.Hour
					}
					mu.Lock()
					defer mu.Unlock()
					operations = append(operations, porcupine.Operation{
						ClientId: w, Input: key, Call: call.Sub(historyStart).Nanoseconds(), Output: o, Return: returned.Nanoseconds(),
					})
				})
				mu.Lock()
				history = append(history, a)
				mu.Unlock()
			}
		})
	}
	faults := []func(){
		func() { in := c.holder("rota-app/0"); in.kill(); time.Sleep(300 * time.Millisecond); in.start(t) },
		func() { in := c.leader(); in.kill(); time.Sleep(300 * time.Millisecond); in.start(t) },
		func() {
			in := c.leader()
			in.signal(syscall.SIGSTOP)
			time.Sleep(4 * time.Second)
			in.signal(syscall.SIGCONT)
		},
		func() { in := c.instances[3]; in.kill(); time.Sleep(300 * time.Millisecond); in.start(t) },
	}
	start := time.Now()
	for i, fault := range faults {
		time.Sleep(time.Second)
		fault()
		time.Sleep(2 * time.Second)
		mu.Lock()
		t.Logf("%v after the start: fault %d ended, %d bookings so far", time.Since(start).Round(time.Millisecond), i, len(history))
		mu.Unlock()
	}
	close(stop)
	callers.Wait()
	t.Logf("%v after the start: all callers finished", time.Since(start).Round(time.Millisecond))
	qt.Check(t, porcupine.CheckOperationsTimeout(bookingModel, operations, time.Minute), qt.Equals, porcupine.Ok)
	checkBookings(t, history, plain.Ledger())
}

// checkBookings compares the results that callers received with the bookings that
// the endpoint ran.
func checkBookings(t *testing.T, history []bookingResult, ledger []fakeengine.Booking) {
	t.Helper()
	runs := make(map[string]int)
	for _, b := range ledger {
		runs[b.Body]++
	}
	byKey := make(map[string]bookingResult)
	for _, a := range history {
		merged, ok := byKey[a.key]
		if !ok {
			merged.notRun = true
		}
		merged.notRun = merged.notRun && a.notRun
		if a.confirmed != "" {
			merged.confirmed = a.confirmed
		}
		byKey[a.key] = merged
	}
	confirmed, notRunKeys, unknown := 0, 0, 0
	for key, a := range byKey {
		n := runs["statue "+key]
		qt.Check(t, n <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", key, n))
		switch {
		case a.confirmed != "":
			confirmed++
			qt.Check(t, n, qt.Equals, 1, qt.Commentf("%s was confirmed, but did not run exactly once", key))
		case a.notRun:
			notRunKeys++
			qt.Check(t, n, qt.Equals, 0, qt.Commentf("%s ran despite the verdict not-run", key))
		default:
			unknown++
		}
	}
	t.Logf("%d bookings under %d keys: %d confirmed, %d not run, %d unknown; %d runs", len(history), len(byKey), confirmed, notRunKeys, unknown, len(ledger))
	qt.Check(t, confirmed > 0, qt.IsTrue)
}

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

// bookingSeed draws the callers' pauses and the faults.
const bookingSeed = 7

// attempt is what a caller was told about one booking.
type attempt struct {
	key       string
	confirmed string // body of the confirmation
	notRun    bool   // the last answer was not-run, and the caller gave up
}

// told is the outcome of one try: the body of a confirmation, a not-run
// verdict, or neither, after which the booking may have run or may yet run.
type told struct {
	confirmed string
	notRun    bool
}

// record is the sequential specification of one key: whether it ran, and the
// confirmation that every caller must get from then on, once one is known.
type record struct {
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
	Init: func() any { return record{} },
	Step: func(s, _, out any) (bool, any) {
		r, o := s.(record), out.(told)
		switch {
		case o.notRun:
			return true, r
		case o.confirmed == "":
			return true, record{true, r.body}
		default:
			return r.body == "" || r.body == o.confirmed, record{true, o.confirmed}
		}
	},
}

// book sends a booking under one key to random instances until it is
// confirmed or the caller gives up.
func (c *cluster) book(r *rand.Rand, key string, tries int, note func(call time.Time, o told)) attempt {
	out := attempt{key: key}
	header := map[string]string{"X-Auburnstep-Class": "booking", "Idempotency-Key": key}
	open := false
	for range tries {
		in := c.instances[r.IntN(len(c.instances))]
		ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
		call := time.Now()
		a := in.send(ctx, "/services/rota-app/bookings", "statue "+key, header)
		cancel()
		if a.err == nil && a.status < 300 {
			note(call, told{confirmed: a.body})
			out.confirmed, out.notRun = a.body, false
			return out
		}
		// A refused connection sent nothing, but a broken one leaves the
		// outcome open, as may-have-run does.
		notRun := a.err == nil && a.verdict == "not-run"
		note(call, told{notRun: notRun})
		open = open || !notRun
		out.notRun = !open
		time.Sleep(time.Duration(50+r.IntN(100)) * time.Millisecond)
	}
	return out
}

// TestBookingsThroughKills guards against a booking that runs twice, is lost
// after its confirmation, or ran although its caller was told that it did not,
// while instances are killed, frozen and restarted, the leader and the
// scheduler among them.
func TestBookingsThroughKills(t *testing.T) {
	c := startCluster(t, 4, 0)
	plain := c.endpoint(fakeengine.Config{Kind: endpointapi.KindPlain, Service: "rota-app", Slots: 16}, "rota-app/0")
	t.Logf("seed %d", bookingSeed)

	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	var history []attempt
	var operations []porcupine.Operation
	began := time.Now()
	for w := range 8 {
		r := rand.New(rand.NewPCG(bookingSeed, uint64(w)))
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				// Neighbours share half of their keys, so that they race.
				key := fmt.Sprintf("k-%d-%d", w-w%2*(n%2), n)
				a := c.book(r, key, 6, func(call time.Time, o told) {
					returned := time.Since(began)
					if o == (told{}) {
						returned = time.Hour
					}
					mu.Lock()
					defer mu.Unlock()
					operations = append(operations, porcupine.Operation{
						ClientId: w, Input: key, Call: call.Sub(began).Nanoseconds(), Output: o, Return: returned.Nanoseconds(),
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
		t.Logf("%v after the start: fault %d is over, %d bookings", time.Since(start).Round(time.Millisecond), i, len(history))
		mu.Unlock()
	}
	close(stop)
	callers.Wait()
	t.Logf("%v after the start: all callers are done", time.Since(start).Round(time.Millisecond))
	qt.Check(t, porcupine.CheckOperationsTimeout(bookingModel, operations, time.Minute), qt.Equals, porcupine.Ok)
	checkBookings(t, history, plain.Ledger())
}

// checkBookings compares what callers were told with what the endpoint ran.
func checkBookings(t *testing.T, history []attempt, ledger []fakeengine.Booking) {
	t.Helper()
	runs := make(map[string]int)
	for _, b := range ledger {
		runs[b.Body]++
	}
	byKey := make(map[string]attempt)
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
	confirmed, refused, open := 0, 0, 0
	for key, a := range byKey {
		n := runs["statue "+key]
		qt.Check(t, n <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", key, n))
		switch {
		case a.confirmed != "":
			confirmed++
			qt.Check(t, n, qt.Equals, 1, qt.Commentf("%s was confirmed and is lost", key))
		case a.notRun:
			refused++
			qt.Check(t, n, qt.Equals, 0, qt.Commentf("%s ran against a not-run verdict", key))
		default:
			open++
		}
	}
	t.Logf("%d attempts at %d keys: %d confirmed, %d not run, %d open; %d runs", len(history), len(byKey), confirmed, refused, open, len(ledger))
	qt.Check(t, confirmed > 0, qt.IsTrue)
}

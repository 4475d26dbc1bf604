package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"auburnstep.example/auburnstep/internal/answers"
	"auburnstep.example/auburnstep/internal/fakeengine"
)

// soonPause is the pause before the second send of a booking that follows soon.
const soonPause = 20 * time.Millisecond

// booked is one booking with the outcomes of its two sends.
type booked struct {
	key      string
	outcomes []Outcome
	answers  [][]byte
}

// bookings holds all bookings of a run.
type bookings struct {
	mu  sync.Mutex
	all []booked
}

func newBookings() *bookings { return &bookings{} }

func (b *bookings) add(one booked) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all = append(b.all, one)
}

// book sends one booking twice under one key: at once, soon after, or after the
// first answer.
func (r *runner) book(ctx context.Context, a arrival) {
	key := fmt.Sprintf("booking-%d-%d", r.options.Seed, a.index)
	body := fmt.Sprintf(`{"booking":%q}`, key)
	send := func() plainAnswer {
		answer := r.plain(ctx, http.MethodPost, a.class.Path, body, key, a)
		if answer.outcome == Whole {
			var echo answers.Echo
			if json.Unmarshal(answer.body, &echo) != nil || echo.Digest != answers.DigestOf(body) {
				answer.outcome = Wrong
			}
		}
		r.add(a, sample{outcome: answer.outcome, first: answer.total, total: answer.total})
		return answer
	}
	first := make(chan plainAnswer, 1)
	go func() { first <- send() }()
	var answers []plainAnswer
	switch a.repeat {
	case repeatAfterAnswer:
		answers = append(answers, <-first, send())
	case repeatSoon:
		select {
		case <-time.After(soonPause):
		case <-ctx.Done():
		}
		answers = append(answers, send(), <-first)
	default:
		answers = append(answers, send(), <-first)
	}
	one := booked{key: key}
	for _, answer := range answers {
		one.outcomes = append(one.outcomes, answer.outcome)
		if answer.outcome == Whole {
			one.answers = append(one.answers, answer.body)
		}
	}
	r.bookings.add(one)
}

// BookingReport counts what became of the bookings.
type BookingReport struct {
	Bookings int `json:"bookings"`
	// Confirmed bookings have at least one answer with success.
	Confirmed int `json:"confirmed"`
	// Doubled bookings ran more than once, or have two different answers.
	Doubled int `json:"doubled"`
	// Lost bookings were confirmed and are in no ledger.
	Lost int `json:"lost"`
	// RanThoughNotRun bookings have only not-run answers and are in a ledger.
	RanThoughNotRun int `json:"ran_though_not_run"`
	// LedgersRead is false where the ledgers were not given or one was not read.
	// Lost and RanThoughNotRun are not known then.
	LedgersRead bool `json:"ledgers_read"`
}

// judge compares the bookings with the runs by key in the ledgers. runs is nil
// where the ledgers are not known.
func (b *bookings) judge(runs map[string]int) BookingReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	report := BookingReport{Bookings: len(b.all), LedgersRead: runs != nil}
	for _, one := range b.all {
		n, confirmed := runs[one.key], len(one.answers) > 0
		if confirmed {
			report.Confirmed++
		}
		if n > 1 || len(one.answers) == 2 && !bytes.Equal(one.answers[0], one.answers[1]) {
			report.Doubled++
		}
		if runs != nil && confirmed && n == 0 {
			report.Lost++
		}
		if n > 0 && allNotRun(one.outcomes) {
			report.RanThoughNotRun++
		}
	}
	return report
}

func allNotRun(outcomes []Outcome) bool {
	for _, o := range outcomes {
		if o != NotRun {
			return false
		}
	}
	return true
}

// readLedgers returns the number of runs by key over all ledgers, or nil.
func (r *runner) readLedgers(ctx context.Context) (map[string]int, error) {
	if len(r.options.Ledgers) == 0 {
		return nil, nil
	}
	runs := make(map[string]int)
	for _, address := range r.options.Ledgers {
		list, err := r.readLedger(ctx, address)
		if err != nil {
			return nil, Error.New("the ledger of %s was not read: %w", address, err)
		}
		for _, b := range list {
			runs[ledgerKey(b)]++
		}
	}
	return runs, nil
}

// ledgerKey returns the key of a run. The body carries it as well, since an
// entry may keep the header to itself.
func ledgerKey(b fakeengine.Booking) string {
	var body struct {
		Booking string `json:"booking"`
	}
	if json.Unmarshal([]byte(b.Body), &body) == nil && body.Booking != "" {
		return body.Booking
	}
	return b.Key
}

func (r *runner) readLedger(ctx context.Context, address string) ([]fakeengine.Booking, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/ledger", nil)
	if err != nil {
		return nil, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var list []fakeengine.Booking
	return list, json.NewDecoder(resp.Body).Decode(&list)
}

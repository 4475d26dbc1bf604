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

// repeatDelay is the delay between the two requests of a repeatAfterDelay booking.
const repeatDelay = 20 * time.Millisecond

// bookingRecord is one booking with the outcomes of its two requests.
type bookingRecord struct {
	key      string
	outcomes []Outcome
	answers  [][]byte // bodies of the complete responses
}

// bookingLog holds all bookings of a run.
type bookingLog struct {
	mu      sync.Mutex
	records []bookingRecord
}

func newBookingLog() *bookingLog { return &bookingLog{} }

func (b *bookingLog) record(booking bookingRecord) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.records = append(b.records, booking)
}

// sendBooking sends one booking twice under the same idempotency key. a.repeat
// selects whether the second request follows at once, after repeatDelay or after the
// first response.
func (r *runner) sendBooking(ctx context.Context, a arrival) {
	key := fmt.Sprintf("booking-%d-%d", r.options.Seed, a.index)
	body := fmt.Sprintf(`{"booking":%q}`, key)
	send := func() plainResponse {
		response := r.sendPlain(ctx, http.MethodPost, a.class.Path, body, key, a)
		if response.outcome == Complete {
			var echo answers.Echo
			if json.Unmarshal(response.body, &echo) != nil || echo.Digest != answers.DigestOf(body) {
				response.outcome = Wrong
			}
		}
		r.record(a, requestResult{outcome: response.outcome, first: response.total, total: response.total})
		return response
	}
	first := make(chan plainResponse, 1)
	go func() { first <- send() }()
	var answers []plainResponse
	switch a.repeat {
	case repeatAfterResponse:
		answers = append(answers, <-first, send())
	case repeatAfterDelay:
		select {
		case <-time.After(repeatDelay):
		case <-ctx.Done():
		}
		answers = append(answers, send(), <-first)
	default:
		answers = append(answers, send(), <-first)
	}
	booking := bookingRecord{key: key}
	for _, response := range answers {
		booking.outcomes = append(booking.outcomes, response.outcome)
		if response.outcome == Complete {
			booking.answers = append(booking.answers, response.body)
		}
	}
	r.bookingLog.record(booking)
}

// BookingReport counts the bookings of a run by their result.
type BookingReport struct {
	Bookings int `json:"bookings"`
	// Confirmed counts bookings with at least one complete response.
	Confirmed int `json:"confirmed"`
	// Duplicated counts bookings that ran more than once or that got two different
	// responses.
	Duplicated int `json:"doubled"`
	// Lost counts bookings that were confirmed and are in no ledger.
	Lost int `json:"lost"`
	// RanDespiteNotRun counts bookings that got only not-run verdicts and are in a
	// ledger.
	RanDespiteNotRun int `json:"ran_though_not_run"`
	// LedgersRead is false if no ledgers were configured or one could not be read.
	// Lost and RanDespiteNotRun are unknown then and stay 0.
	LedgersRead bool `json:"ledgers_read"`
}

// buildReport compares the bookings with the ledgers. runs holds the number of runs by
// key, or is nil if the ledgers were not read.
func (b *bookingLog) buildReport(runs map[string]int) BookingReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	report := BookingReport{Bookings: len(b.records), LedgersRead: runs != nil}
	for _, booking := range b.records {
		runCount, confirmed := runs[booking.key], len(booking.answers) > 0
		if confirmed {
			report.Confirmed++
		}
		if runCount > 1 || len(booking.answers) == 2 && !bytes.Equal(booking.answers[0], booking.answers[1]) {
			report.Duplicated++
		}
		if runs != nil && confirmed && runCount == 0 {
			report.Lost++
		}
		if runCount > 0 && allNotRun(booking.outcomes) {
			report.RanDespiteNotRun++
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

// readLedgers returns the number of runs by key over all ledgers, or nil if no
// ledgers are configured.
func (r *runner) readLedgers(ctx context.Context) (map[string]int, error) {
	if len(r.options.Ledgers) == 0 {
		return nil, nil
	}
	runs := make(map[string]int)
	for _, address := range r.options.Ledgers {
		list, err := r.readLedger(ctx, address)
		if err != nil {
			return nil, Error.New("reading the ledger of %s: %w", address, err)
		}
		for _, b := range list {
			runs[ledgerKey(b)]++
		}
	}
	return runs, nil
}

// ledgerKey returns the key of a run. It prefers the key in the body, since an entry
// may not forward the Idempotency-Key header.
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

package router

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"auburnstep.example/auburnstep/internal/directory"
	"auburnstep.example/auburnstep/internal/dispatch"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/httpconn"
	"auburnstep.example/auburnstep/internal/quarantine"
)

const (
	// answerStart is how long after its first event an answer counts as just begun.
	answerStart = 250 * time.Millisecond
	// maxCrashChecks bounds the endpoints that are checked at the same time, and
	// maxCheckedReports the reports that wait for the check of one of them.
	maxCrashChecks    = 32
	maxCheckedReports = 256
	// quarantineRetryAfter is the Retry-After of requests with a quarantined part. The
	// quarantine lasts for minutes.
	quarantineRetryAfter = time.Minute
)

// errQuarantined ends requests that have a quarantined part or are quarantined themselves.
var errQuarantined = errors.New("the request, or a part of its prompt, has crashed the endpoints that ran it")

// attemptSet holds the attempts in flight that no endpoint has begun to answer. It is safe
// for concurrent use.
type attemptSet struct {
	mu       sync.Mutex
	attempts map[*pendingAttempt]struct{}
}

type pendingAttempt struct {
	suspects []string
	cancel   context.CancelCauseFunc
}

func newAttemptSet() *attemptSet {
	return &attemptSet{attempts: make(map[*pendingAttempt]struct{})}
}

// add adds an attempt and returns the function that removes it, which may be called twice.
func (s *attemptSet) add(suspects []string, cancel context.CancelCauseFunc) (remove func()) {
	a := &pendingAttempt{suspects, cancel}
	s.mu.Lock()
	s.attempts[a] = struct{}{}
	s.mu.Unlock()
	return func() {
		s.mu.Lock()
		delete(s.attempts, a)
		s.mu.Unlock()
	}
}

// cancelQuarantined cancels the attempts that the quarantine concerns. Requests that wait at an
// endpoint would crash it when their turn comes.
func (s *attemptSet) cancelQuarantined(crashes *directory.Crashes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.attempts {
		if _, found := crashes.Find(a.suspects); found {
			a.cancel(errQuarantined)
		}
	}
}

// suspects returns the ids of what may make the request crash endpoints: the parts of its
// prompt, and the request as a whole.
func (q *request) suspects() []string {
	if q.cachedSuspects == nil {
		q.cachedSuspects = append(partIDs(q.demand.Prompt.Parts), q.fingerprint())
	}
	return q.cachedSuspects
}

// findQuarantined sets quarantinedPart and reports whether there is one. It is called
// before each attempt, since the quarantine may begin while a request waits or runs.
func (q *request) findQuarantined() bool {
	part, found := q.server.options.Crashes.Find(q.suspects())
	q.quarantinedPart = part
	return found
}

// trackCrashes records the result of an attempt with respect to the request and the parts
// of its prompt. An answer that is lost before it has well begun and whose endpoint is then
// gone speaks against them, a complete answer for them. The parts are blamed only if the
// answer had begun: every request that waits at an endpoint loses its answer before that,
// and many of them share parts, while few are repeats of each other.
func (q *request) trackCrashes(ctx context.Context, c *dispatch.Choice, r attemptResult, sentAt time.Time) {
	if ctx.Err() != nil || r.notRun {
		return
	}
	now := time.Now()
	var suspects []string
	switch {
	case r.outcome == dispatch.Answered && r.status < http.StatusMultipleChoices:
		q.server.options.Crashes.RecordAnswered(now, append(sharedParts(q.demand.Prompt.Parts), q.fingerprint()))
		return
	case r.outcome == dispatch.Answered && r.status < http.StatusInternalServerError:
		q.server.options.Crashes.RecordAnswered(now, []string{q.fingerprint()})
		return
	case r.outcome != dispatch.Broken, !q.attemptEventAt.IsZero() && now.Sub(q.attemptEventAt) >= answerStart:
		return
	case r.begun:
		suspects = sharedParts(q.demand.Prompt.Parts)
	}
	q.server.checkCrash(c.Endpoint, quarantine.Report{
		Endpoint: c.Endpoint.ID, Incarnation: c.Endpoint.Incarnation, Request: q.call.PrintableID(), Parts: append(suspects, q.fingerprint()), SentAt: sentAt, LostAt: now,
	})
}

// crashChecks holds the reports that wait until it is known whether their endpoint has
// crashed. It is safe for concurrent use.
type crashChecks struct {
	mu      sync.Mutex
	waiting map[string][]quarantine.Report // by address
}

func newCrashChecks() *crashChecks {
	return &crashChecks{waiting: make(map[string][]quarantine.Report)}
}

// add adds a report. It returns first if the endpoint is to be checked, and full if there
// is no room for the report.
func (c *crashChecks) add(address string, r quarantine.Report) (first, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reports, running := c.waiting[address]
	if !running && len(c.waiting) >= maxCrashChecks || len(reports) >= maxCheckedReports {
		return false, true
	}
	c.waiting[address] = append(reports, r)
	return !running, false
}

// take removes and returns the reports of an endpoint whose check has ended.
func (c *crashChecks) take(address string) []quarantine.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	reports := c.waiting[address]
	delete(c.waiting, address)
	return reports
}

// checkCrash adds a report if the endpoint refuses connections. It does not block. An
// endpoint that crashes ends many requests at once; it is checked once for all of them.
func (s *Server) checkCrash(e dispatch.Endpoint, r quarantine.Report) {
	fields := func(r quarantine.Report) []event.Field {
		return []event.Field{event.Request(r.Request), event.F("endpoint", e.ID), event.F("address", e.Address), event.F("parts", r.Parts)}
	}
	first, full := s.crashChecks.add(e.Address, r)
	if full {
		s.options.Events.Emit(eventCrashUnchecked, fields(r)...)
	}
	if !first {
		return
	}
	go func() {
		crashed := httpconn.HasCrashed(context.Background(), e.Address)
		reports := s.crashChecks.take(e.Address)
		if !crashed {
			return
		}
		for _, r := range reports {
			s.options.Events.Emit(eventEndpointCrashed, fields(r)...)
		}
		s.options.Crashes.Add(time.Now(), reports...)
	}()
}

// sharedParts returns the ids of the parts that several requests may share, which are all
// but the last.
func sharedParts(parts []dispatch.Part) []string {
	if len(parts) < 2 {
		return nil
	}
	return partIDs(parts[:len(parts)-1])
}

// partIDs returns the ids of prompt parts.
func partIDs(parts []dispatch.Part) []string {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = p.ID
	}
	return ids
}

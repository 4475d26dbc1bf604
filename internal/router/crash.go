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
	// maxCrashChecks bounds the checks that run at the same time.
	maxCrashChecks = 32
	// quarantineRetryAfter is the Retry-After of requests with a quarantined part. The
	// quarantine lasts for minutes.
	quarantineRetryAfter = time.Minute
)

// errQuarantined ends requests with a quarantined part.
var errQuarantined = errors.New("a part of the prompt has crashed the endpoints that ran it")

// attemptSet holds the attempts in flight that no endpoint has begun to answer. It is safe
// for concurrent use.
type attemptSet struct {
	mu       sync.Mutex
	attempts map[*pendingAttempt]struct{}
}

type pendingAttempt struct {
	parts  []string
	cancel context.CancelCauseFunc
}

func newAttemptSet() *attemptSet {
	return &attemptSet{attempts: make(map[*pendingAttempt]struct{})}
}

// add adds an attempt and returns the function that removes it, which may be called twice.
func (s *attemptSet) add(parts []string, cancel context.CancelCauseFunc) (remove func()) {
	if len(parts) == 0 {
		return func() {}
	}
	a := &pendingAttempt{parts, cancel}
	s.mu.Lock()
	s.attempts[a] = struct{}{}
	s.mu.Unlock()
	return func() {
		s.mu.Lock()
		delete(s.attempts, a)
		s.mu.Unlock()
	}
}

// cancelQuarantined cancels the attempts with a quarantined part. Requests that wait at an
// endpoint would crash it when their turn comes.
func (s *attemptSet) cancelQuarantined(crashes *directory.Crashes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.attempts {
		if _, found := crashes.Find(a.parts); found {
			a.cancel(errQuarantined)
		}
	}
}

// findQuarantined sets quarantinedPart and reports whether there is one. It is called
// before each attempt, since the quarantine may begin while a request waits or runs.
func (q *request) findQuarantined() bool {
	part, found := q.server.options.Crashes.Find(partIDs(q.demand.Prompt.Parts))
	q.quarantinedPart = part
	return found
}

// trackCrashes records the result of an attempt with respect to the parts of the prompt.
// An answer that breaks off as it begins and whose endpoint is then gone speaks against
// them, a complete answer for them.
func (q *request) trackCrashes(ctx context.Context, c *dispatch.Choice, r attemptResult, sentAt time.Time) {
	parts := sharedParts(q.demand.Prompt.Parts)
	if len(parts) == 0 || !r.begun || ctx.Err() != nil {
		return
	}
	now := time.Now()
	switch {
	case r.outcome == dispatch.Answered && r.status < http.StatusMultipleChoices:
		q.server.options.Crashes.RecordAnswered(now, parts)
	case r.outcome == dispatch.Broken && (q.attemptEventAt.IsZero() || now.Sub(q.attemptEventAt) < answerStart):
		q.server.checkCrash(c.Endpoint, quarantine.Report{
			Endpoint: c.Endpoint.ID, Incarnation: c.Endpoint.Incarnation, Request: q.call.ID, Parts: parts, SentAt: sentAt, LostAt: now,
		})
	}
}

// checkCrash adds a report if the endpoint refuses connections. It does not block.
func (s *Server) checkCrash(e dispatch.Endpoint, r quarantine.Report) {
	fields := []event.Field{event.Request(r.Request), event.F("endpoint", e.ID), event.F("address", e.Address), event.F("parts", r.Parts)}
	select {
	case s.crashChecks <- struct{}{}:
	default:
		s.options.Events.Emit(eventCrashUnchecked, fields...)
		return
	}
	go func() {
		defer func() { <-s.crashChecks }()
		if !httpconn.HasCrashed(context.Background(), e.Address) {
			return
		}
		s.options.Events.Emit(eventEndpointCrashed, fields...)
		s.options.Crashes.Add(time.Now(), r)
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

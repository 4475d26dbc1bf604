package entry

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"auburnstep.example/auburnstep/internal/settings"
	"auburnstep.example/auburnstep/internal/upstream"
	"auburnstep.example/auburnstep/internal/verdict"
)

// HeaderTimeout carries the time in milliseconds that is left for a request. Callers
// may set it; the entry sets it in requests to endpoints.
const HeaderTimeout = upstream.HeaderTimeout

// setDeadline sets the deadline of the request: the deadline of its class, or the
// caller's timeout if that is shorter. Both count from the arrival of the request.
func (q *request) setDeadline(h http.Header) *verdict.Error {
	limit := q.class.Deadline
	if values := h.Values(HeaderTimeout); len(values) > 0 {
		ms, err := strconv.ParseUint(values[0], 10, 63)
		if err != nil || ms == 0 || len(values) > 1 {
			return verdict.Refused(http.StatusBadRequest, "invalid_timeout",
				HeaderTimeout+" is "+quote(values[0])+"; allowed is one whole number of milliseconds above 0")
		}
		limit = min(limit, time.Duration(min(ms, uint64(limit.Milliseconds())))*time.Millisecond)
	}
	q.deadline = q.start.Add(limit)
	return nil
}

const (
	// firstTokenSamples is the number of recent samples that are kept for a class.
	firstTokenSamples = 16
	// minFirstTokenSamples is the number of samples that are needed to skip a retry.
	minFirstTokenSamples = 4
)

// firstTokenHistory holds the recent times to the first token of each class, counted
// from the start of the attempt. It needs no eviction, since classes are defined in
// the settings and are few.
type firstTokenHistory struct {
	mu      sync.Mutex
	classes map[classID]*firstTokenWindow
}

type classID struct{ service, class string }

func classIDOf(c *settings.ClassPolicy) classID { return classID{c.Service, c.Class} }

// record adds a time to the first token.
func (t *firstTokenHistory) record(c *settings.ClassPolicy, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.classes[classIDOf(c)]
	if w == nil {
		if t.classes == nil {
			t.classes = make(map[classID]*firstTokenWindow)
		}
		w = &firstTokenWindow{}
		t.classes[classIDOf(c)] = w
	}
	w.samples[w.count%firstTokenSamples] = d
	w.count++
}

// allSlowerThan reports whether every recent request of the class took longer than
// timeLeft to get its first token. It reports false if there are too few samples.
func (t *firstTokenHistory) allSlowerThan(c *settings.ClassPolicy, timeLeft time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.classes[classIDOf(c)]
	return w != nil && timeLeft < w.shortest()
}

type firstTokenWindow struct {
	samples [firstTokenSamples]time.Duration
	count   int
}

// shortest returns the shortest recent time to the first token, or 0 if there are too
// few samples. The shortest is used, so that only retries without any chance are
// skipped.
func (w *firstTokenWindow) shortest() time.Duration {
	if w.count < minFirstTokenSamples {
		return 0
	}
	return slices.Min(w.samples[:min(w.count, firstTokenSamples)])
}

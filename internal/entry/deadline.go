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

// HeaderTimeout is the time in milliseconds that a caller, or towards an
// endpoint the entry, gives a request.
const HeaderTimeout = upstream.HeaderTimeout

// bound sets the deadline of the request: that of its class, or an earlier one
// that the caller names. It counts from the arrival of the request.
func (q *request) bound(h http.Header) *verdict.Error {
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
	// paceSamples is the number of first tokens that a class is judged by.
	paceSamples = 16
	// paceEnough is the number of samples below which no retry is held back.
	paceEnough = 4
)

// paceTable remembers how long the latest first tokens of each class took from
// the sending of the request. Classes are few, as settings name them.
type paceTable struct {
	mu      sync.Mutex
	classes map[classID]*paceWindow
}

type classID struct{ service, class string }

func idOf(c *settings.ClassPolicy) classID { return classID{c.Service, c.Class} }

// add notes the time to a first token.
func (t *paceTable) add(c *settings.ClassPolicy, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.classes[idOf(c)]
	if w == nil {
		if t.classes == nil {
			t.classes = make(map[classID]*paceWindow)
		}
		w = &paceWindow{}
		t.classes[idOf(c)] = w
	}
	w.samples[w.count%paceSamples] = d
	w.count++
}

// hopeless reports whether no recent request of the class got its first token
// within the time left.
func (t *paceTable) hopeless(c *settings.ClassPolicy, left time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.classes[idOf(c)]
	return w != nil && left < w.quickest()
}

type paceWindow struct {
	samples [paceSamples]time.Duration
	count   int
}

// quickest returns the shortest of the latest first tokens, or 0 if there are
// too few. The shortest is compared with the time left, so that only a retry
// that has no chance is held back.
func (w *paceWindow) quickest() time.Duration {
	if w.count < paceEnough {
		return 0
	}
	return slices.Min(w.samples[:min(w.count, paceSamples)])
}

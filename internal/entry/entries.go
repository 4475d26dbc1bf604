package entry

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"auburnstep.example/auburnstep/internal/endpointapi"
	controlv1 "auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// AddressList is the answer of GET /v1/entries.
type AddressList struct {
	Entries []endpointapi.Address `json:"entries"`
	// KeepSeconds is how long a caller may use the list before it asks again.
	KeepSeconds int `json:"keep_seconds"`
}

// entries serves GET /v1/entries. It answers without a key, since a caller asks
// it before anything else, and tells nothing but addresses.
func (s *Server) entries(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.addresses())
}

func (s *Server) addresses() AddressList {
	list := AddressList{Entries: []endpointapi.Address{}, KeepSeconds: KeepSeconds}
	for _, e := range s.o.View.Instances() {
		if e.Draining || (e.Instance == s.o.Instance && s.o.Draining.Load()) {
			continue
		}
		list.Entries = append(list.Entries, address(e))
	}
	return list
}

func address(e *controlv1.EntryInfo) endpointapi.Address {
	return endpointapi.Address{Address: e.Address, FailureDomain: e.FailureDomain, Weight: max(e.Weight, 1)}
}

// modelMemory is how long a model that was announced stays known without a
// report. A scheduler that takes over a group reports models only after the
// endpoints have announced themselves to it.
const modelMemory = 10 * time.Minute

// modelTable remembers the models that endpoints announce, by service.
type modelTable struct {
	mu   sync.Mutex
	seen map[string]map[string]time.Time
}

// update adds the models of the reports and returns all known ones, sorted.
func (t *modelTable) update(now time.Time, reports []*controlv1.GroupReport) map[string][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.seen == nil {
		t.seen = make(map[string]map[string]time.Time)
	}
	for _, r := range reports {
		service, _, _ := strings.Cut(r.Group, "/")
		if t.seen[service] == nil {
			t.seen[service] = make(map[string]time.Time)
		}
		for _, m := range r.Models {
			t.seen[service][m] = now
		}
	}
	out := make(map[string][]string, len(t.seen))
	for service, models := range t.seen {
		for m, at := range models {
			if now.Sub(at) > modelMemory {
				delete(models, m)
				continue
			}
			out[service] = append(out[service], m)
		}
		slices.Sort(out[service])
	}
	return out
}

// announcedModels returns the models that endpoints announce, by service.
func (s *Server) announcedModels() map[string][]string {
	return s.announced.update(time.Now(), s.o.View.Reports())
}

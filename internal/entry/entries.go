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

// AddressList is the response of GET /v1/entries.
type AddressList struct {
	Entries []endpointapi.Address `json:"entries"`
	// ListTTLSeconds is the time in seconds after which a caller must fetch the list
	// again.
	ListTTLSeconds int `json:"keep_seconds"`
}

// handleEntries serves GET /v1/entries. It requires no key, since callers fetch the
// list before their first request, and it reveals only addresses, failure domains
// and weights.
func (s *Server) handleEntries(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.entryList())
}

func (s *Server) entryList() AddressList {
	list := AddressList{Entries: []endpointapi.Address{}, ListTTLSeconds: ListTTLSeconds}
	for _, e := range s.opts.View.Instances() {
		if e.Draining || (e.Instance == s.opts.Instance && s.opts.Draining.Load()) {
			continue
		}
		list.Entries = append(list.Entries, entryAddress(e))
	}
	return list
}

func entryAddress(e *controlv1.EntryInfo) endpointapi.Address {
	return endpointapi.Address{Address: e.Address, FailureDomain: e.FailureDomain, Weight: max(e.Weight, 1)}
}

// announcedModelRetention is how long an announced model stays known after the last
// report that contains it. A scheduler that has just acquired a group cannot report
// the models until the endpoints have announced themselves to it.
const announcedModelRetention = 10 * time.Minute

// modelTable holds the models that endpoints have announced, by service.
type modelTable struct {
	mu sync.Mutex
	// lastSeen is the time of the last report, by service and model.
	lastSeen map[string]map[string]time.Time
}

// update adds the models in the reports, removes expired models, and returns the
// known models of each service, sorted.
func (t *modelTable) update(now time.Time, reports []*controlv1.GroupReport) map[string][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastSeen == nil {
		t.lastSeen = make(map[string]map[string]time.Time)
	}
	for _, r := range reports {
		service, _, _ := strings.Cut(r.Group, "/")
		if t.lastSeen[service] == nil {
			t.lastSeen[service] = make(map[string]time.Time)
		}
		for _, m := range r.Models {
			t.lastSeen[service][m] = now
		}
	}
	out := make(map[string][]string, len(t.lastSeen))
	for service, models := range t.lastSeen {
		for m, at := range models {
			if now.Sub(at) > announcedModelRetention {
				delete(models, m)
				continue
			}
			out[service] = append(out[service], m)
		}
		slices.Sort(out[service])
	}
	return out
}

// announcedModels returns the models that endpoints have announced, by service.
func (s *Server) announcedModels() map[string][]string {
	return s.announced.update(time.Now(), s.opts.View.Reports())
}

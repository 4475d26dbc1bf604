package entry

import (
	"net/http"
	"strings"

	controlv1 "auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// Address is one address that callers may use.
type Address struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Weight        uint32 `json:"weight"`
}

// AddressList is the answer of GET /v1/entries.
type AddressList struct {
	Entries []Address `json:"entries"`
	// KeepSeconds is how long a caller may use the list before it asks again.
	KeepSeconds int `json:"keep_seconds"`
}

// entries serves GET /v1/entries. It answers without a key, since a caller asks
// it before anything else, and tells nothing but addresses.
func (s *Server) entries(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.addresses())
}

func (s *Server) addresses() AddressList {
	list := AddressList{Entries: []Address{}, KeepSeconds: KeepSeconds}
	for _, e := range s.o.View.Instances() {
		if e.Draining || (e.Instance == s.o.Instance && s.o.Draining.Load()) {
			continue
		}
		list.Entries = append(list.Entries, address(e))
	}
	return list
}

func address(e *controlv1.EntryInfo) Address {
	return Address{Address: e.Address, FailureDomain: e.FailureDomain, Weight: max(e.Weight, 1)}
}

// announcedModels returns the models that endpoints announce, by service.
func (s *Server) announcedModels() map[string][]string {
	out := make(map[string][]string)
	for _, r := range s.o.View.Reports() {
		service, _, _ := strings.Cut(r.Group, "/")
		out[service] = append(out[service], r.Models...)
	}
	return out
}

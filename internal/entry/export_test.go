package entry

import (
	"time"

	"auburnstep.example/auburnstep/internal/settings"
)

// SetBodyTimeout changes the bound on reading a body before requests arrive.
func (s *Server) SetBodyTimeout(d time.Duration) { s.bodyTimeout = d }

// AssumeFirstTokens gives a class a history of first tokens.
func (s *Server) AssumeFirstTokens(service, class string, took ...time.Duration) {
	for _, d := range took {
		s.paces.add(&settings.ClassPolicy{Service: service, Class: class}, d)
	}
}

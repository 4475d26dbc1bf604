package entry

import (
	"time"

	"auburnstep.example/auburnstep/internal/settings"
)

// AssumeFirstTokens gives a class a history of first tokens.
func (s *Server) AssumeFirstTokens(service, class string, took ...time.Duration) {
	for _, d := range took {
		s.paces.add(&settings.ClassPolicy{Service: service, Class: class}, d)
	}
}

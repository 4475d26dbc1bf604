package entry

import (
	"time"

	"auburnstep.example/auburnstep/internal/settings"
)

// SetBodyTimeout sets the timeout for reading a request body. It must be called before
// the first request.
func (s *Server) SetBodyTimeout(d time.Duration) { s.bodyTimeout = d }

// SeedFirstTokenHistory adds times to the first token to the history of a class.
func (s *Server) SeedFirstTokenHistory(service, class string, times ...time.Duration) {
	for _, d := range times {
		s.firstTokens.record(&settings.ClassPolicy{Service: service, Class: class}, d)
	}
}

// Package metrics owns the root tally scope of a process and its scrape endpoint.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally hands values to the reporter.
const reportInterval = time.Second

// Metrics is the root scope and the handler that serves it.
type Metrics struct {
	tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// sanitizer keeps label values as operators name instances, classes and groups.
// The reporter's default turns hyphens and slashes into underscores, so that a
// label cannot be matched with a setting.
var sanitizer = func() tally.SanitizeOptions {
	o := promreporter.DefaultSanitizerOpts
	o.ValueCharacters = tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: []rune{'_', '-', '.', '/'}}
	return o
}()

// New returns the metrics of one process. All names start with "auburnstep_".
func New(instance string) *Metrics {
	reporter := promreporter.NewReporter(promreporter.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "auburnstep",
		Tags:            map[string]string{"instance": instance},
		CachedReporter:  reporter,
		Separator:       promreporter.DefaultSeparator,
		SanitizeOptions: &sanitizer,
		// Tally's own counters would carry names outside this project's prefix.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close flushes and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

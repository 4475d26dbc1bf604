// Package metrics creates the root tally scope of a process and the HTTP handler
// from which its metrics are scraped.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which tally passes values to the reporter.
const reportInterval = time.Second

// Metrics is the root scope of a process with the handler that serves its metrics.
type Metrics struct {
	tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// sanitizeOptions preserves the hyphens, dots and slashes in names of instances,
// classes and groups. By default the reporter replaces hyphens and slashes by
// underscores, and then a label value no longer equals the name in the settings.
var sanitizeOptions = func() tally.SanitizeOptions {
	o := promreporter.DefaultSanitizerOpts
	o.ValueCharacters = tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: []rune{'_', '-', '.', '/'}}
	return o
}()

// New returns the metrics of a process. All names start with "auburnstep_", and
// all metrics have the label "instance".
func New(instance string) *Metrics {
	reporter := promreporter.NewReporter(promreporter.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "auburnstep",
		Tags:            map[string]string{"instance": instance},
		CachedReporter:  reporter,
		Separator:       promreporter.DefaultSeparator,
		SanitizeOptions: &sanitizeOptions,
		// The names of tally's own counters would lack the prefix.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports the last values and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

package metrics

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const page = "../../docs/metrics.md"

// scopes names the sub-scope of each package that registers metrics.
var scopes = map[string]string{
	"control": "control_", "control/feed": "", "directory": "", "httpconn": "", "router": "", "entry": "requests_", "grants": "grants_", "placement": "placement_", "rpc/transport": "",
	"schedulerhost": "scheduler_", "upstream": "upstream_",
}

// types are the types of a scrape for the kinds of tally.
var types = map[string]string{"Counter": "counter", "Gauge": "gauge", "Timer": "summary", "Histogram": "histogram"}

var (
	registration = regexp.MustCompile(`\.(Counter|Gauge|Timer|Histogram)\(([^,)]*)`)
	rows         = regexp.MustCompile("(?m)^\\| ((?:`[a-z_]+`(?:, )?)+) \\| (\\w+) \\|")
	names        = regexp.MustCompile("`([a-z_]+)`")
)

// registered returns "name type" of all metrics in the code below internal.
func registered(t *testing.T) []string {
	var out []string
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, m := range registration.FindAllStringSubmatch(string(source), -1) {
			name, literal := strings.CutPrefix(m[2], `"`)
			dir, _ := filepath.Rel("..", filepath.Dir(path))
			scope, known := scopes[filepath.ToSlash(dir)]
			qt.Check(t, literal && known, qt.IsTrue, qt.Commentf("%s: %s: the name must be a literal and the package in scopes", path, m[0]))
			out = append(out, scope+strings.TrimSuffix(name, `"`)+" "+types[m[1]])
		}
		return nil
	})
	qt.Assert(t, err, qt.IsNil)
	return out
}

// TestPage guards against metrics that operators cannot look up, and against
// ones that the page names and no instance has.
func TestPage(t *testing.T) {
	text, err := os.ReadFile(page)
	qt.Assert(t, err, qt.IsNil)
	var described []string
	for _, row := range rows.FindAllStringSubmatch(string(text), -1) {
		for _, name := range names.FindAllStringSubmatch(row[1], -1) {
			described = append(described, name[1]+" "+row[2])
		}
	}
	found := registered(t)
	slices.Sort(described)
	slices.Sort(found)
	qt.Check(t, described, qt.DeepEquals, slices.Compact(found))
}

package proof

import (
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const module = "auburnstep.example/auburnstep/"

// TestLayers guards against a package that imports another package of the same
// or a higher layer, and against a package that is missing from the layer table
// in docs/design.md.
func TestLayers(t *testing.T) {
	page, err := os.ReadFile("../../docs/design.md")
	qt.Assert(t, err, qt.IsNil)
	layers := make(map[string]string)
	for _, row := range regexp.MustCompile(`(?m)^\| (\d) \| ([^|]+) \|`).FindAllStringSubmatch(string(page), -1) {
		for _, name := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(row[2], -1) {
			layers[name[1]] = row[1]
		}
	}
	out, err := exec.Command("go", "list", "-f", `{{.ImportPath}} {{join .Imports " "}}`, module+"internal/...").Output()
	qt.Assert(t, err, qt.IsNil)
	for _, line := range strings.Split(strings.TrimSpace(string(out)), "\n") {
		fields := strings.Fields(line)
		name := strings.TrimPrefix(fields[0], module)
		if parts := regexp.MustCompile(`^internal/rpc/|^internal/(testkit|consensus)/`); parts.MatchString(name) {
			continue // generated code and subpackages, which the table does not list
		}
		own, ok := layers[name]
		if !qt.Check(t, ok, qt.IsTrue, qt.Commentf("%s is missing from the layer table in docs/design.md", name)) {
			continue
		}
		for _, imported := range fields[1:] {
			other, ok := layers[strings.TrimPrefix(imported, module)]
			qt.Check(t, !ok || other < own, qt.IsTrue, qt.Commentf("%s (layer %s) imports %s (layer %s)", name, own, imported, other))
		}
	}
}

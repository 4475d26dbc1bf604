package scheduler

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests unless one is given. A lane without debt is
// found by 1,000 checks and not by the 100 of the library.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// Package properties makes property tests generate the same cases in every run.
package properties

import (
	"flag"
	"strconv"
	"testing"
)

// Seed is the default seed of all property tests.
const Seed = 20261204

// Run runs the tests of a package with a fixed seed and number of rapid checks.
// Command-line flags such as -rapid.seed take precedence.
func Run(m *testing.M, checks int) int {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.checks": strconv.Itoa(checks), "rapid.seed": strconv.Itoa(Seed), "rapid.nofailfile": "true",
	} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	return m.Run()
}

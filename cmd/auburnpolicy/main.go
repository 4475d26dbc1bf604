// Command auburnpolicy measures the scheduling policy against baselines in
// simulations and prints the results as Markdown tables. The same seeds give the
// same tables.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"auburnstep.example/auburnstep/internal/policy"
)

var flags struct {
	Seeds   []uint64 `help:"Seeds of the workloads." default:"1,2,3"`
	Workers int      `help:"Runs at the same time." default:"4"`
	Service string   `help:"Only services whose name contains this."`
}

func main() {
	kong.Parse(&flags, kong.Description("Measures the scheduling policy against baselines."))
	start := time.Now()
	results := policy.Run(flags.Seeds, flags.Workers, flags.Service)
	policy.Write(os.Stdout, results, len(flags.Seeds))
	fmt.Fprintf(os.Stderr, "%d runs in %v\n", len(results), time.Since(start).Round(time.Millisecond))
}

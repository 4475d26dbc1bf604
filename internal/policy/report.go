package policy

import (
	"fmt"
	"io"
	"math"
	"strings"
	"sync"
)

// ClassResult counts the requests of a class that arrived after measurementStart.
type ClassResult struct {
	Name            string
	Arrived, InTime int
	// Unserved is the longest time, in seconds, in which requests of the class were
	// waiting and none of them started.
	Unserved float64
}

// Result holds the measurements of one run. Goodput counts the tokens per second of
// responses that met their targets. Wasted is the fraction of the generated tokens
// whose response was not completed.
type Result struct {
	Service, Scenario, Router string
	Classes                   []ClassResult
	Goodput, Wasted           float64
	// SmallCustomer counts the requests of the small customer by class.
	SmallCustomer                     []ClassResult
	tierViolations, reserved, refused int
}

func (r *Result) aggregate(requests []*request) {
	tokensInTime, tokensGenerated, tokensWasted := 0, 0, 0
	r.SmallCustomer = make([]ClassResult, len(r.Classes))
	for _, q := range requests {
		if q.arrived < measurementStart {
			continue
		}
		c := &r.Classes[q.class.index]
		small := &ClassResult{}
		if q.customer == smallCustomer {
			small = &r.SmallCustomer[q.class.index]
		}
		c.Arrived++
		small.Arrived++
		tokensGenerated += q.done
		if !q.delivered {
			tokensWasted += q.done
		}
		if q.inTime() {
			c.InTime++
			small.InTime++
			tokensInTime += q.tokens
		}
	}
	r.Goodput = float64(tokensInTime) / (arrivalsEnd - measurementStart)
	r.Wasted = float64(tokensWasted) / float64(max(1, tokensGenerated))
}

// Run simulates each router in each scenario with each seed, for the services whose
// name contains nameFilter. The order of the results does not depend on workers.
func Run(seeds []uint64, workers int, nameFilter string) []Result {
	var jobs []func() Result
	for _, svc := range services {
		for _, sc := range scenarios {
			for _, name := range RouterNames {
				for _, seed := range seeds {
					if strings.Contains(svc.name, nameFilter) {
						jobs = append(jobs, func() Result { return run(svc, sc, name, seed) })
					}
				}
			}
		}
	}
	results := make([]Result, len(jobs))
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := w; i < len(jobs); i += workers {
				results[i] = jobs[i]()
			}
		})
	}
	wg.Wait()
	return results
}

// formatMeanAndSpread formats the mean over the seeds and half the difference between
// the largest and the smallest value.
func formatMeanAndSpread(runs []Result, format string, value func(Result) float64) string {
	low, high, sum := math.Inf(1), math.Inf(-1), 0.0
	for _, r := range runs {
		v := value(r)
		low, high, sum = min(low, v), max(high, v), sum+v
	}
	return fmt.Sprintf(" "+format+" ±"+format+" |", sum/float64(len(runs)), (high-low)/2)
}

// formatMax formats the largest value over the seeds.
func formatMax(runs []Result, format string, value func(Result) float64) string {
	high := 0.0
	for _, r := range runs {
		high = max(high, value(r))
	}
	return fmt.Sprintf(format, high)
}

// Write prints one Markdown table per service and scenario. results must have the
// order of Run, with the given number of seeds.
func Write(w io.Writer, results []Result, seeds int) {
	for i := 0; i < len(results); i += seeds {
		runs := results[i : i+seeds]
		if first := runs[0]; first.Router == RouterNames[0] {
			fmt.Fprintf(w, "\n### %s, %s\n\n| router |", first.Service, first.Scenario)
			for _, c := range first.Classes {
				fmt.Fprintf(w, " %s in time, %% |", c.Name)
			}
			fmt.Fprint(w, " goodput, tokens/s | wasted, % | longest unserved, s | tier violations | reserved | refused |\n")
			fmt.Fprintln(w, "|"+strings.Repeat("---|", len(first.Classes)+7))
		}
		row := "| " + runs[0].Router + " |"
		var unserved []string
		for k := range runs[0].Classes {
			row += formatMeanAndSpread(runs, "%.1f", func(r Result) float64 {
				return 100 * float64(r.Classes[k].InTime) / float64(max(1, r.Classes[k].Arrived))
			})
			unserved = append(unserved, formatMax(runs, "%.1f", func(r Result) float64 { return r.Classes[k].Unserved }))
		}
		row += formatMeanAndSpread(runs, "%.0f", func(r Result) float64 { return r.Goodput })
		row += formatMeanAndSpread(runs, "%.2f", func(r Result) float64 { return 100 * r.Wasted })
		row += " " + strings.Join(unserved, " / ") + " |"
		for _, value := range []func(Result) int{
			func(r Result) int { return r.tierViolations }, func(r Result) int { return r.reserved }, func(r Result) int { return r.refused },
		} {
			row += formatMax(runs, " %.0f |", func(r Result) float64 { return float64(value(r)) })
		}
		fmt.Fprintln(w, row)
	}
}

package policy

import (
	"fmt"
	"io"
	"math"
	"strings"
	"sync"
)

// ClassResult counts the requests of a class that arrived after the first 20 s.
type ClassResult struct {
	Name            string
	Arrived, InTime int
	// Unserved is the longest time for which the class had waiting requests and
	// none of them started.
	Unserved float64
}

// Result holds the figures of one run. Goodput is in tokens per second of
// responses in time; Wasted is the share of generated tokens that were not
// delivered whole.
type Result struct {
	Service, Scenario, Router string
	Classes                   []ClassResult
	Goodput, Wasted           float64
	// Small counts the requests of the small customer by class.
	Small                         []ClassResult
	violations, reserved, refused int
}

func (r *Result) collect(all []*request) {
	good, run, lost := 0, 0, 0
	r.Small = make([]ClassResult, len(r.Classes))
	for _, q := range all {
		if q.arrive < countedFrom {
			continue
		}
		c := &r.Classes[q.class.index]
		small := &ClassResult{}
		if q.customer == smallCustomer {
			small = &r.Small[q.class.index]
		}
		c.Arrived++
		small.Arrived++
		run += q.done
		if !q.delivered {
			lost += q.done
		}
		if q.inTime() {
			c.InTime++
			small.InTime++
			good += q.tokens
		}
	}
	r.Goodput = float64(good) / (arrivalsUntil - countedFrom)
	r.Wasted = float64(lost) / float64(max(1, run))
}

// Run measures all routers in all scenarios of the services whose name contains
// part, with each seed. The order of results does not depend on workers.
func Run(seeds []uint64, workers int, part string) []Result {
	var jobs []func() Result
	for _, sv := range services {
		for _, sc := range scenarios {
			for _, name := range Routers {
				for _, seed := range seeds {
					if strings.Contains(sv.name, part) {
						jobs = append(jobs, func() Result { return run(sv, sc, name, seed) })
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

// spread is the mean over the seeds and half the distance of the extremes.
func spread(runs []Result, format string, of func(Result) float64) string {
	low, high, sum := math.Inf(1), math.Inf(-1), 0.0
	for _, r := range runs {
		v := of(r)
		low, high, sum = min(low, v), max(high, v), sum+v
	}
	return fmt.Sprintf(" "+format+" ±"+format+" |", sum/float64(len(runs)), (high-low)/2)
}

// most is the largest value over the seeds.
func most(runs []Result, format string, of func(Result) float64) string {
	high := 0.0
	for _, r := range runs {
		high = max(high, of(r))
	}
	return fmt.Sprintf(format, high)
}

// Write prints one Markdown table per service and scenario.
func Write(w io.Writer, results []Result, seeds int) {
	for i := 0; i < len(results); i += seeds {
		runs := results[i : i+seeds]
		if first := runs[0]; first.Router == Routers[0] {
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
			row += spread(runs, "%.1f", func(r Result) float64 {
				return 100 * float64(r.Classes[k].InTime) / float64(max(1, r.Classes[k].Arrived))
			})
			unserved = append(unserved, most(runs, "%.1f", func(r Result) float64 { return r.Classes[k].Unserved }))
		}
		row += spread(runs, "%.0f", func(r Result) float64 { return r.Goodput })
		row += spread(runs, "%.2f", func(r Result) float64 { return 100 * r.Wasted })
		row += " " + strings.Join(unserved, " / ") + " |"
		for _, of := range []func(Result) int{
			func(r Result) int { return r.violations }, func(r Result) int { return r.reserved }, func(r Result) int { return r.refused },
		} {
			row += most(runs, " %.0f |", func(r Result) float64 { return float64(of(r)) })
		}
		fmt.Fprintln(w, row)
	}
}

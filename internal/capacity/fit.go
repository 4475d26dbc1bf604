package capacity

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// Line is the straight line fitted to the medians of a quantity by size.
type Line struct{ Intercept, Slope float64 }

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Series holds the measured values of one quantity, grouped by size. A size has one
// value per repetition.
type Series struct {
	Quantity, Unit string
	sizes          []float64
	values         map[float64][]float64
}

// ParseRows reads the lines written by Rows into one series per quantity, in the
// order in which the quantities first appear. It fails on a malformed line.
func ParseRows(r io.Reader) ([]*Series, error) {
	var all []*Series
	byQuantity := make(map[string]*Series)
	for scanner := bufio.NewScanner(r); scanner.Scan(); {
		fields := strings.Split(scanner.Text(), "\t")
		if len(fields) != 4 {
			return nil, Error.New("malformed row: %q", scanner.Text())
		}
		size, sizeErr := strconv.ParseFloat(fields[1], 64)
		value, valueErr := strconv.ParseFloat(fields[2], 64)
		if sizeErr != nil || valueErr != nil {
			return nil, Error.New("malformed row: %q", scanner.Text())
		}
		series := byQuantity[fields[0]]
		if series == nil {
			series = &Series{Quantity: fields[0], Unit: fields[3], values: make(map[float64][]float64)}
			byQuantity[fields[0]] = series
			all = append(all, series)
		}
		if _, ok := series.values[size]; !ok {
			series.sizes = append(series.sizes, size)
		}
		series.values[size] = append(series.values[size], value)
	}
	return all, nil
}

// Median returns the median of the values at a size, or 0 if there are none.
func (s *Series) Median(size float64) float64 {
	samples := slices.Sorted(slices.Values(s.values[size]))
	if len(samples) == 0 {
		return 0
	}
	if n := len(samples); n%2 == 0 {
		return (samples[n/2-1] + samples[n/2]) / 2
	}
	return samples[len(samples)/2]
}

// Fit returns the weighted least-squares line through the medians. The weight of a
// point is the inverse square of its value, so that the fit minimizes relative errors
// and the smallest size counts as much as the largest.
func (s *Series) Fit() Line {
	var sw, sx, sy, sxx, sxy float64
	for _, x := range s.sizes {
		y := s.Median(x)
		w := 1.0
		if y != 0 {
			w = 1 / (y * y)
		}
		sw, sx, sy, sxx, sxy = sw+w, sx+w*x, sy+w*y, sxx+w*x*x, sxy+w*x*y
	}
	d := sw*sxx - sx*sx
	if len(s.sizes) < 2 || d == 0 {
		return Line{Intercept: sy / max(sw, 1e-300)}
	}
	slope := (sw*sxy - sx*sy) / d
	return Line{Intercept: (sy - slope*sx) / sw, Slope: slope}
}

// WriteTable writes one tab-separated line per quantity: the median and range at each
// size, the fitted line, and the value of the line at the target size. The first
// target whose prefix matches the quantity applies.
func WriteTable(w io.Writer, all []*Series, targets []Target) {
	fmt.Fprintln(w, "quantity\tunit\tmedian (least..most) by size\tintercept\tslope\ttarget size\textrapolated")
	for _, s := range all {
		var cells []string
		for _, size := range s.sizes {
			samples := s.values[size]
			cells = append(cells, fmt.Sprintf("%g: %.4g (%.4g..%.4g)", size, s.Median(size), slices.Min(samples), slices.Max(samples)))
		}
		line := s.Fit()
		size, extrapolated := "", ""
		for _, target := range targets {
			if strings.HasPrefix(s.Quantity, target.Prefix) {
				size, extrapolated = fmt.Sprint(target.Size), fmt.Sprintf("%.4g", line.At(target.Size))
				break
			}
		}
		slope := ""
		if len(s.sizes) > 1 {
			slope = fmt.Sprintf("%.4g", line.Slope)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.4g\t%s\t%s\t%s\n", s.Quantity, s.Unit, strings.Join(cells, "; "), line.Intercept, slope, size, extrapolated)
	}
}

// Target is the size to which the quantities with a name prefix are extrapolated.
type Target struct {
	Prefix string
	Size   float64
}

// Targets returns the deployment sizes of section 1.8 of docs/design.md. The order
// matters: a prefix must come before its own shorter prefixes.
func Targets() []Target {
	const nodes, customers, tokens, streams, groups = 390, 33_000, 422, 179, 20
	return []Target{
		{"feed of 64 instances by groups", groups}, {"feed of 33000", 64}, {"daemon without requests by groups", groups},
		{"feed", nodes}, {"directory", nodes}, {"snapshot", customers}, {"delta", customers}, {"settings", customers},
		{"daemon by customers", customers}, {"entry, per request", tokens}, {"entry by streams", streams}, {"message renew by", streams},
	}
}

package capacity

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// Line is a straight line through the medians of a quantity.
type Line struct{ Intercept, Slope float64 }

// At returns the value of the line.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Series holds the repetitions of one quantity by size.
type Series struct {
	Quantity, Unit string
	sizes          []float64
	values         map[float64][]float64
}

// ParseRows reads what Rows wrote. Series keep the order of first appearance.
func ParseRows(r io.Reader) ([]*Series, error) {
	var out []*Series
	by := make(map[string]*Series)
	for scan := bufio.NewScanner(r); scan.Scan(); {
		f := strings.Split(scan.Text(), "\t")
		if len(f) != 4 {
			return nil, Error.New("not a row: %q", scan.Text())
		}
		size, err := strconv.ParseFloat(f[1], 64)
		value, err2 := strconv.ParseFloat(f[2], 64)
		if err != nil || err2 != nil {
			return nil, Error.New("not a row: %q", scan.Text())
		}
		s := by[f[0]]
		if s == nil {
			s = &Series{Quantity: f[0], Unit: f[3], values: make(map[float64][]float64)}
			by[f[0]] = s
			out = append(out, s)
		}
		if _, ok := s.values[size]; !ok {
			s.sizes = append(s.sizes, size)
		}
		s.values[size] = append(s.values[size], value)
	}
	return out, nil
}

// Median returns the median of the repetitions at a size.
func (s *Series) Median(size float64) float64 {
	v := slices.Sorted(slices.Values(s.values[size]))
	if len(v) == 0 {
		return 0
	}
	if n := len(v); n%2 == 0 {
		return (v[n/2-1] + v[n/2]) / 2
	}
	return v[len(v)/2]
}

// Fit returns the line of least squares through the medians. Points are
// weighted by the inverse square of their value, so that the smallest size
// counts as much as the largest.
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

// Table writes the medians with their spread, the lines, and their values at
// the target sizes: the first target whose prefix a quantity has counts.
func Table(w io.Writer, all []*Series, targets []Target) {
	fmt.Fprintln(w, "quantity\tunit\tmedian (least..most) by size\tintercept\tslope\ttarget size\textrapolated")
	for _, s := range all {
		var cells []string
		for _, size := range s.sizes {
			v := s.values[size]
			cells = append(cells, fmt.Sprintf("%g: %.4g (%.4g..%.4g)", size, s.Median(size), slices.Min(v), slices.Max(v)))
		}
		line := s.Fit()
		size, extrapolated := "", ""
		for _, t := range targets {
			if strings.HasPrefix(s.Quantity, t.Prefix) {
				size, extrapolated = fmt.Sprint(t.Size), fmt.Sprintf("%.4g", line.At(t.Size))
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

// Target is the size to which quantities with a prefix are extrapolated.
type Target struct {
	Prefix string
	Size   float64
}

// Targets are the sizes of section 1.8 of docs/design.md.
func Targets() []Target {
	const nodes, customers, tokens, streams, groups = 390, 33_000, 422, 179, 20
	return []Target{
		{"feed of 64 instances by groups", groups}, {"feed of 33000", 64}, {"daemon without requests by groups", groups},
		{"feed", nodes}, {"directory", nodes}, {"snapshot", customers}, {"delta", customers}, {"settings", customers},
		{"daemon by customers", customers}, {"entry, per request", tokens}, {"entry by streams", streams}, {"message renew by", streams},
	}
}

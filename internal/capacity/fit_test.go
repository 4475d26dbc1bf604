package capacity

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestFitOfMedians guards against a table whose slopes and extrapolated values
// do not follow from the medians of the raw rows: one outlier among three
// repetitions must not change them.
func TestFitOfMedians(t *testing.T) {
	var raw strings.Builder
	rows := Rows{W: &raw}
	for _, noise := range []float64{0, 0, 1000} { // the third repetition is an outlier
		for _, size := range []float64{8, 64, 256} {
			rows.Add("feed: bytes", size, 100+3*size+noise, "B")
		}
	}
	all, err := ParseRows(strings.NewReader(raw.String()))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, all, qt.HasLen, 1)
	line := all[0].Fit()
	qt.Assert(t, line.Slope > 2.999 && line.Slope < 3.001, qt.IsTrue, qt.Commentf("%v", line))
	qt.Assert(t, line.At(390) > 1269.9 && line.At(390) < 1270.1, qt.IsTrue, qt.Commentf("%v", line))
	var table strings.Builder
	WriteTable(&table, all, Targets())
	qt.Assert(t, table.String(), qt.Contains, "390\t1270")
}

// TestParseRowsFailsOnMalformedRow guards against reading a damaged file of
// rows as if it were a shorter one: a line with a missing field, or with a size
// or value that is not a number, is an error.
func TestParseRowsFailsOnMalformedRow(t *testing.T) {
	for _, line := range []string{"a\t1\t2", "a\tx\t2\tB", "a\t1\ty\tB"} {
		_, err := ParseRows(strings.NewReader(line + "\n"))
		qt.Assert(t, err, qt.ErrorMatches, "capacity: malformed row.*")
	}
}

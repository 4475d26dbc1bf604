package capacity

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a table whose slopes do not follow from the raw rows.
func TestFitOfMedians(t *testing.T) {
	var b strings.Builder
	rows := Rows{W: &b}
	for _, noise := range []float64{0, 0, 1000} { // one repetition is an outlier
		for _, size := range []float64{8, 64, 256} {
			rows.Add("feed: bytes", size, 100+3*size+noise, "B")
		}
	}
	all, err := ParseRows(strings.NewReader(b.String()))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, all, qt.HasLen, 1)
	line := all[0].Fit()
	qt.Assert(t, line.Slope > 2.999 && line.Slope < 3.001, qt.IsTrue, qt.Commentf("%v", line))
	qt.Assert(t, line.At(390) > 1269.9 && line.At(390) < 1270.1, qt.IsTrue, qt.Commentf("%v", line))
	var table strings.Builder
	Table(&table, all, Targets())
	qt.Assert(t, table.String(), qt.Contains, "390\t1270")
}

// Guards against a damaged file of rows that is read as a shorter one.
func TestParseRowsRefusesDamage(t *testing.T) {
	for _, text := range []string{"a\t1\t2", "a\tx\t2\tB", "a\t1\ty\tB"} {
		_, err := ParseRows(strings.NewReader(text + "\n"))
		qt.Assert(t, err, qt.ErrorMatches, "capacity: not a row.*")
	}
}

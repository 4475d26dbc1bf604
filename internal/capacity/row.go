// Package capacity measures how the cost of each role grows with its load. The
// measurements connect to running daemons over loopback and write raw rows, from
// which WriteTable makes the table of slopes for docs/CAPACITY.md.
package capacity

import (
	"fmt"
	"io"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("capacity")

// Row is one measured value.
type Row struct {
	// Quantity names what was measured, such as "feed steady: bytes per poll".
	Quantity string
	// Size is the value of the variable on which the quantity depends, such as the
	// number of instances.
	Size  float64
	Value float64
	Unit  string
}

// Rows writes rows as tab-separated lines to W.
type Rows struct{ W io.Writer }

// Add writes one row.
func (r Rows) Add(quantity string, size, value float64, unit string) {
	fmt.Fprintf(r.W, "%s\t%g\t%.6g\t%s\n", quantity, size, value, unit)
}

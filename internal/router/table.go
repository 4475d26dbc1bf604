package router

import (
	"time"

	"auburnstep.example/auburnstep/internal/routing"
)

// Table is a routing table and what is known of its age.
type Table struct {
	// Index is nil until a table is known.
	Index *routing.Index
	// Age is the time since a control member last confirmed that the table is in force.
	// It is -1 ms if none has.
	Age time.Duration
}

// version returns the version of the table, 0 if there is none.
func (t *Table) version() uint64 {
	if t.Index == nil {
		return 0
	}
	return t.Index.Table.Version
}

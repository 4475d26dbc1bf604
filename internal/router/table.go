package router

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"auburnstep.example/auburnstep/internal/routing"
	"auburnstep.example/auburnstep/internal/verdict"
)

// tableWait bounds how long a request waits for a confirmation of the routing table.
const tableWait = time.Second

// Table is a routing table and what is known of its age.
type Table struct {
	// Index is nil until a table is known.
	Index *routing.Index
	// Age is the time since a control member last confirmed that the table is in force.
	// It is -1 ms if none has.
	Age time.Duration
	// Confirmed reports that the table was confirmed so recently that no other may have to
	// be in use.
	Confirmed bool
}

// version returns the version of the table, 0 if there is none.
func (t *Table) version() uint64 {
	if t.Index == nil {
		return 0
	}
	return t.Index.Table.Version
}

// findTable sets the table that the request is handled by. If no control member has
// confirmed the table lately, it waits for one, but no longer than the caller would. The
// balancers have the services of the table then.
func (q *request) findTable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, min(tableWait, cmp.Or(q.call.MaxWait, tableWait)))
	defer cancel()
	q.table = q.server.options.CurrentTable(ctx)
	q.server.awaitApplied(ctx, q.table.Index)
}

// awaitApplied waits until runUpdates has applied index or a later table, or until ctx
// ends.
func (s *Server) awaitApplied(ctx context.Context, index *routing.Index) {
	for {
		// The channel is read first, so that no change goes unnoticed.
		changed := *s.appliedChanged.Load()
		if applied := s.applied.Load(); applied != nil && applied.Table.Version >= index.Table.Version {
			return
		}
		select {
		case s.tableWaiting <- struct{}{}:
		default: // runUpdates is about to look already.
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// applyTable passes a table to the balancers and wakes the requests that wait for it.
func (s *Server) applyTable(index *routing.Index) {
	s.update(index)
	s.applied.Store(index)
	next := make(chan struct{})
	close(*s.appliedChanged.Swap(&next))
}

// denial returns the error response for a request that the table does not allow. A table
// that is not confirmed may lack a route or key that is in force, so it denies nothing.
func (q *request) denial(status int, code, message string) *verdict.Error {
	if !q.table.Confirmed {
		return refusal(http.StatusServiceUnavailable, "table-unconfirmed", message+" in a routing table that no control member confirms", startupRetryAfter)
	}
	return refusal(status, code, message, 0)
}

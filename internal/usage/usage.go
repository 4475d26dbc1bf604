// Package usage counts, by customer and window of true time, the requests that endpoints
// began to run. A Counter counts at an entry, a Collector sums the counts of all entries at
// a control member. Counts travel as whole numbers of one process of an entry, so that
// repeating a message, or sending it to another member, counts nothing twice. It does no
// I/O and takes the time as an argument.
package usage

import "time"

const (
	// maxCustomers bounds the customers of one window: twice the 33,000 of the two-year
	// target.
	maxCustomers = 65_536
	// entryRetention is how long after its end an entry keeps a window, for members that it
	// cannot reach or that restart.
	entryRetention = 60 * time.Second
	// memberRetention is how long after its end a member keeps a window. It exceeds
	// entryRetention, so that a member never receives a window again that it has dropped.
	memberRetention = 90 * time.Second
)

// windowAt returns the number of the window that holds a true time. Window k begins k times
// length after the start of 1970.
func windowAt(t time.Time, length time.Duration) int64 { return t.UnixNano() / int64(length) }

// windowEnd returns the true time at which a window ends.
func windowEnd(window int64, length time.Duration) time.Time {
	return time.Unix(0, (window+1)*int64(length))
}

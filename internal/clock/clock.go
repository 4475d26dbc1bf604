// Package clock provides a steady clock that keeps counting while the machine is
// suspended. The runtime's own steady clock stops meanwhile.
package clock

import "time"

var (
	origin     = time.Now()
	originBoot = sinceBoot()
)

// Now returns the current time like time.Now, except that differences between its
// results include the time for which the machine was suspended. Whatever expires at a
// moment on which other processes rely, such as a lease, must be compared with Now.
// Results of Now and of time.Now must not be compared with each other.
func Now() time.Time { return origin.Add(sinceBoot() - originBoot) }

// Suspended returns for how long the machine has been suspended since the process
// started. Between two suspensions, results differ by the time that the process lost the
// processor between the two readings.
func Suspended() time.Duration {
	counted := sinceBoot() - originBoot
	return max(0, counted-time.Since(origin))
}

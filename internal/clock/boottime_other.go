//go:build !linux

package clock

import "time"

// sinceBoot returns the reading of the runtime's clock, which does not count the time
// for which the machine was suspended on all systems.
func sinceBoot() time.Duration { return time.Since(origin) }

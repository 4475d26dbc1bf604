// Package hlc implements a hybrid logical clock. Its timestamps follow wall time
// and preserve the order of messages between processes even when a wall clock is
// set forward or back.
package hlc

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// Header is the HTTP header with the sender's timestamp. Every message between
// processes of the cluster has it.
const Header = "X-Auburnstep-Clock"

// ErrMalformed is returned by Parse for text that is not a timestamp.
var ErrMalformed = errors.New("malformed hybrid logical timestamp")

// maxClockSkew limits how far a received timestamp may be ahead of local wall time.
// Without a limit, one wrong wall clock would move the clocks of all processes.
const maxClockSkew = 60 * time.Second

// Timestamp is a point in the order of events. Wall is in milliseconds since the
// Unix epoch; Counter orders timestamps with the same Wall.
type Timestamp struct {
	Wall    int64
	Counter uint32
}

// Before reports whether t sorts before u.
func (t Timestamp) Before(u Timestamp) bool {
	if t.Wall != u.Wall {
		return t.Wall < u.Wall
	}
	return t.Counter < u.Counter
}

// String returns the timestamp as text, in the format of Header.
func (t Timestamp) String() string { return fmt.Sprintf("%d.%d", t.Wall, t.Counter) }

// Parse parses a timestamp in the format of Header.
func Parse(s string) (Timestamp, error) {
	var t Timestamp
	// The third word is the appended "." only if no other text follows the timestamp.
	var sentinel string
	n, _ := fmt.Sscanf(s+" .", "%d.%d %s", &t.Wall, &t.Counter, &sentinel)
	if n != 3 || sentinel != "." || t.Wall < 0 {
		return Timestamp{}, fmt.Errorf("%w: %q", ErrMalformed, s)
	}
	return t, nil
}

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	wall func() time.Time
	last Timestamp
}

// New returns a clock that reads wall time from wall, or from time.Now if wall is nil.
func New(wall func() time.Time) *Clock {
	if wall == nil {
		wall = time.Now
	}
	return &Clock{wall: wall}
}

// Now returns a timestamp greater than all timestamps that Now has returned and
// Observe has accepted.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance()
}

// Observe advances the clock beyond a received timestamp. It ignores a timestamp that
// is more than maxClockSkew ahead of wall time, and returns false for it.
func (c *Clock) Observe(t Timestamp) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.Wall > c.wall().UnixMilli()+maxClockSkew.Milliseconds() {
		return false
	}
	if c.last.Before(t) {
		c.last = t
	}
	c.advance()
	return true
}

func (c *Clock) advance() Timestamp {
	if now := c.wall().UnixMilli(); now > c.last.Wall {
		c.last = Timestamp{Wall: now}
	} else {
		c.last.Counter++
	}
	return c.last
}

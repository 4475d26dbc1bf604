// Package hlc is a hybrid logical clock: its timestamps follow wall time and
// respect the order of messages between processes even when wall clocks step.
package hlc

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// Header carries the sender's timestamp on every message between own processes.
const Header = "X-Auburnstep-Clock"

// ErrMalformed is returned for text that is not a timestamp.
var ErrMalformed = errors.New("malformed hybrid timestamp")

// maxAhead bounds how far a received timestamp may pull the clock beyond
// local wall time, so that one wrong clock does not move the whole fleet.
const maxAhead = 60 * time.Second

// Timestamp orders events. Wall is in milliseconds since the Unix epoch.
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

// String returns the form used in Header.
func (t Timestamp) String() string { return fmt.Sprintf("%d.%d", t.Wall, t.Counter) }

// Parse reads the form used in Header.
func Parse(s string) (Timestamp, error) {
	var t Timestamp
	var rest string
	n, _ := fmt.Sscanf(s+" .", "%d.%d %s", &t.Wall, &t.Counter, &rest)
	if n != 3 || rest != "." || t.Wall < 0 {
		return Timestamp{}, fmt.Errorf("%w: %q", ErrMalformed, s)
	}
	return t, nil
}

// Clock issues timestamps. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	wall func() time.Time
	last Timestamp
}

// New returns a clock over the given wall clock, time.Now where it is nil.
func New(wall func() time.Time) *Clock {
	if wall == nil {
		wall = time.Now
	}
	return &Clock{wall: wall}
}

// Now returns a timestamp greater than all that were issued or observed.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance()
}

// Observe moves the clock past a received timestamp. One that is too far
// ahead of wall time is ignored and reported as false.
func (c *Clock) Observe(t Timestamp) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.Wall > c.wall().UnixMilli()+maxAhead.Milliseconds() {
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

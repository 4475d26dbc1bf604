package feed

import (
	"context"
	"time"
)

const (
	// confirmedFor is how long a view counts as confirmed after the sending of the poll
	// that confirmed it. It leaves half a second of the 2 s within which an acknowledged
	// routing table must be in use.
	confirmedFor = 1500 * time.Millisecond
	// askedFor is how long the failure of a round of polls shows that this instance is cut
	// off, counted from the beginning of the round. It exceeds the time of two rounds in
	// which nine members are silent.
	askedFor = 4 * time.Second
)

// CurrentView returns a view to act on now, and whether it is confirmed: it then holds all
// that was acknowledged up to confirmedFor ago. While the view is not confirmed,
// CurrentView waits until the members have been asked, in a round of polls that began when
// the view was no longer confirmed, or until ctx ends. An instance that stood still thus
// does not act on what it knew before, and one that is cut off does not wait for long.
func (c *Client) CurrentView(ctx context.Context) (v *View, confirmed bool) {
	for {
		// The channel is read first, so that no progress goes unnoticed.
		progress := *c.roundProgress.Load()
		v, asked := c.View(), c.asked.Load()
		now := c.options.Clock()
		if !v.ConfirmedAt.IsZero() && now.Sub(v.ConfirmedAt) <= confirmedFor {
			return v, true
		}
		if asked != nil && asked.After(v.ConfirmedAt.Add(confirmedFor)) && now.Sub(*asked) <= askedFor {
			return v, false
		}
		select {
		case c.roundWanted <- struct{}{}:
		default: // The next round is requested already.
		}
		select {
		case <-progress:
		case <-c.done:
			return v, false
		case <-ctx.Done():
			return v, false
		}
	}
}

// recordRound records the end of a round that began at the given time. whole is set unless
// the round was ended early.
func (c *Client) recordRound(began time.Time, whole bool) {
	if whole {
		c.recordAsked(began)
		return
	}
	c.wakeWaiting()
}

// recordAsked records that all members have been asked since the given time.
func (c *Client) recordAsked(since time.Time) {
	if last := c.asked.Load(); last == nil || since.After(*last) {
		c.asked.Store(&since)
	}
	c.wakeWaiting()
}

// wakeWaiting lets the calls of CurrentView look again.
func (c *Client) wakeWaiting() {
	next := make(chan struct{})
	close(*c.roundProgress.Swap(&next))
}

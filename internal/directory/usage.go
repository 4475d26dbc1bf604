package directory

import (
	"context"
	"time"

	"auburnstep.example/auburnstep/internal/clock"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
	"auburnstep.example/auburnstep/internal/usage"
)

const (
	// handInTime bounds how long an entry that stops waits until the members have its last
	// counts. The platform ends the process 300 ms after the grace time of the entry.
	handInTime = 200 * time.Millisecond
	// handInStep is the time between looks at what the members have. Members that lack
	// counts are polled again in each step.
	handInStep = 20 * time.Millisecond
)

var eventUsageLost = event.Define(7120, "usage-not-handed-in", event.Warn, "this entry stops, but a control member did not receive its last usage counts")

// SetUsage makes the service collect the usage of entries. It must be called before Start.
func (s *Service) SetUsage(u *usage.Collector) { s.usage = u }

// collectUsage merges the usage of a poll and adds the member's part to the response.
func (s *Service) collectUsage(req *directoryv1.SyncRequest, res *directoryv1.SyncResponse) {
	if s.usage != nil {
		res.TrueTimeMs = s.usage.Receive(req)
	}
}

func (c *Client) addUsage(p *poller, steady, wall time.Time, req *directoryv1.SyncRequest) (sent usage.Sent) {
	if c.options.Usage == nil {
		return sent
	}
	return c.options.Usage.Prepare(&p.usage, steady, wall, req)
}

// acknowledgeUsage records the response to a poll. The caller must hold c.mu.
func (c *Client) acknowledgeUsage(p *poller, sent usage.Sent, res *directoryv1.SyncResponse) {
	if c.options.Usage != nil {
		c.options.Usage.Acknowledge(&p.usage, sent, p.address, clock.Now(), res)
	}
}

// Stop implements kernel.Service. It hands in the last usage counts, at the latest after
// handInTime. The router stops before, so that no request is counted after this.
func (c *Client) Stop(ctx context.Context) error {
	if c.options.Usage == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, handInTime)
	defer cancel()
	responding, _ := c.lackingUsage()
	for len(responding) > 0 {
		c.wakePollers()
		if kernel.Sleep(ctx, handInStep) != nil {
			break
		}
		responding, _ = c.lackingUsage()
	}
	if responding, silent := c.lackingUsage(); len(responding)+len(silent) > 0 {
		c.options.Events.Emit(eventUsageLost, event.F("members", append(responding, silent...)))
	}
	return nil
}

// lackingUsage returns the members that lack usage counts, those that respond and those that
// do not.
func (c *Client) lackingUsage() (responding, silent []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pollers {
		switch {
		case c.options.Usage.Delivered(&p.usage):
		case p.lost:
			silent = append(silent, p.address)
		default:
			responding = append(responding, p.address)
		}
	}
	return responding, silent
}

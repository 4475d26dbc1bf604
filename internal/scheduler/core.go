package scheduler

import "time"

// Core is the scheduler of one group. It is not safe for concurrent use.
type Core struct {
	config Config
	policy Policy
}

// New returns a core that takes over its group at now.
func New(now time.Time, config Config, policy Policy) *Core {
	return &Core{config: config, policy: policy}
}

// Enqueue adds a request, or keeps a known one in the queue. A request that
// holds a grant gets the same grant again.
func (c *Core) Enqueue(now time.Time, r Request) []Decision { return nil }

// Cancel takes a waiting request out of the queue and voids an unused grant of
// it.
func (c *Core) Cancel(now time.Time, requestID string) []Decision { return nil }

// Release ends a grant and learns from its outcome.
func (c *Core) Release(now time.Time, grantID string, o Outcome) []Decision { return nil }

// Renew extends the grants that an entry holds. Grants that the core does not
// know, such as those of an earlier epoch, are adopted.
func (c *Core) Renew(now time.Time, entry string, held []HeldGrant) []Decision { return nil }

// Adopt tells a successor all grants that an entry holds; the list may be
// empty.
func (c *Core) Adopt(now time.Time, entry string, held []HeldGrant) []Decision { return nil }

// Announce renews the lease of an endpoint.
func (c *Core) Announce(now time.Time, e Endpoint) []Decision { return nil }

// Configure replaces the policy.
func (c *Core) Configure(now time.Time, p Policy) {}

// Tick applies timeouts. It is called about every 50 ms.
func (c *Core) Tick(now time.Time) []Decision { return nil }

// Status returns a snapshot.
func (c *Core) Status(now time.Time) Status {
	return Status{Group: c.config.Group, Epoch: c.config.Epoch}
}

// Position returns the number of waiting requests of the same or a higher tier
// that arrived before the request, or zero if it does not wait.
func (c *Core) Position(requestID string) int { return 0 }

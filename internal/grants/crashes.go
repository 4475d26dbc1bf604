package grants

import (
	"strings"
	"sync"
	"time"

	"auburnstep.example/auburnstep/internal/clock"
	schedulerv1 "auburnstep.example/auburnstep/internal/rpc/schedulerv1"
)

const (
	// crashRetention is how long an entry tells schedulers of a crash. It is the time for
	// which they refuse the request that caused it.
	crashRetention = 15 * time.Minute
	// maxCrashes bounds the crashes that an entry retains, at about 500 bytes each.
	maxCrashes = 256
)

// Crash is a request under which an endpoint crashed.
type Crash struct {
	// Request is the id of the request without the number of the attempt.
	Request     string
	Prefixes    []uint64 // empty if the endpoint crashed before the head of the answer
	Fingerprint string
	// SentAt and LostAt are times of clock.Now.
	SentAt, LostAt time.Time
}

// crashLog retains the crashes that this entry has seen. Schedulers keep them in memory
// only and share nothing among groups, so the entry tells them to the scheduler of each
// group of the service, and again to a scheduler that takes over.
type crashLog struct {
	mu      sync.Mutex
	crashes []loggedCrash // in the order of their numbers
	last    uint64
}

type loggedCrash struct {
	Crash
	number      uint64
	service     string
	endpoint    string
	incarnation uint64
}

func (l *crashLog) add(c loggedCrash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	c.number = l.last
	if len(l.crashes) == maxCrashes {
		l.crashes = l.crashes[1:]
	}
	l.crashes = append(l.crashes, c)
}

// since returns the crashes of a service with a number above after, and the highest number
// of all.
func (l *crashLog) since(now time.Time, service string, after uint64) (reports []*schedulerv1.CrashReport, last uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.crashes) > 0 && now.Sub(l.crashes[0].LostAt) > crashRetention {
		l.crashes = l.crashes[1:]
	}
	for _, c := range l.crashes {
		if c.service == service && c.number > after {
			reports = append(reports, &schedulerv1.CrashReport{
				Endpoint: c.endpoint, Incarnation: c.incarnation, Request: c.Request, Prefixes: c.Prefixes, Fingerprint: c.Fingerprint,
				SentAgeMs: ageMs(now, c.SentAt), LostAgeMs: ageMs(now, c.LostAt),
			})
		}
	}
	return reports, l.last
}

func ageMs(now, at time.Time) uint32 { return uint32(max(0, now.Sub(at).Milliseconds())) }

// ReportCrash tells the schedulers of the service that the endpoint of a grant crashed
// under a request. It does not block.
func (c *Client) ReportCrash(l *Lease, crash Crash) {
	service, _, _ := strings.Cut(l.Group, "/")
	c.crashes.add(loggedCrash{Crash: crash, service: service, endpoint: l.Grant.Endpoint, incarnation: l.Grant.Incarnation})
	for _, group := range c.directory.Groups(service) {
		c.groupGrants(group).wakeUp()
	}
}

// newCrashes returns the crashes that the scheduler of the group has not acknowledged, or
// all if it is new, and the number to pass to acknowledgeCrashes.
func (g *groupGrants) newCrashes(adopt bool) ([]*schedulerv1.CrashReport, uint64) {
	service, _, _ := strings.Cut(g.group, "/")
	g.mu.Lock()
	after := g.acknowledgedCrash
	g.mu.Unlock()
	if adopt {
		after = 0
	}
	return g.client.crashes.since(clock.Now(), service, after)
}

func (g *groupGrants) acknowledgeCrashes(number uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acknowledgedCrash = max(g.acknowledgedCrash, number)
}

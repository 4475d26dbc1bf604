package scheduler

import "time"

const (
	// DefaultStarvationBound is the time after which an unserved class gets a
	// reserved slot.
	DefaultStarvationBound = 20 * time.Second
	// DefaultQueueWait bounds how long a request waits, whether or not it has a
	// deadline.
	DefaultQueueWait = 60 * time.Second
	// DefaultClassQueueMax and DefaultQueueMax bound the queue of a class and
	// of a group.
	DefaultClassQueueMax = 10_000
	DefaultQueueMax      = 20_000
	// DefaultTarget is the target by which requests without a target of their
	// own are ordered.
	DefaultTarget = 10 * time.Second
)

// class is the state of one request class.
type class struct {
	name     string
	tier     int
	waiting  list
	inFlight int
	granted  uint64
	refused  uint64
	// unservedSince is the time since which the class has waited for service,
	// zero if it does not wait. It is kept when requests leave the queue without
	// a grant: a class whose requests all miss their deadlines is starved, too.
	unservedSince time.Time
	// lastRequest is the time of the latest request.
	lastRequest time.Time
	// lastReservedSeconds is the duration of the latest grant of a reserved slot
	// to the class, in seconds.
	lastReservedSeconds float64
	// grants is the decayed number of grants per second.
	grants rate
}

func (c *Core) classOf(name string) *class {
	cl := c.classes[name]
	if cl == nil {
		cl = &class{name: name, waiting: list{links: classLinks}}
		c.classes[name] = cl
		c.classOrder = append(c.classOrder, cl)
	}
	return cl
}

func (c *Core) classPolicy(name string) ClassPolicy {
	p := c.policy.Classes[name]
	if p.StarvationBound <= 0 {
		p.StarvationBound = DefaultStarvationBound
	}
	if p.QueueWait <= 0 {
		p.QueueWait = DefaultQueueWait
	}
	if p.QueueMax <= 0 {
		p.QueueMax = DefaultClassQueueMax
	}
	return p
}

// recordRequest records a request of the class. A class that had no request for
// longer than the starvation bound starts a new waiting period.
func (cl *class) recordRequest(now time.Time, bound time.Duration) {
	idle := cl.waiting.count == 0 && now.Sub(cl.lastRequest) > bound
	if cl.unservedSince.IsZero() || idle {
		cl.unservedSince = now
	}
	cl.lastRequest = now
}

// recordGrant records that a request of the class was granted a slot.
func (cl *class) recordGrant(now time.Time) {
	cl.granted++
	cl.inFlight++
	cl.grants.add(now, 1)
	cl.unservedSince = time.Time{}
	if cl.waiting.count > 0 {
		cl.unservedSince = now
	}
}

// longestStarved returns the class that has gone unserved for longest among the
// classes that have a waiting request and exceed their StarvationBound, or nil.
// It ignores the classes in skip.
func (c *Core) longestStarved(now time.Time, skip map[*class]bool) *class {
	var longest *class
	for _, cl := range c.classOrder {
		if cl.waiting.count == 0 || cl.unservedSince.IsZero() || skip[cl] {
			continue
		}
		if now.Sub(cl.unservedSince) <= c.classPolicy(cl.name).StarvationBound {
			continue
		}
		if longest == nil || cl.unservedSince.Before(longest.unservedSince) {
			longest = cl
		}
	}
	return longest
}

// protected reports whether a waiting request is the oldest of its class, which
// is never shed.
func (w *waiter) protected() bool { return w.class.waiting.head == w }

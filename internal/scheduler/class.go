package scheduler

import "time"

const (
	// DefaultStarvationBound is the time after which an unserved class gets the
	// reserved lane.
	DefaultStarvationBound = 20 * time.Second
	// DefaultQueueWait bounds the wait of requests without a deadline.
	DefaultQueueWait = 60 * time.Second
	// DefaultClassQueueMax and DefaultQueueMax bound the queue of a class and
	// of a group.
	DefaultClassQueueMax = 10_000
	DefaultQueueMax      = 20_000
	// DefaultTarget orders requests of classes without a target.
	DefaultTarget = 10 * time.Second
)

// class is what the core knows of one request class.
type class struct {
	name     string
	tier     int
	waiting  list
	inFlight int
	granted  uint64
	refused  uint64
	// unserved is when the class began to wait for service, zero if it does not
	// wait. It outlives the requests: a class whose requests all run into their
	// deadlines is starved too.
	unserved time.Time
	// asked is the time of the latest request.
	asked time.Time
	// hold is the time in seconds that the latest grant from the lane took.
	hold float64
	// grants is the decayed rate of grants.
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

// ask notes that the class wants service.
func (cl *class) ask(now time.Time, bound time.Duration) {
	idle := cl.waiting.count == 0 && now.Sub(cl.asked) > bound
	if cl.unserved.IsZero() || idle {
		cl.unserved = now
	}
	cl.asked = now
}

// serve notes that a request of the class was granted.
func (cl *class) serve(now time.Time) {
	cl.granted++
	cl.inFlight++
	cl.grants.add(now, 1)
	cl.unserved = time.Time{}
	if cl.waiting.count > 0 {
		cl.unserved = now
	}
}

// starved returns the classes' longest unserved one that has a waiting request
// and has gone unserved beyond its bound, skipping those in skip.
func (c *Core) starved(now time.Time, skip map[*class]bool) *class {
	var worst *class
	for _, cl := range c.classOrder {
		if cl.waiting.count == 0 || cl.unserved.IsZero() || skip[cl] {
			continue
		}
		if now.Sub(cl.unserved) <= c.classPolicy(cl.name).StarvationBound {
			continue
		}
		if worst == nil || cl.unserved.Before(worst.unserved) {
			worst = cl
		}
	}
	return worst
}

// protected reports whether a waiting request is the one of its class that is
// never shed.
func (w *waiter) protected() bool { return w.class.waiting.head == w }

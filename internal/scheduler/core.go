package scheduler

import (
	"net/http"
	"slices"
	"time"

	"auburnstep.example/auburnstep/internal/estimate"
	"auburnstep.example/auburnstep/internal/limit"
	"auburnstep.example/auburnstep/internal/verdict"
)

const (
	// WarmUp is how long a successor waits for entries to adopt their grants.
	WarmUp = time.Second
	// RepeatWithin is how long a request stays queued without being repeated.
	RepeatWithin = 2 * time.Second
	// settle is the time after the start in which endpoints may not have
	// announced themselves yet; they do so every second.
	settle = 3 * time.Second
	// priorTokens, priorDuration and priorFirst are estimates before anything
	// is known.
	priorTokens   = 200
	priorDuration = 2.0
	priorPlain    = 0.05
	priorFirst    = 0.2
)

// Core is the scheduler of one group. It is not safe for concurrent use.
type Core struct {
	config           Config
	policy           Policy
	policyGeneration uint64
	started          time.Time
	sequence         uint64

	waiting   map[string]*waiter
	tiers     [Tiers]tier
	pools     map[poolKey]*pool
	poolOrder []*pool
	demands   map[string]*demand
	expiring  heap[*waiter]

	customers     map[string]*customer
	customerOrder customer  // sentinel
	sharesEnd     time.Time // when the next share may end
	classes       map[string]*class
	classOrder    []*class
	retry         limit.Retry

	endpoints     map[string]*endpoint
	endpointOrder []*endpoint
	prefixes      map[uint64][]*cached
	matchStamp    uint64

	grants           map[string]*grant
	byRequest        map[string]*grant
	grantExpiry      heap[*grant]
	inFlight         int
	reservedInFlight int
	lane             lane
	ended            map[string]ended
	endedOrder       []string
	silent           map[string]struct{} // entries that have not adopted yet

	tokens    *estimate.Estimator
	durations *estimate.Estimator
	firsts    *estimate.Estimator
	speeds    speeds
	models    map[modelTier]*modelRates

	candidates []*endpoint // scratch of dispatch
}

// New returns a core that takes over its group at now.
func New(now time.Time, config Config, policy Policy) *Core {
	c := &Core{
		config: config, policy: policy, policyGeneration: 1, started: now,
		waiting: map[string]*waiter{}, pools: map[poolKey]*pool{}, demands: map[string]*demand{},
		customers: map[string]*customer{}, classes: map[string]*class{},
		endpoints: map[string]*endpoint{}, prefixes: map[uint64][]*cached{},
		grants: map[string]*grant{}, byRequest: map[string]*grant{}, ended: map[string]ended{},
		silent: map[string]struct{}{}, models: map[modelTier]*modelRates{},
	}
	c.customerOrder.prev, c.customerOrder.next = &c.customerOrder, &c.customerOrder
	for i := range c.tiers {
		c.tiers[i].waiting.links = tierLinks
	}
	c.expiring = heap[*waiter]{
		less:  func(a, b *waiter) bool { return a.expires.Before(b.expires) },
		place: func(w *waiter, i int) { w.expiry = i },
	}
	c.grantExpiry = heap[*grant]{less: grantByUntil, place: func(g *grant, i int) { g.expiry = i }}
	if config.Successor {
		for _, e := range config.Entries {
			c.silent[e] = struct{}{}
		}
	}
	duration := priorDuration
	if config.Kind == Plain {
		duration = priorPlain
	}
	c.tokens = estimate.New(1, priorTokens)
	c.durations = estimate.New(0.001, duration)
	c.firsts = estimate.New(0.001, priorFirst)
	c.speeds = speeds{pace: estimate.New(0.0001, priorPace), prefill: priorPrefill}
	c.speeds.byLoad = priorByLoad
	return c
}

// Enqueue adds a request, or keeps a known one in the queue. A request that
// holds a grant gets the same grant again, unless it asks to avoid the endpoint
// of that grant: then its attempt there has failed, and it is a new attempt. A
// grant at an endpoint that the request had asked to avoid before stays.
func (c *Core) Enqueue(now time.Time, r Request) []Decision {
	if w := c.waiting[r.ID]; w != nil {
		w.seen = now
		w.expires = w.expiresAt()
		c.expiring.fix(w.expiry)
		return nil
	}
	if g := c.byRequest[r.ID]; g != nil {
		if g.again || !slices.Contains(r.Avoid, g.endpoint.spec.ID) {
			return []Decision{c.granted(now, g)}
		}
		c.drop(now, g, ended{})
	}
	r.Tier = min(max(r.Tier, 0), Tiers-1)
	w := c.newWaiter(now, r)
	if err := c.refuseAtOnce(now, w); err != nil {
		w.class.refused++
		c.unserved(now, w, err)
		return c.dispatch(now, []Decision{Refused{RequestID: r.ID, Entry: r.Entry, Err: err}})
	}
	if len(r.Avoid) > 0 {
		w.customer.retry.Take()
		c.retry.Take()
	}
	w.customer.rate.Charge(now, w.customer.tokensPerSecond(), w.cost)
	c.insert(w)
	out := c.dispatch(now, nil)
	if c.waiting[r.ID] != nil {
		out = c.admit(now, w, out)
	}
	return out
}

func (c *Core) newWaiter(now time.Time, r Request) *waiter {
	w := &waiter{request: r, arrived: now.Add(-r.Waited), seen: now}
	c.sequence++
	w.sequence = c.sequence
	w.customer = c.customerOf(now, r.Customer)
	w.class = c.classOf(r.Class)
	w.class.tier = r.Tier
	policy := c.classPolicy(r.Class)
	w.class.ask(now, policy.StarvationBound)
	w.work = c.durations.Mean(r.Customer, r.Class)
	w.cost = 1
	if c.config.Kind == Engine {
		w.cost = c.tokens.Mean(r.Customer, r.Class)
		if most := float64(r.MaxTokens); most > 0 && w.cost > most {
			w.work *= most / w.cost
			w.cost = most
		}
	}
	target := r.Target
	if target <= 0 {
		target = DefaultTarget
	}
	first := c.firstToken(r.Class)
	w.due = w.arrived.Add(target - first)
	w.deadline = now.Add(policy.QueueWait)
	if r.Deadline > 0 {
		margin := min(first, r.Deadline/2)
		if last := w.arrived.Add(r.Deadline - margin); last.Before(w.deadline) {
			w.deadline = last
		}
	}
	w.expires = w.expiresAt()
	return w
}

// firstTokenQuantile leaves a margin in due times: among requests that start at
// the last moment, this part still meets the target.
const firstTokenQuantile = 0.97

// firstToken returns the time from the grant to the first token, or to the
// response of a plain service, that most requests of the class stay below.
func (c *Core) firstToken(class string) time.Duration {
	seconds := 0.0
	if c.config.Kind == Engine {
		seconds = c.firsts.Quantile("", class, firstTokenQuantile)
	} else {
		seconds = c.durations.Quantile("", class, firstTokenQuantile)
	}
	return time.Duration(seconds * float64(time.Second))
}

func (w *waiter) expiresAt() time.Time {
	t := w.seen.Add(RepeatWithin)
	if w.deadline.Before(t) {
		t = w.deadline
	}
	return t
}

// Cancel takes a waiting request out of the queue and voids an unused grant of
// it.
func (c *Core) Cancel(now time.Time, requestID string) []Decision {
	if w := c.waiting[requestID]; w != nil {
		c.leave(now, w)
	} else if g := c.byRequest[requestID]; g != nil && !g.used {
		c.learn(now, g, Outcome{Unused: true})
		c.drop(now, g, ended{learned: true})
	}
	return c.dispatch(now, nil)
}

// leave removes a waiter that is not granted and gives back what it was charged.
func (c *Core) leave(now time.Time, w *waiter) {
	c.remove(w)
	w.customer.rate.Charge(now, w.customer.tokensPerSecond(), -w.cost)
}

// Configure replaces the policy.
func (c *Core) Configure(now time.Time, p Policy) []Decision {
	c.policy = p
	c.policyGeneration++
	for _, cu := range c.customers {
		if cu.idle() {
			continue // looked up again at the next request
		}
		c.customerOf(now, cu.name)
	}
	return c.dispatch(now, nil)
}

// Tick applies timeouts. It is called about every 50 ms.
func (c *Core) Tick(now time.Time) []Decision {
	var out []Decision
	c.expireGrants(now)
	c.expireShares(now)
	for c.expiring.len() > 0 && !now.Before(c.expiring.top().expires) {
		w := c.expiring.top()
		c.leave(now, w)
		if now.Before(w.deadline) {
			continue // nobody waits for it
		}
		out = c.refuse(w, out, &verdict.Error{
			Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Type: "server_error",
			Code: "deadline_exceeded", Message: "no capacity became free within the deadline",
			RetryAfter: c.retryAfter(now, w),
		})
	}
	out = c.dispatch(now, out)
	out = c.shedHopeless(now, out)
	c.expireEndpoints(now)
	c.forgetCustomers(now)
	c.forgetEnded(now)
	return out
}

func (c *Core) refuse(w *waiter, out []Decision, err *verdict.Error) []Decision {
	w.class.refused++
	return append(out, Refused{RequestID: w.request.ID, Entry: w.request.Entry, Err: err})
}

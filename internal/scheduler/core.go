package scheduler

import (
	"net/http"
	"slices"
	"time"

	"auburnstep.example/auburnstep/internal/estimate"
	"auburnstep.example/auburnstep/internal/limit"
	"auburnstep.example/auburnstep/internal/quarantine"
	"auburnstep.example/auburnstep/internal/verdict"
)

const (
	// WarmUp is how long a successor waits for the entries to report the grants
	// that they hold.
	WarmUp = time.Second
	// RepeatTimeout is how long a request stays queued after its last Enqueue.
	RepeatTimeout = 2 * time.Second
	// announceGrace is the time after the start in which no request is refused
	// for lack of an endpoint: endpoints announce themselves every second, and
	// some may not have done so yet.
	announceGrace = 3 * time.Second
	// The priors are the estimates before the first sample: tokens of a
	// response, duration of an engine request, duration of a plain call, and
	// time to the first token.
	priorTokens            = 200
	priorDurationSeconds   = 2.0
	priorPlainSeconds      = 0.05
	priorFirstTokenSeconds = 0.2
)

// Core is the scheduler of one group. It is not safe for concurrent use.
type Core struct {
	config           Config
	policy           Policy
	policyGeneration uint64
	started          time.Time
	sequence         uint64

	waiting      map[string]*waiter
	tiers        [Tiers]tier
	pools        map[poolKey]*pool
	poolOrder    []*pool
	backlogs     map[string]*backlog
	waiterExpiry heap[*waiter]

	customers        map[string]*customer
	customerLRU      customer  // sentinel of a ring, least recently used first
	earliestShareEnd time.Time // earliest end of a share, zero if there is none
	classes          map[string]*class
	classOrder       []*class
	retry            limit.RetryBucket

	endpoints     map[string]*endpoint
	endpointOrder []*endpoint
	prefixes      map[uint64][]*cacheEntry
	matchStamp    uint64

	grants           map[string]*grant
	byRequest        map[string]*grant
	grantExpiry      heap[*grant]
	inFlight         int
	reservedInFlight int
	reservedTime     reservedTime
	ended            map[string]ended
	endedOrder       []string
	awaitedEntries   map[string]struct{} // entries that have not reported their grants yet

	tokens          *estimate.Estimator
	durations       *estimate.Estimator
	firstTokenTimes *estimate.Estimator
	latencyModel    latencyModel
	models          map[modelTier]*modelRates

	crashes *quarantine.Ledger

	candidates []*endpoint // endpoints with a free slot; reused by dispatch
}

// New returns a core that takes over its group at now.
func New(now time.Time, config Config, policy Policy) *Core {
	c := &Core{
		config: config, policy: policy, policyGeneration: 1, started: now,
		waiting: map[string]*waiter{}, pools: map[poolKey]*pool{}, backlogs: map[string]*backlog{},
		customers: map[string]*customer{}, classes: map[string]*class{},
		endpoints: map[string]*endpoint{}, prefixes: map[uint64][]*cacheEntry{},
		grants: map[string]*grant{}, byRequest: map[string]*grant{}, ended: map[string]ended{},
		awaitedEntries: map[string]struct{}{}, crashes: quarantine.NewLedger(), models: map[modelTier]*modelRates{},
	}
	c.customerLRU.prev, c.customerLRU.next = &c.customerLRU, &c.customerLRU
	for i := range c.tiers {
		c.tiers[i].waiting.links = tierLinks
	}
	c.waiterExpiry = heap[*waiter]{
		less:     func(a, b *waiter) bool { return a.expires.Before(b.expires) },
		setIndex: func(w *waiter, i int) { w.expiry = i },
	}
	c.grantExpiry = heap[*grant]{less: grantByExpiry, setIndex: func(g *grant, i int) { g.expiry = i }}
	if config.Successor {
		c.retry = limit.SpentRetryBucket()
		for _, e := range config.Entries {
			c.awaitedEntries[e] = struct{}{}
		}
	}
	duration := priorDurationSeconds
	if config.Kind == Plain {
		duration = priorPlainSeconds
	}
	c.tokens = estimate.New(1, priorTokens)
	c.durations = estimate.New(0.001, duration)
	c.firstTokenTimes = estimate.New(0.001, priorFirstTokenSeconds)
	c.latencyModel = latencyModel{pace: estimate.New(0.0001, priorSecondsPerToken), prefill: priorPrefillSecondsPerToken}
	c.latencyModel.byLoad = priorSecondsPerTokenByLoad
	return c
}

// Enqueue adds a request to the queue; for a waiting request it restarts the
// RepeatTimeout. A request that holds a grant gets the same grant again, unless
// its Avoid list contains the endpoint of that grant: then the attempt there has
// failed, and the core drops the grant and queues the request as a new attempt.
// A grant whose endpoint was in the Avoid list already when the grant was given
// is kept: no other endpoint served the request.
func (c *Core) Enqueue(now time.Time, r Request) []Decision {
	if w := c.waiting[r.ID]; w != nil {
		w.lastEnqueued = now
		w.expires = w.expiresAt()
		c.waiterExpiry.fix(w.expiry)
		return nil
	}
	if g := c.byRequest[r.ID]; g != nil {
		if g.inAvoidList || !slices.Contains(r.Avoid, g.endpoint.spec.ID) {
			return []Decision{c.granted(now, g)}
		}
		c.removeGrant(now, g, ended{})
	}
	r.Tier = min(max(r.Tier, 0), Tiers-1)
	w := c.newWaiter(now, r)
	if err := c.immediateRefusal(now, w); err != nil {
		w.class.refused++
		c.recordCapacityRefusal(now, w, err)
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
	w := &waiter{request: r, suspects: suspects(r.Prefixes, r.Fingerprint), arrived: now.Add(-r.Waited), lastEnqueued: now}
	c.sequence++
	w.sequence = c.sequence
	w.customer = c.customerOf(now, r.Customer)
	w.class = c.classOf(r.Class)
	w.class.tier = r.Tier
	policy := c.classPolicy(r.Class)
	w.class.recordRequest(now, policy.StarvationBound)
	w.work = c.durations.Mean(r.Customer, r.Class)
	w.cost = 1
	if c.config.Kind == Engine {
		w.cost = c.tokens.Mean(r.Customer, r.Class)
		if maxTokens := float64(r.MaxTokens); maxTokens > 0 && w.cost > maxTokens {
			w.work *= maxTokens / w.cost
			w.cost = maxTokens
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
		if latest := w.arrived.Add(r.Deadline - margin); latest.Before(w.deadline) {
			w.deadline = latest
		}
	}
	w.expires = w.expiresAt()
	return w
}

// firstTokenQuantile is the quantile of the time to the first token that due
// times allow for: this fraction of the requests that start exactly at their due
// time still meets the target.
const firstTokenQuantile = 0.97

// firstToken returns the firstTokenQuantile of the time from the grant to the
// first token for requests of the class. For a plain service it is the time to
// the response.
func (c *Core) firstToken(class string) time.Duration {
	seconds := 0.0
	if c.config.Kind == Engine {
		seconds = c.firstTokenTimes.Quantile("", class, firstTokenQuantile)
	} else {
		seconds = c.durations.Quantile("", class, firstTokenQuantile)
	}
	return time.Duration(seconds * float64(time.Second))
}

// expiresAt returns when the waiter leaves the queue: at its deadline, or
// earlier if its entry stops repeating the request.
func (w *waiter) expiresAt() time.Time {
	t := w.lastEnqueued.Add(RepeatTimeout)
	if w.deadline.Before(t) {
		t = w.deadline
	}
	return t
}

// Cancel removes a waiting request from the queue, or voids its grant if the
// grant has not been used.
func (c *Core) Cancel(now time.Time, requestID string) []Decision {
	if w := c.waiting[requestID]; w != nil {
		c.withdraw(now, w)
	} else if g := c.byRequest[requestID]; g != nil && !g.used {
		c.recordOutcome(now, g, Outcome{Unused: true})
		c.removeGrant(now, g, ended{outcomeRecorded: true})
	}
	return c.dispatch(now, nil)
}

// withdraw removes a waiter that gets no grant and refunds its charge against
// the rate limit of the customer.
func (c *Core) withdraw(now time.Time, w *waiter) {
	c.remove(w)
	w.customer.rate.Charge(now, w.customer.tokensPerSecond(), -w.cost)
}

// Configure replaces the policy.
func (c *Core) Configure(now time.Time, p Policy) []Decision {
	c.policy = p
	c.policyGeneration++
	for _, cu := range c.customers {
		if cu.idle() {
			continue // its limits are looked up at its next request
		}
		c.customerOf(now, cu.name)
	}
	return c.dispatch(now, nil)
}

// Tick applies timeouts. It must be called about every 50 ms.
func (c *Core) Tick(now time.Time) []Decision {
	c.crashes.Update(now)
	out := c.refuseQuarantined(now, nil)
	c.expireGrants(now)
	c.expireShares(now)
	for c.waiterExpiry.len() > 0 && !now.Before(c.waiterExpiry.top().expires) {
		w := c.waiterExpiry.top()
		c.withdraw(now, w)
		if now.Before(w.deadline) {
			continue // its entry stopped repeating it, so no caller waits for a decision
		}
		out = c.refuse(w, out, &verdict.Error{
			Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Type: "server_error",
			Code: "deadline_exceeded", Message: "no capacity became free within the deadline",
			RetryAfter: c.retryAfter(now, w),
		})
	}
	out = c.dispatch(now, out)
	out = c.shedUnreachable(now, out)
	c.expireEndpoints(now)
	c.expireCustomers(now)
	c.expireEnded(now)
	return out
}

// refuse appends the refusal of a request to the decisions in out.
func (c *Core) refuse(w *waiter, out []Decision, err *verdict.Error) []Decision {
	w.class.refused++
	return append(out, Refused{RequestID: w.request.ID, Entry: w.request.Entry, Err: err})
}

package feed

import (
	"context"
	"net/http/httptrace"
	"time"

	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

const (
	// pollTimeout bounds one poll.
	pollTimeout = 400 * time.Millisecond
	// snapshotPollTimeout bounds a poll whose response may hold the whole settings. Such a
	// poll takes longer than others: 33,000 customers take 1.3 MB, and after a failure
	// domain returns, members send it to many instances at once. A poll that is cancelled
	// halfway costs the member the work without advancing the instance. If the connection
	// delivers no data, the poll fails earlier.
	snapshotPollTimeout = 5 * time.Second
	// hedgeDelay is how long a round waits for a poll before it polls the next member
	// beside it. A follower answers within 100 ms, as it collects polls for the leader.
	hedgeDelay = 150 * time.Millisecond
	// snapshotHedgeDelay is the same for a poll whose response may hold the whole settings,
	// and snapshotProgressDelay once the response has begun to arrive. They are longer, so
	// that members which start many instances at once are not asked for each of these
	// transfers several times.
	snapshotHedgeDelay    = 400 * time.Millisecond
	snapshotProgressDelay = time.Second
	// begunBuffer is the number of polls whose response may begin to arrive at once.
	begunBuffer = 16
)

// round is one search for a member that answers. A member that has not answered in time
// is polled on while the next one is polled. Only the polling goroutine uses a round, but
// for the channels.
type round struct {
	client *Client
	ctx    context.Context
	began  time.Time
	// results receives the end of each poll, and begun the polls whose response begins to
	// arrive.
	results chan *pollResult
	begun   chan *poll
	// pending holds the polls that have not ended, by address.
	pending map[string]*poll
	// nextPoll holds the members that were polled in this round, with the time from which they
	// may be polled again.
	nextPoll map[string]time.Time
	// firstPolls counts the pending polls that were the first of their member. The round
	// ends with the last of them.
	firstPolls int
	polls      int
	// lookedAt is when the round last checked its polls, and resumedAt when it last found that
	// this process had stood still.
	lookedAt, resumedAt time.Time
	// hedgeAt is when the next member is polled beside the pending polls.
	hedgeAt time.Time
}

// poll is a poll in flight.
type poll struct {
	address string
	first   bool
	// snapshot is set if the response may hold the whole settings.
	snapshot bool
	// begun is set once the response has begun to arrive.
	begun  bool
	sentAt time.Time
}

type pollResult struct {
	poll     *poll
	response *controlv1.FeedResponse
	err      error
}

// pollRound polls members until one sends a valid response or all have failed.
func (c *Client) pollRound(ctx context.Context) {
	requested := c.pollRequests
	c.pollRequests = nil
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &round{
		client: c, ctx: ctx, began: c.options.Clock(), results: make(chan *pollResult), begun: make(chan *poll, begunBuffer),
		pending: make(map[string]*poll), nextPoll: make(map[string]time.Time), lookedAt: c.options.Clock(),
	}
	whole, answered := r.run()
	c.recordRound(r.began, whole)
	if elapsed := c.options.Clock().Sub(r.began); elapsed >= slowPoll {
		c.options.Events.Emit(eventRoundSlow, event.F("elapsed_ms", elapsed.Milliseconds()), event.F("polls", r.polls),
			event.F("answered", answered), event.F("table_age_ms", c.Age(c.View()).Milliseconds()))
	}
	if len(c.pollRequests) > 0 {
		// The next round also serves the requests of this one, which was ended early.
		c.pollRequests = append(requested, c.pollRequests...)
		return
	}
	for _, done := range requested {
		close(done)
	}
}

// run polls members. It reports whether the round was not ended early, and whether a member
// sent a valid response.
func (r *round) run() (whole, answered bool) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		wait, ended := r.pollNext()
		if ended {
			return r.ctx.Err() == nil, false
		}
		r.checkAsked()
		timer.Reset(min(wait, pollTimeout))
		select {
		case <-r.ctx.Done():
			return false, false
		case <-r.client.stopping:
			return false, false
		case done := <-r.client.pollNow:
			// The requested poll must be sent after the request.
			r.client.pollRequests = append(r.client.pollRequests, done)
			return false, false
		case p := <-r.begun:
			r.recordBegun(p)
		case result := <-r.results:
			if r.recordResult(result) {
				return true, true
			}
		case <-timer.C:
		}
	}
}

// pollNext polls the next member if it is time, and returns for how long to wait for
// results. It reports whether the round has ended without a valid response.
func (r *round) pollNext() (wait time.Duration, ended bool) {
	now := time.Now()
	if now.Before(r.hedgeAt) && len(r.pending) > 0 {
		return r.hedgeAt.Sub(now), false
	}
	if address := r.client.selector.pickUnless(r.wasPolled); address != "" && r.ctx.Err() == nil {
		return r.send(address, true), false
	}
	if r.firstPolls == 0 {
		return 0, true
	}
	wait = snapshotPollTimeout
	for address, at := range r.nextPoll {
		switch until := at.Sub(now); {
		case r.pending[address] != nil:
		case until > 0:
			wait = min(wait, until)
		default:
			return r.send(address, false), false
		}
	}
	return wait, false
}

// checkAsked records that the members were asked, if none of them is left and those that
// have not answered had pollTimeout for it. The round itself may last longer, for a transfer
// of the whole settings.
func (r *round) checkAsked() {
	now := r.client.options.Clock()
	if now.Sub(r.lookedAt) >= pollTimeout+maxRoundDelay {
		r.resumedAt = now // This process stood still; the members had no time to answer.
	}
	r.lookedAt = now
	for _, p := range r.pending {
		if p.first && (now.Sub(p.sentAt) < pollTimeout || now.Sub(r.resumedAt) < pollTimeout+PollInterval) {
			return
		}
	}
	if r.client.selector.hasUnpolled(r.wasPolled) {
		return
	}
	since := r.began
	if recent := now.Add(-pollTimeout - PollInterval); recent.After(since) {
		since = recent
	}
	r.client.recordAsked(since)
}

func (r *round) wasPolled(address string) bool {
	_, polled := r.nextPoll[address]
	return polled
}

// send polls a member and returns for how long to wait for its answer alone.
func (r *round) send(address string, first bool) time.Duration {
	c := r.client
	request := c.pollRequest()
	p := &poll{address: address, first: first, snapshot: c.snapshotDue, sentAt: c.options.Clock()}
	timeout, delay := pollTimeout, hedgeDelay
	if p.snapshot {
		timeout, delay = snapshotPollTimeout, snapshotHedgeDelay
	}
	r.polls++
	if first {
		r.firstPolls++
	}
	r.pending[address], r.nextPoll[address] = p, time.Time{}
	r.hedgeAt = time.Now().Add(delay)
	c.polls.Inc(1)
	c.inFlight.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, timeout)
		defer cancel()
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
			select {
			case r.begun <- p:
			default: // The round is ending, or polls the next member sooner than it need.
			}
		}})
		response, err := c.options.MemberClient.Feed(ctx, address, request)
		select {
		case r.results <- &pollResult{p, response, err}:
		case <-r.ctx.Done():
		}
	})
	return delay
}

// recordBegun records that the response to a poll has begun to arrive.
func (r *round) recordBegun(p *poll) {
	if p.begun || r.pending[p.address] != p {
		return
	}
	p.begun = true
	if p.snapshot {
		r.hedgeAt = time.Now().Add(snapshotProgressDelay)
	}
}

// recordResult records the end of a poll and reports whether its response is valid: sent by
// the leader or on behalf of it, and applied. A response without a freshness period is a
// redirect.
func (r *round) recordResult(result *pollResult) bool {
	c, p := r.client, result.poll
	delete(r.pending, p.address)
	if p.first {
		r.firstPolls--
	}
	r.nextPoll[p.address], r.hedgeAt = time.Now().Add(PollInterval), time.Time{}
	elapsed := c.options.Clock().Sub(p.sentAt)
	c.pollDuration.RecordDuration(elapsed)
	if elapsed >= slowPoll {
		c.options.Events.Emit(eventPollSlow, event.F("member", p.address), event.F("elapsed_ms", elapsed.Milliseconds()), event.F("error", result.err))
	}
	if result.err != nil {
		c.failures.Inc(1)
		// A response that was cut short by pollTimeout may be a large one.
		c.snapshotDue = c.snapshotDue || p.begun && elapsed >= pollTimeout
		c.selector.recordFailure(p.address)
		return false
	}
	response := result.response
	redirect := response.GetFreshForMs() == 0
	var err error
	if redirect {
		err = c.applyTable(response.GetRouting())
	} else {
		err = c.applyResponse(response, p.sentAt)
	}
	switch {
	case err != nil:
		c.options.Events.Emit(eventFeedRejected, event.F("member", p.address), event.F("error", err))
		c.fullSync, c.snapshotDue = true, true
		c.selector.recordFailure(p.address)
	case redirect:
		c.selector.recordRedirect(p.address, response.GetLeaderAddress())
	default:
		c.selector.recordSuccess(p.address, response.GetMembers())
		return true
	}
	return false
}

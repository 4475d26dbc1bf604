package dispatch

import "time"

// Decision is the result of Admit for a placed request.
type Decision int

// Decisions of Admit.
const (
	// Send means that the request is sent to the chosen endpoint.
	Send Decision = iota
	// Wait means that the request stays at the entry and is placed again after
	// WaitStep.
	Wait
	// Refuse means that the request is refused.
	Refuse
)

const (
	// WaitStep is the time after which a waiting request is placed again. During a
	// burst, several requests of an entry end within this time.
	WaitStep = 25 * time.Millisecond
	// maxWaitShare is the share of its objective for which a request may wait at
	// its entry. A caller that is refused after that time can still retry in time.
	maxWaitShare = 0.125
	// minRetryAfter and maxRetryAfter bound the time after which a caller is asked
	// to retry: a shorter one causes a retry storm, a longer one exceeds most
	// objectives.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
	// retryAfterShare is the share of its objective after which a caller is asked
	// to retry at the latest, as long as the retry can still be timely.
	retryAfterShare = 1.0 / 3
	// retryAfterJitter is the relative width of the range from which retry times
	// are drawn, so that callers refused together do not retry together.
	retryAfterJitter = 0.5
)

// Admit decides whether a placed request is sent, waits or is refused. While the
// endpoints as a whole are overloaded, as in a burst above capacity, a request that
// would be late is not sent, since it would make later requests late as well. A
// request is never sent if its complete response is expected after the caller's
// deadline.
func Admit(now time.Time, d Demand, c Choice) Decision {
	switch {
	case now.Add(c.PredictedTotal).After(d.Deadline):
		return Refuse
	case !c.Overload || c.Protected || c.Lateness <= 0:
		return Send
	case now.Sub(d.Arrived) < time.Duration(maxWaitShare*float64(d.Objective)):
		return Wait
	}
	return Refuse
}

// AdmitBlocked decides whether a request that no endpoint may get because of their limits
// and pauses waits or is refused.
func AdmitBlocked(now time.Time, d Demand) Decision {
	if now.Sub(d.Arrived) < time.Duration(maxWaitShare*float64(d.Objective)) {
		return Wait
	}
	return Refuse
}

// RetryAfter returns the time after which a caller should retry, given the lateness
// of its request: early enough for a timely response, or, if that is not possible,
// once the endpoints have caught up. random is in [0, 1).
func RetryAfter(objective, lateness time.Duration, random float64) time.Duration {
	latest := maxRetryAfter
	if lateness < objective {
		latest = time.Duration(retryAfterShare * float64(objective))
	}
	base := max(minRetryAfter, min(latest, lateness))
	return time.Duration(float64(base) * (1 - retryAfterJitter/2 + retryAfterJitter*random))
}

package fleet

import "time"

// Figures of the load. burstFactor, waveFactor and prefillTokensPerMs follow the load that one
// operator described; a deployment with larger bursts or slower engines needs others, and they
// are not yet learned or set.
const (
	// burstFactor is the growth of the load of a service that must be served without new
	// endpoints: bursts begin within a second, end within 9 s, and new endpoints take some
	// seconds to serve.
	burstFactor = 2.4
	// waveFactor is the height of the regular waves of the load above its mean. A burst may
	// begin at the top of a wave.
	waveFactor = 1.27
	// usableShare is the part of the engine time that may be in use. Above it, a prompt waits
	// for longer than the 0.3 s that the strictest objective allows.
	usableShare = 0.8
	// prefillTokensPerMs is the assumed speed of an engine. It is below that of known engines
	// (38 tokens per ms), since engines that share machines with others are slower at times.
	prefillTokensPerMs = 35.0
	// defaultSlots is assumed for endpoints that announce no number of slots.
	defaultSlots = 8
	// minEndpoints is the least number of endpoints that serve outside of any failure domain.
	// One of them may crash, and another be reduced or start, while a burst begins.
	minEndpoints = 4.0
)

// Times and numbers of decisions.
const (
	// historySeconds is the time over which the usual load is taken, as a median: long against
	// a wave (11 s) and a burst (9 s), so that neither moves it much.
	historySeconds = 30
	// growthSeconds is how long the load must have been above its median to count as grown: so
	// long that the part outside of a burst, 7 s, has a second below the mean of a wave.
	growthSeconds = 18
	// lowerSeconds is how long the need must have been lower before the level follows it.
	lowerSeconds = 30
	// currentSeconds is the time over which the current load is taken, in samples of a second.
	currentSeconds = 3
	// reduceAfter is how long demand must have been known before endpoints are reduced, so
	// that a new holder does not act on the first seconds.
	reduceAfter = 10 * time.Second
	// reduceInterval is the time between two reductions of a service. A reduced endpoint
	// drains for some seconds.
	reduceInterval = 5 * time.Second
	// reduceShare and addShare are the parts of a service's endpoints that one reduction
	// removes, and of a domain's endpoints that one order adds in exchange for others. Each
	// change moves shared prompt parts to other engines, which prefill them again.
	reduceShare = 1.0 / 12
	addShare    = 1.0 / 3
	// levelSlack and levelDrop are the dead band of the need that is planned for: it follows
	// a higher need with some slack, and a lower one only below levelDrop.
	levelSlack = 1.05
	levelDrop  = 0.8
	// refusedShare and refusedPerS are the refusals above which the need is larger than the
	// load shows. maxRefusedFactor bounds how far the need may rise for it, since a caller's
	// own limits cause refusals that endpoints do not end.
	refusedShare     = 0.01
	refusedPerS      = 0.5
	refusedStep      = 1.2
	maxRefusedFactor = 1.5
	// maxMissingShare is the part of the entries that may be missing when endpoints are
	// reduced. A member that is cut off from entries sees less demand than there is.
	maxMissingShare = 0.2
	// settleMargin is added to the boot time before an order counts as not carried out.
	settleMargin = 3 * time.Second
	// lateOrder is how long an order without an answer may still come into force, and a
	// second more.
	lateOrder = 13 * time.Second
	// repeatMin and repeatMax bound the time before an order without an answer is repeated.
	repeatMin = 2 * time.Second
	repeatMax = 8 * time.Second
	// unavailableRetry is how long a kind that was unavailable is not ordered again. It doubles
	// from the third such order in a row, up to unavailableMax, since each order has a price.
	// After unavailableLong of them, 20 s, others take the place of those endpoints in full.
	unavailableRetry = 10 * time.Second
	unavailableMax   = 20 * time.Second
	unavailableLong  = 3
	// resendEqual is the time between repeats of an order that was accepted and has no effect.
	// The first one follows once the order has had time to be carried out: an earlier order may
	// have come into force after it.
	resendEqual = 30 * time.Second
	// maxSilence is how long a silent endpoint counts as present. Endpoints that crash return
	// within 5 s.
	maxSilence = 10 * time.Second
	// maxObservationGap is the longest time without demand that does not make the history
	// begin anew.
	maxObservationGap = 5 * time.Second
	// maxReduceAge is the greatest age of the demand by which endpoints are reduced: a round of
	// planning that came late.
	maxReduceAge = 1500 * time.Millisecond
)

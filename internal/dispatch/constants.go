package dispatch

import "time"

const (
	// longPromptTokens is the size from which on a prompt delays the events of the
	// requests that run beside it: engines prefill it in several chunks, one in each
	// step, and an event takes several steps.
	longPromptTokens = 4096
	// maxMemoryFill is the share of an engine's memory that requests may fill. An
	// engine that runs out of memory preempts requests and prefills them again.
	maxMemoryFill = 0.9
	// fullMemoryWait is the expected wait at an engine with full memory, as a share
	// of the generation time: another request has to end first.
	fullMemoryWait = 0.5
	// minFetchTokens is the number of tokens from which on a fetch from another
	// engine is worth its cost.
	minFetchTokens = 512
	// fetchSetup is the fixed part of the duration of a fetch.
	fetchSetup = 3 * time.Millisecond
	// lateBacklogWeight is the weight of an endpoint's late requests in its cost,
	// so that late requests are spread over the endpoints too.
	lateBacklogWeight = 0.5
	// The penalties below are equivalents in time to the first event.

	// nonPreferredPenalty is the penalty for an endpoint other than the preferred
	// one of the prompt's shared parts: the parts then occupy memory in two engines
	// and evict other parts.
	nonPreferredPenalty = 150 * time.Millisecond
	// lateNonPreferredPenalty is added to nonPreferredPenalty for a request that is
	// late both at its preferred endpoints and elsewhere.
	lateNonPreferredPenalty = 1200 * time.Millisecond
	// shortPromptPenaltyMs is the time that each short-prompt request adds to an
	// event of the others.
	shortPromptPenaltyMs = 0.5
	// crossDomainPenalty is the penalty for an endpoint in another failure domain:
	// two crossings of about 1 ms each way, and the cost of the traffic.
	crossDomainPenalty = 4 * time.Millisecond
	// crossDomainStreamPenalty is added to crossDomainPenalty for a short-prompt
	// request. Its response has many events, and each event crosses separately.
	crossDomainStreamPenalty = 30 * time.Millisecond
	// failurePenalty is the penalty for one recent failure.
	failurePenalty = 100 * time.Millisecond
	// silentPenalty is the penalty for an endpoint whose announcements reach no
	// directory member and that has not responded to this entry within silentGrace.
	silentPenalty = 400 * time.Millisecond
	// silentGrace is the time after a response to this entry during which a silent
	// endpoint is not penalized.
	silentGrace = 2 * time.Second
	// initialServiceTime is the assumed service time of a plain request until it
	// has been learned.
	initialServiceTime = 30 * time.Millisecond
	// initialGeneration is the assumed time from the first event to the end of a
	// stream until it has been learned.
	initialGeneration = time.Second
	// preferredCount is the number of preferred endpoints of a prompt's shared
	// parts. A request goes to the next one as long as the ones before are late and
	// the service is not overloaded.
	preferredCount = 2
	// timelyShare is the share of the remaining objective up to which the predicted
	// time to the first event counts as timely. The known load of other entries is
	// up to half an objective old and does not include the requests that they have
	// sent since.
	timelyShare = 0.65
	// plainTimelyShare replaces timelyShare for plain services, whose prediction
	// covers the complete response.
	plainTimelyShare = 0.9
	// maxOwnPrefillShare is the largest share of the objective that the prefill of
	// a request's own prompt counts against it. A prompt with a longer prefill
	// cannot be timely at all; the limit lets such a request go to an endpoint with
	// almost no backlog, so that it does not starve.
	maxOwnPrefillShare = 0.58
	// overloadBacklogShare defines overload of a model service: the engines for
	// long prompts need on average more than this share of a request's objective to
	// prefill the prompts sent to them. Below it, late work can catch up by being
	// spread over the engines.
	overloadBacklogShare = 0.2
	// maxEngineBacklog is the most that one engine counts in that mean, as a multiple of
	// the share. A few engines with very long prompts are no overload of the service.
	maxEngineBacklog = 2.0
	// plainOverloadPerSlot is the number of requests per slot from which on a plain
	// service counts as overloaded. Its queues make a request late at two to three
	// requests per slot.
	plainOverloadPerSlot = 1.5
	// busyShare is the part of overloadBacklogShare and of plainOverloadPerSlot
	// above which the entry requests the load of the other entries more often. It
	// does so for busyDuration after the last request that was placed above that
	// level.
	busyShare    = 0.5
	busyDuration = time.Second
	// initialShortShare is the share of all slots that short-prompt requests are
	// expected to use until their load is known.
	initialShortShare = 0.2
	// predictionLagDecay is the time in which the prediction lag of the service
	// loses most of its weight. Without the decay, an entry that sends few requests
	// because of a high lag would never observe that the engines have caught up.
	predictionLagDecay = 3 * time.Second
	// longBesideShortPenaltyMs is the penalty that a long-prompt request gets for
	// each short-prompt request at the engine, whose events it delays.
	longBesideShortPenaltyMs = 60.0
	// otherPoolPenalty is the penalty for placing a short-prompt request beside
	// long prompts, which is considered only above overflowShare.
	otherPoolPenalty = 150 * time.Millisecond
	// overflowShare is the share of the remaining objective above which the
	// predicted first event in the short-prompt pool makes the other pool a
	// candidate.
	overflowShare = 0.5
	// samplesPerEndpoint is the mean number of entries whose random sample contains
	// a given endpoint; it determines the sample size of an entry. Without
	// sampling, many entries with the same view of the load would all choose the
	// same endpoint until the next exchange of load reports.
	samplesPerEndpoint = 8
	// minEntriesForTwoChoices is the number of entries from which on the better of
	// two random endpoints is a better choice than the least loaded one, because
	// load reports are then older than the requests in flight.
	minEntriesForTwoChoices = 16
	// minSample is the minimum number of endpoints that are compared.
	minSample = 4
	// predictionLagGain is the weight of a new observation in the prediction lag of
	// the service. An entry observes some ten first events per second, so that the
	// lag follows within 2 s.
	predictionLagGain = 0.05
	// engineCapacityPerSlot is the number of requests that an engine accepts, as a
	// multiple of its slots. It queues up to twice its slots and then rejects
	// requests.
	engineCapacityPerSlot = 2.5
	// fullEngineDelayMs is the predicted wait at an engine that accepts no more
	// requests: longer than any caller waits.
	fullEngineDelayMs = 60_000
	// preferredCacheProbability is the probability that the preferred endpoint has
	// a prompt part cached although this entry did not send the part there: nearly
	// all requests go to the preferred endpoint.
	preferredCacheProbability = 0.9
	// shortInFlightDecayPerS is the share by which shortInFlight, and with it the
	// short-prompt pool, shrinks per second after a burst. The pool grows
	// immediately.
	shortInFlightDecayPerS = 0.25
)

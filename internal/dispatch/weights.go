package dispatch

import "time"

const (
	// readRate is the number of prompt tokens that an engine reads in a
	// millisecond; engines of both users read 41 to 52. What differs shows in the
	// pace of an endpoint and in the lag of the service.
	readRate = 45.0
	// firstEventBase is the time to the first event of an idle engine besides
	// reading: scheduling, one step per token of the event and the network.
	firstEventBase = 45 * time.Millisecond
	// heavyPrompt is the size from which on a prompt holds up the events of the
	// requests beside it: it is read in chunks of 2,048 tokens of 40 to 50 ms each,
	// one in each step, and an event takes four to seven steps.
	heavyPrompt = 4096
	// poolFill is the share of slots that the pool for light requests is sized
	// for, so that bursts find room in it.
	poolFill = 0.85
	// maxLight is the number of light requests that an engine serves well, however
	// many slots it has: their short prompts are read beside each other's events,
	// and a lost or slow engine must not take all of them.
	maxLight = 72
	// memoryFill is the share of an engine's memory that requests may fill; when
	// it runs out, requests are preempted and read again.
	memoryFill = 0.9
	// memoryWait is the wait at an engine with full memory, as a share of the time
	// that a request runs: another one has to end first.
	memoryWait = 0.5
	// minFetch is the number of tokens from which on fetching them from another
	// engine is worth its price.
	minFetch = 512
	// fetchSetup is the fixed part of the time of a fetch.
	fetchSetup = 3 * time.Millisecond
	// lateWeight is the part of the late work of an endpoint that counts in the
	// choice: late work spreads too.
	lateWeight = 0.5
	// Prices below are in the time to the first event that they are worth; those
	// with the largest effect were set by measured runs, see the journal.

	// awayPrice is the price of sending a prompt with shared parts elsewhere than to
	// their home: the parts take room in two engines then, and push others out.
	awayPrice = 150 * time.Millisecond
	// awayLate is that price where the request is late at either place.
	awayLate = 1200 * time.Millisecond
	// stepPrice is what each light request adds to the time of an event, in ms.
	stepPrice = 0.5
	// crossDomain is the price of another failure domain: two crossings of about
	// 1 ms each way and the priced bytes.
	crossDomain = 4 * time.Millisecond
	// crossStream is the further price of it for a light request, whose answer has
	// many events; every event crosses on its own.
	crossStream = 30 * time.Millisecond
	// failurePrice is the price of one recent failure.
	failurePrice = 100 * time.Millisecond
	// silentPrice is the price of an endpoint that no member hears of and that
	// has not answered this entry lately.
	silentPrice = 400 * time.Millisecond
	// silentTrust is how long an own answer vouches for a silent endpoint.
	silentTrust = 2 * time.Second
	// plainWork is the work of a plain request until it is learned.
	plainWork = 30 * time.Millisecond
	// firstRun is the time of a stream until it is learned.
	firstRun = time.Second
	// homes is how many endpoints a prompt's shared parts go to in turn, as long as
	// the ones before are behind and the service is not overloaded.
	homes = 2
	// timelyBound is the share of the objective up to which the predicted time to the
	// first event counts as timely. The load of other entries is up to half an
	// objective old, and what they have sent since comes on top.
	timelyBound = 0.65
	// plainBound is that share for plain services, whose prediction covers the whole
	// answer.
	plainBound = 0.9
	// ownBound is the largest share of the objective that a request's own reading
	// counts against it. A prompt that takes longer to read cannot be timely at
	// all; it is sent where next to nothing is ahead of it, and does not starve.
	ownBound = 0.58
	// overloadShare is the mean time that the engines for long prompts need for the
	// prompts sent to them, as a share of a request's objective, from which on the
	// service counts as overloaded for it. Below it, the spread over the engines lets
	// late work catch up.
	overloadShare = 0.2
	// plainOverload is the number of requests for each slot of a plain service from
	// which on it counts as overloaded. Its queues make a request late at two to
	// three for each slot.
	plainOverload = 1.5
	// busyShare is the part of overloadShare and plainOverload from which on the load
	// of the other entries is asked for more often, and busyFor how long that lasts.
	busyShare = 0.5
	busyFor   = time.Second
	// rankMemory is the time over which the ranks of requests are compared: long
	// enough for some tens of requests of an entry, shorter than a burst.
	rankMemory = 3 * time.Second
	// lightPrior is the share of all slots that light requests are expected to take
	// until their load is known; it is a fifth on both users' sheets.
	lightPrior = 0.2
	// lagDecay is the time in which the lag of the service loses most of its
	// weight. An entry that sends little for its lag would never learn that the
	// engines have caught up.
	lagDecay = 3 * time.Second
	// lightHarm is what a long prompt costs each light request beside it, in ms.
	lightHarm = 60.0
	// offPool is the price of placing a light request beside long prompts. It is
	// paid only where the light pool is behind by a part of the objective.
	offPool = 150 * time.Millisecond
	// poolBehind is that part.
	poolBehind = 0.5
	// sampledPerEntry is the product of the endpoints that are compared for a request and
	// of the entries: many entries that see the same load would all choose the
	// same endpoint until they hear of each other.
	sampledPerEntry = 8
	// manyEntries is the number of entries from which on two random choices beat
	// the least loaded endpoint: reports of load are older than the work then.
	manyEntries = 16
	// minSampled is the least number of endpoints that are compared.
	minSampled = 4
	// lagGain is the weight of a new observation in the lag of the service. An
	// entry sees some ten first events a second, so that it follows within 2 s.
	lagGain = 0.05
	// queueRoom is how many requests an engine takes, as a multiple of its slots;
	// it queues twice its slots and then turns requests away.
	queueRoom = 2.5
	// fullDelay is the predicted wait at an engine without room, in ms: longer
	// than any caller waits.
	fullDelay = 60_000
	// homeBelief is the chance that the home of a prompt part has it cached
	// although this entry did not send it there: nearly all requests go home.
	homeBelief = 0.9
	// lightDecay is how fast the pool for light requests shrinks after a burst: by
	// this share a second. It grows at once.
	lightDecay = 0.25
)

package dispatch

const (
	// assumedBaseMs and assumedTokensPerMs describe the engine that is assumed before
	// anything is learned: the time to the first event of an empty prompt, and the prompt
	// tokens prefilled per millisecond.
	assumedBaseMs      = 45.0
	assumedTokensPerMs = 45.0
	// paceGain is the weight of a new observation in the pace.
	paceGain = 0.03
	// minPace and maxPace bound the pace.
	minPace = 0.05
	maxPace = 20.0
	// maxPaceRatio bounds one observation, since an outlier says more about its endpoint
	// than about the service.
	maxPaceRatio = 4.0
)

// prefillPace is the learned ratio of the time to the first event at the engines of a
// service to that of the assumed engine. It covers what the engines have in common; what
// sets one of them apart is its slowdown factor.
type prefillPace float64

// observe adds the time to the first event of a prompt at an otherwise idle engine,
// divided by the slowdown factor of the engine.
func (p *prefillPace) observe(tokens, ms float64) {
	noiseMs := float64(slowdownNoise.Milliseconds())
	ratio := (ms + noiseMs) / (assumedBaseMs + tokens/assumedTokensPerMs + noiseMs)
	next := *p + paceGain*(prefillPace(min(maxPaceRatio, ratio))-*p)
	*p = min(maxPace, max(minPace, next))
}

// msPerToken returns the time to prefill one token.
func (p prefillPace) msPerToken() float64 { return float64(p) / assumedTokensPerMs }

// baseMs returns the time to the first event of an empty prompt.
func (p prefillPace) baseMs() float64 { return float64(p) * assumedBaseMs }

// Package load sends seeded workloads to the system. It checks that each response is
// complete and belongs to its own request, and that no booking is duplicated or lost.
package load

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("load")

// Kind is the kind of the requests of a class.
type Kind int

// Request kinds.
const (
	Chat Kind = iota
	Lookup
	Booking
)

// Class is one request class of a profile.
type Class struct {
	Name string
	Kind Kind
	// Service is the model of a chat class, and the service of a plain class.
	Service string
	// Path is the path below the service. It is used by plain classes only.
	Path string
	// Share is the fraction of all requests that belong to this class.
	Share float64
	// PromptWords is the median length of a prompt in words, and MedianTokens is the
	// median length of a response in tokens.
	PromptWords  int
	MedianTokens float64
	// MaxTokens is the max_tokens limit of the request.
	MaxTokens int
	// Target bounds the time to the first token of a chat response, or to the complete
	// response of a plain call. Only responses within it count as attained.
	Target time.Duration
}

// responseLengthSigma is the standard deviation of the logarithm of response
// lengths. One response in six is longer than 1.8 times the median.
const responseLengthSigma = 0.6

// responseTokens returns a random response length in tokens. Lengths have a
// log-normal distribution, limited to 1..MaxTokens.
func (c *Class) responseTokens(r *rand.Rand) int {
	n := c.MedianTokens * math.Exp(responseLengthSigma*r.NormFloat64())
	return min(max(int(n), 1), c.MaxTokens)
}

// Profile is a named set of classes. The shares add up to 1.
type Profile struct {
	Name    string
	Classes []*Class
}

// ProfileNames returns the names of all profiles.
func ProfileNames() []string { return []string{"cerapulita", "pedra-lisa"} }

// NewProfile returns a new copy of the profile with the given name.
func NewProfile(name string) (*Profile, error) {
	switch name {
	case "cerapulita":
		return &Profile{Name: name, Classes: []*Class{
			{Name: "schedule", Service: "auburn-pool", Share: 0.15, PromptWords: 800, MedianTokens: 200, MaxTokens: 800, Target: 2 * time.Second},
			{Name: "crew-chat", Service: "auburn-pool", Share: 0.45, PromptWords: 30, MedianTokens: 40, MaxTokens: 200, Target: time.Second},
			{Name: "lookup", Kind: Lookup, Service: "rota-app", Path: "/rota", Share: 0.3, Target: 200 * time.Millisecond},
			{Name: "booking", Kind: Booking, Service: "rota-app", Path: "/bookings", Share: 0.1, Target: 500 * time.Millisecond},
		}}, nil
	case "pedra-lisa":
		return &Profile{Name: name, Classes: []*Class{
			{Name: "note", Service: "auburnstep-sort", Share: 0.5, PromptWords: 300, MedianTokens: 100, MaxTokens: 400, Target: 1500 * time.Millisecond},
			{Name: "stock", Kind: Lookup, Service: "lotes", Path: "/stock", Share: 0.35, Target: 200 * time.Millisecond},
			{Name: "reservation", Kind: Booking, Service: "lotes", Path: "/reservations", Share: 0.15, Target: 500 * time.Millisecond},
		}}, nil
	}
	return nil, Error.New("profile %q is unknown", name)
}

// Class returns the class with the given name.
func (p *Profile) Class(name string) (*Class, error) {
	for _, c := range p.Classes {
		if c.Name == name {
			return c, nil
		}
	}
	return nil, Error.New("profile %s has no class %q", p.Name, name)
}

// Burst multiplies the request rate of one class from Start on, for Length.
type Burst struct {
	Class  string
	Start  time.Duration
	Length time.Duration
	// Factor multiplies the rate of the class.
	Factor float64
}

// arrival is one planned request. All random properties are generated at planning
// time, so that a seed gives the same requests regardless of response times.
type arrival struct {
	at             time.Duration
	class          *Class
	index          int
	responseTokens int
	promptWords    int
	keyIndex       int
	repeat         repeatMode
}

// repeatMode determines when the second request of a booking is sent.
type repeatMode int

const (
	repeatConcurrently repeatMode = iota
	repeatAfterDelay
	repeatAfterResponse
	repeatModeCount
)

// planArrivals generates the arrivals of a run: a Poisson process for each class, with
// a higher rate during its bursts.
func planArrivals(p *Profile, o Options) ([]arrival, error) {
	for _, b := range o.Bursts {
		if _, err := p.Class(b.Class); err != nil {
			return nil, err
		}
	}
	var arrivals []arrival
	for i, c := range p.Classes {
		r := rand.New(rand.NewPCG(o.Seed, uint64(i)+1))
		arrivals = append(arrivals, planClassArrivals(c, o, r)...)
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	for i := range arrivals {
		arrivals[i].index = i
	}
	return arrivals, nil
}

// planClassArrivals generates a Poisson process at the peak rate of the class and
// thins it to the current rate, so that the arrivals stay a Poisson process where the
// rate changes.
func planClassArrivals(c *Class, o Options, r *rand.Rand) []arrival {
	peakFactor := 1.0
	for _, b := range o.Bursts {
		if b.Class == c.Name {
			peakFactor = max(peakFactor, b.Factor)
		}
	}
	peakRate := o.Rate * c.Share * peakFactor
	if peakRate <= 0 {
		return nil
	}
	var arrivals []arrival
	for at := 0.0; ; {
		at += r.ExpFloat64() / peakRate
		t := time.Duration(at * float64(time.Second))
		if t >= o.Duration {
			return arrivals
		}
		if r.Float64()*peakFactor >= rateFactorAt(c, o.Bursts, t) {
			continue
		}
		arrivals = append(arrivals, arrival{
			at: t, class: c, responseTokens: c.responseTokens(r), promptWords: c.PromptWords/2 + r.IntN(c.PromptWords+1),
			keyIndex: r.IntN(max(len(o.Keys), 1)), repeat: repeatMode(r.IntN(int(repeatModeCount))),
		})
	}
}

func rateFactorAt(c *Class, bursts []Burst, t time.Duration) float64 {
	factor := 1.0
	for _, b := range bursts {
		if b.Class == c.Name && t >= b.Start && t < b.Start+b.Length {
			factor = max(factor, b.Factor)
		}
	}
	return factor
}

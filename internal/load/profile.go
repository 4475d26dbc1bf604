// Package load sends seeded workloads to the system, checks that each answer is
// whole and belongs to its own request, and that no booking is doubled or lost.
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

// Kind is the kind of request of a class.
type Kind int

// Kinds of request.
const (
	Chat Kind = iota
	Lookup
	Booking
)

// Class is one request class of a profile.
type Class struct {
	Name string
	Kind Kind
	// Service is the model of a chat class and the service of a plain one.
	Service string
	// Path is the path below the service, for plain classes.
	Path string
	// Share is the part of all requests.
	Share float64
	// PromptWords is the median length of a prompt, TokensMedian that of an answer.
	PromptWords  int
	TokensMedian float64
	// MaxTokens is the limit that the request carries.
	MaxTokens int
	// Target bounds the time to the first token, or to the whole answer of a
	// plain call, for the request to count as attained.
	Target time.Duration
}

// tokensSpread is the standard deviation of the logarithm of answer lengths: one
// answer in six is more than 1.8 times the median.
const tokensSpread = 0.6

// tokens draws the length of an answer.
func (c *Class) tokens(r *rand.Rand) int {
	n := c.TokensMedian * math.Exp(tokensSpread*r.NormFloat64())
	return min(max(int(n), 1), c.MaxTokens)
}

// Profile is a named set of classes. The shares add up to 1.
type Profile struct {
	Name    string
	Classes []*Class
}

// ProfileNames lists the profiles.
func ProfileNames() []string { return []string{"cerapulita", "pedra-lisa"} }

// ProfileOf returns a fresh copy of the profile with the given name.
func ProfileOf(name string) (*Profile, error) {
	switch name {
	case "cerapulita":
		return &Profile{Name: name, Classes: []*Class{
			{Name: "schedule", Service: "auburn-pool", Share: 0.15, PromptWords: 800, TokensMedian: 200, MaxTokens: 800, Target: 2 * time.Second},
			{Name: "crew-chat", Service: "auburn-pool", Share: 0.45, PromptWords: 30, TokensMedian: 40, MaxTokens: 200, Target: time.Second},
			{Name: "lookup", Kind: Lookup, Service: "rota-app", Path: "/rota", Share: 0.3, Target: 200 * time.Millisecond},
			{Name: "booking", Kind: Booking, Service: "rota-app", Path: "/bookings", Share: 0.1, Target: 500 * time.Millisecond},
		}}, nil
	case "pedra-lisa":
		return &Profile{Name: name, Classes: []*Class{
			{Name: "note", Service: "auburnstep-sort", Share: 0.5, PromptWords: 300, TokensMedian: 100, MaxTokens: 400, Target: 1500 * time.Millisecond},
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

// Burst raises the rate of one class for a while.
type Burst struct {
	Class  string
	Start  time.Duration
	Length time.Duration
	// Factor multiplies the rate of the class.
	Factor float64
}

// arrival is one planned request. Its random part is drawn when it is planned,
// so that a seed gives the same requests however fast they are answered.
type arrival struct {
	at     time.Duration
	class  *Class
	index  int
	tokens int
	words  int
	key    int
	repeat repeatMode
}

// repeatMode says when the second send of a booking follows.
type repeatMode int

const (
	repeatAtOnce repeatMode = iota
	repeatSoon
	repeatAfterAnswer
	repeatModes
)

// plan draws the arrivals of a run: a Poisson process for each class, with more
// arrivals in its bursts.
func plan(p *Profile, o Options) ([]arrival, error) {
	for _, b := range o.Bursts {
		if _, err := p.Class(b.Class); err != nil {
			return nil, err
		}
	}
	var out []arrival
	for i, c := range p.Classes {
		r := rand.New(rand.NewPCG(o.Seed, uint64(i)+1))
		out = append(out, planClass(c, o, r)...)
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	for i := range out {
		out[i].index = i
	}
	return out, nil
}

// planClass thins a process at the highest rate of the class, which keeps the
// arrivals Poisson where the rate changes.
func planClass(c *Class, o Options, r *rand.Rand) []arrival {
	highest := 1.0
	for _, b := range o.Bursts {
		if b.Class == c.Name {
			highest = max(highest, b.Factor)
		}
	}
	rate := o.Rate * c.Share * highest
	if rate <= 0 {
		return nil
	}
	var out []arrival
	for at := 0.0; ; {
		at += r.ExpFloat64() / rate
		t := time.Duration(at * float64(time.Second))
		if t >= o.Duration {
			return out
		}
		if r.Float64()*highest >= factorAt(c, o.Bursts, t) {
			continue
		}
		out = append(out, arrival{
			at: t, class: c, tokens: c.tokens(r), words: c.PromptWords/2 + r.IntN(c.PromptWords+1),
			key: r.IntN(max(len(o.Keys), 1)), repeat: repeatMode(r.IntN(int(repeatModes))),
		})
	}
}

func factorAt(c *Class, bursts []Burst, t time.Duration) float64 {
	factor := 1.0
	for _, b := range bursts {
		if b.Class == c.Name && t >= b.Start && t < b.Start+b.Length {
			factor = max(factor, b.Factor)
		}
	}
	return factor
}

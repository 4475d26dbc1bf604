// Package fairshare finds the customers that send much more work to a service than usual, and
// decides which of their requests are refused while the service is overloaded. Entries
// measure what customers ask for, a control member sums it over all entries. Every decision
// is a function of its arguments; the time is one of them.
package fairshare

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxReported bounds the customers in a report of an entry, and MaxExcess those in the
	// answer of a member.
	MaxReported = 32
	MaxExcess   = 16
	// excessTTL is how long an entry uses the answer of a member, and reportTTL how long a
	// member uses the report of an entry. Entries poll several times within it.
	excessTTL = 2 * time.Second
	reportTTL = 2 * time.Second
	// rateDecay is the time in which work in a rate loses most of its weight. A customer that
	// sends 8 times as much exceeds beginFactor after a quarter of it. With 1.5 s, a customer
	// with a quarter of the load at 6 times its usual costs the others 5 in 100 of their
	// requests in TestCustomersThatExceedPay, instead of 3.
	rateDecay = time.Second
	// minReported is the share of the work of a service at an entry below which a customer is
	// not reported. A single request counts for some seconds.
	minReported = 0.01
	// maxMeasured bounds the customers that an entry measures.
	maxMeasured = 4096
	// evaluationInterval is the time between evaluations at a member. It is shorter than
	// the interval of an entry's polls.
	evaluationInterval = 200 * time.Millisecond
	// usualDecay is the time over which the usual rate is learned.
	usualDecay = time.Minute
	// minLearning is how long a member has observed a service before it names customers.
	minLearning = 20 * time.Second
	// maxStep bounds the time that one evaluation counts as observed. A member that received
	// no reports for a while has learned nothing in it.
	maxStep = time.Second
	// beginFactor and beginShare define excess: more than beginFactor of the usual rate, and
	// by more than beginShare of the usual rate of the service. Rates of small customers
	// vary by more than beginFactor from chance alone, and matter little. With 2 and 0.04, one
	// request in 5 runs of TestCustomersThatGrowTogether was refused, with these none in 60.
	beginFactor = 2.5
	beginShare  = 0.05
	// endFactor is the factor of the usual rate below which excess ends.
	endFactor = 1.5
	// maxExcessTime is the time after which a higher rate counts as usual.
	maxExcessTime = 2 * time.Minute
	// minServed bounds what is refused: a customer that exceeds its usual rate keeps at least
	// this part of the share that is served of all requests. It must be served a quarter as
	// often as all, and some of what it keeps is refused for being late.
	minServed = 0.26
	// maxGrowth bounds the rate, as a factor of the usual one, of which minServed is kept. What
	// is above counts as repeats of refused requests, which cannot be told from others:
	// customers send up to 8 times their usual load. Without it, callers that repeat refused
	// requests twice drive up what is kept: a customer with a quarter of the load then costs
	// the others up to 27 in 100 of their requests, instead of 2.
	maxGrowth = 8.0
	// keptShare is the part of its usual rate down to which the requests of a customer are
	// refused, so that the queue from the time before the excess was noticed goes away. At the
	// whole rate, two customers with a third of the load at 8 times their usual cost the others
	// 5.2 in 100 of their requests in TestCustomersThatExceedPay, instead of 4.3.
	keptShare = 0.8
	// maxRefused is the largest share of a customer's requests that is refused for excess. It
	// is high because repeats of refused requests are refused too.
	maxRefused = 0.97
	// maxEntries and maxServices bound what a member keeps, as does maxCustomers for each
	// service.
	maxEntries   = 1024
	maxServices  = 64
	maxCustomers = 8192
)

// Key identifies a customer of a service by the first 32 bits of the XXH64 hashes of the
// names. Customers with the same hash are taken for one.
type Key struct{ Service, Customer uint32 }

// KeyOf returns the key of a customer of a service.
func KeyOf(service, customer string) Key {
	return Key{uint32(xxhash.Sum64String(service) >> 32), uint32(xxhash.Sum64String(customer) >> 32)}
}

// ServiceHash and CustomerHash return the hashes as events show them.
func (k Key) ServiceHash() string  { return fmt.Sprintf("%08x", k.Service) }
func (k Key) CustomerHash() string { return fmt.Sprintf("%08x", k.Customer) }

// Rate is the work per second that a customer asks for: prompt tokens to prefill at an
// engine service, requests at a plain one.
type Rate struct {
	Key
	PerSecond float64
}

// Excess names a customer that exceeds its usual rate, and the share of its requests to
// refuse while the service is overloaded.
type Excess struct {
	Key
	Refuse float64
}

// Refuses decides whether a request of a customer is refused for excess. random is in [0, 1)
// and drawn once for each request.
func Refuses(share float64, overload, protected bool, random float64) bool {
	return overload && !protected && random < share
}

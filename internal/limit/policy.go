// Package limit holds the limits of customers: concurrency and token rate,
// leased shares of one budget among several holders, fair order among the
// customers of a tier, and retry budgets. Time is a parameter everywhere.
package limit

// Policy is what the settings tree says about one customer. A zero limit means
// that there is none.
type Policy struct {
	Concurrency     int
	TokensPerSecond float64
	// Weight is the customer's share relative to others of the same tier; zero
	// means 1.
	Weight float64
	// RetryBudget is the fraction of successes that may be spent on retries;
	// zero means DefaultRetryFraction.
	RetryBudget float64
}

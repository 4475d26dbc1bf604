// Package limit enforces the limits of customers. It provides concurrency and
// token-rate limits, leased shares of one budget for several holders, fair queueing
// among the customers of a tier, and retry budgets. Functions that depend on the
// time take it as a parameter.
package limit

// Policy holds the configured limits of one customer. A zero limit means
// unlimited.
type Policy struct {
	Concurrency     int
	TokensPerSecond float64
	// Weight is the customer's share relative to others of the same tier; zero
	// means 1.
	Weight float64
	// RetryBudget is the number of retries allowed per successful request; zero
	// means DefaultRetryFraction.
	RetryBudget float64
}

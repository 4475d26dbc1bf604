package limit

// DefaultRetryFraction is the fraction of successes that may be spent on
// retries: at 10% a group that fails completely sees its load grow by 10% at
// most after the reserve is used up.
const DefaultRetryFraction = 0.1

const (
	// retryReserve lets a customer with little traffic retry at all.
	retryReserve = 3
	// retryCap bounds what a long good time saves up for a bad one.
	retryCap = 50
)

// Retry is a token bucket that successes fill. The zero value is full.
type Retry struct {
	spent float64 // below the reserve when positive
}

// Success adds fraction of a retry.
func (r *Retry) Success(fraction float64) {
	if fraction <= 0 {
		fraction = DefaultRetryFraction
	}
	r.spent = max(r.spent-fraction, retryReserve-retryCap)
}

// Allowed reports whether a retry may be made.
func (r *Retry) Allowed() bool { return r.spent+1 <= retryReserve }

// Take spends one retry.
func (r *Retry) Take() { r.spent++ }

package limit

// DefaultRetryFraction is the number of retries allowed per successful request.
// With 10%, the load on a group that fails completely grows by at most 10% once
// the reserve is used up.
const DefaultRetryFraction = 0.1

const (
	// retryReserve is the number of retries available before any success, so that
	// a customer with little traffic can retry at all.
	retryReserve = 3
	// retryCap is the maximum number of retries that a long period without
	// failures accumulates.
	retryCap = 50
)

// RetryBucket is a token bucket of retries that successful requests fill. The
// zero value holds retryReserve retries.
type RetryBucket struct {
	// netSpent is the number of retries spent minus the number earned. The retries
	// left are retryReserve - netSpent.
	netSpent float64
}

// SpentRetryBucket returns a bucket without its reserve. The successor of a holder whose
// bucket is not known begins with it: with the reserve, each takeover would allow as many
// retries again.
func SpentRetryBucket() RetryBucket { return RetryBucket{netSpent: retryReserve} }

// Success earns fraction of a retry; zero means DefaultRetryFraction.
func (r *RetryBucket) Success(fraction float64) {
	if fraction <= 0 {
		fraction = DefaultRetryFraction
	}
	r.netSpent = max(r.netSpent-fraction, retryReserve-retryCap)
}

// Allowed reports whether a retry may be made.
func (r *RetryBucket) Allowed() bool { return r.netSpent+1 <= retryReserve }

// Take spends one retry.
func (r *RetryBucket) Take() { r.netSpent++ }

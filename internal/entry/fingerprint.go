package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
)

// fingerprintBytes is the length of a request's fingerprint.
const fingerprintBytes = 16

// requestFingerprint returns an id that a request shares with its repeats only: requests of
// the same customer with the same method, URI and body. The idempotency key and the deadline
// may differ.
func requestFingerprint(customer string, r *http.Request, body []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%s\x00%s", customer, bodyHash(r, body))
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

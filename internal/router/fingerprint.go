package router

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"auburnstep.example/auburnstep/internal/quarantine"
)

// fingerprintBytes is the length of a fingerprint.
const fingerprintBytes = 16

// fingerprint returns an id that a request shares with its repeats: requests of the same
// customer for the same target with the same body and prompt. Their own ids and remaining
// times differ.
func (q *request) fingerprint() string {
	if q.cachedFingerprint == "" {
		h := sha256.New()
		hashString(h, q.method)
		hashString(h, q.route.Host)
		hashString(h, q.target)
		customer := ""
		if q.customer != nil {
			customer = q.customer.Name
		}
		hashString(h, customer)
		for _, p := range q.demand.Prompt.Parts {
			hashString(h, p.ID)
		}
		h.Write(q.body.Bytes)
		q.cachedFingerprint = quarantine.RequestPrefix + hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
	}
	return q.cachedFingerprint
}

// hashString adds a string with its length, so that strings cannot run together.
func hashString(h hash.Hash, s string) {
	var length [8]byte
	h.Write(binary.BigEndian.AppendUint64(length[:0], uint64(len(s))))
	_, _ = io.WriteString(h, s) // Hashes return no errors.
}

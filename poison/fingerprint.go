package poison

import (
	"encoding/hex"

	"github.com/rillreach/rillreach/internal/hash"
)

// FingerprintSize is the length of a fingerprint in bytes. Finding two requests with the same 128 bits is infeasible.
const FingerprintSize = 16

// Fingerprint is a hash that identifies equal requests. It reveals nothing about the contents of a request.
type Fingerprint [FingerprintSize]byte

// String returns the first bytes of the fingerprint in hexadecimal, as an identifier for logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:loggedBytes]) }

// loggedBytes is the number of bytes of a fingerprint that are logged. Two requests share them with a probability of 1
// in 4 billion.
const loggedBytes = 4

// Request contains the properties that make two requests equal.
type Request struct {
	// Caller identifies the client account, or the caller by other means if it has no account.
	Caller string
	Method string
	Host   string
	// Target is the unmodified path and query.
	Target string
	Body   []byte
}

// Fingerprint returns the fingerprint of the request. It needs no secret key: the hash is collision-resistant, and it
// includes the caller, so that nobody can forge a request that counts against another caller.
func (r *Request) Fingerprint() Fingerprint {
	sum := hash.Digest([]byte(r.Caller), []byte(r.Method), []byte(r.Host), []byte(r.Target), r.Body)
	return Fingerprint(sum[:FingerprintSize])
}

package poison

import (
	"encoding/hex"

	"github.com/rillreach/rillreach/internal/hash"
)

// FingerprintSize is how many bytes of a request's hash are kept: nobody finds two requests that share 128 bits of it.
const FingerprintSize = 16

// Fingerprint stands for all requests that are the same to a runner; nothing of a request can be read from it.
type Fingerprint [FingerprintSize]byte

// String is the beginning of the fingerprint, which tells requests apart in a log.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:shown]) }

// shown is how many bytes of a fingerprint go to a log: one in 4 billion requests shares them with another.
const shown = 4

// Request is what makes two requests the same.
type Request struct {
	// Caller is the client account, or what else tells the caller apart where it has none.
	Caller string
	Method string
	Host   string
	// Target is the path with its query, as the caller wrote it.
	Target string
	Body   []byte
}

// Fingerprint is the request's. It needs no secret: the hash resists collisions without one, and the caller is part of what is hashed, so that
// nobody can make a request that counts as another caller's.
func (r *Request) Fingerprint() Fingerprint {
	sum := hash.Digest([]byte(r.Caller), []byte(r.Method), []byte(r.Host), []byte(r.Target), r.Body)
	return Fingerprint(sum[:FingerprintSize])
}

package once

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/hash"
)

const (
	uuidVersion = 7
	// timestampBytes is the length of the timestamp, in milliseconds, at the start of such a UUID.
	timestampBytes = 6
)

// ParseKey returns the timestamp in an idempotency key, which must be a UUID of version 7 (RFC 9562).
func ParseKey(key string) (time.Time, error) {
	id, err := uuid.Parse(key)
	if err != nil {
		return time.Time{}, errors.Wrapf(err, "read key as UUID")
	}
	if id.Version() != uuidVersion {
		return time.Time{}, errors.Newf("key is a UUID of version %d, not %d", id.Version(), uuidVersion)
	}
	var milliseconds int64
	for _, b := range id[:timestampBytes] {
		milliseconds = milliseconds<<8 | int64(b)
	}
	return time.UnixMilli(milliseconds).UTC(), nil
}

// KeyHash returns the hash by which Epoch assigns an account's idempotency key to an owner.
func KeyHash(account rillreach.AccountID, key string) uint64 {
	return hash.Mix(hash.String(string(account)), hash.String(key))
}

package once

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/hash"
)

const (
	keyVersion     = 7
	millisecondLen = 6
)

// ParseKey reads the time from a caller's key, which must be a UUID of version 7 (RFC 9562).
func ParseKey(key string) (time.Time, error) {
	id, err := uuid.Parse(key)
	if err != nil {
		return time.Time{}, errors.Wrapf(err, "read key as UUID")
	}
	if id.Version() != keyVersion {
		return time.Time{}, errors.Newf("key is a UUID of version %d, not %d", id.Version(), keyVersion)
	}
	var milliseconds int64
	for _, b := range id[:millisecondLen] {
		milliseconds = milliseconds<<8 | int64(b)
	}
	return time.UnixMilli(milliseconds).UTC(), nil
}

// KeyHash is the placement hash of a caller's key within its account.
func KeyHash(account rillreach.AccountID, key string) uint64 {
	return hash.Mix(hash.String(string(account)), hash.String(key))
}

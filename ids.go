package rillreach

import (
	"strings"

	"github.com/cockroachdb/errors"
)

type (
	// AccountID identifies a client account.
	AccountID string
	// ModelID identifies a model, without its version.
	ModelID string
	// VersionID identifies a version of a model's weights.
	VersionID string
	// ServiceID identifies a plain service, that is, one that is not a model engine.
	ServiceID string
	// InstanceID identifies an instance. It stays the same across restarts.
	InstanceID string
	// Incarnation identifies one run of an instance's process. Every restart creates a new one.
	Incarnation string
	// ZoneID identifies an availability zone.
	ZoneID string
	// RegionID identifies a region, which contains availability zones.
	RegionID string
	// RequestID identifies a caller's request across all attempts.
	RequestID string
)

const maxNameLength = 128 // bytes

// checkName returns an error if the value cannot be used in an object name and a URL path without escaping.
func checkName(field, value string) error {
	if value == "" {
		return errors.Newf("%s is empty", field)
	}
	if len(value) > maxNameLength {
		return errors.Newf("%s is longer than %d bytes", field, maxNameLength)
	}
	if strings.IndexFunc(value, isInvalidNameRune) >= 0 {
		return errors.Newf("%s %q may only contain letters, digits, '.', '_' and '-'", field, value)
	}
	return nil
}

func isInvalidNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	default:
		return r != '.' && r != '_' && r != '-'
	}
}

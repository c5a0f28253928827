package rillreach

import (
	"strings"

	"github.com/cockroachdb/errors"
)

type (
	// AccountID names a client account.
	AccountID string
	// ModelID names a model, without its version.
	ModelID string
	// VersionID names one weight version of a model.
	VersionID string
	// ServiceID names a plain service that is routed to beside the models.
	ServiceID string
	// InstanceID names an instance for as long as its place in the fleet exists.
	InstanceID string
	// Incarnation names one run of an instance's process; a restart takes a new one.
	Incarnation string
	// ZoneID names an availability zone.
	ZoneID string
	// RegionID names a region, which holds availability zones.
	RegionID string
	// RequestID names one request of a caller across all its attempts.
	RequestID string
)

const maxNameLength = 128

// checkName reports whether value can stand in an object name and a URL path as it is.
func checkName(field, value string) error {
	if value == "" {
		return errors.Newf("%s is empty", field)
	}
	if len(value) > maxNameLength {
		return errors.Newf("%s is longer than %d bytes", field, maxNameLength)
	}
	if strings.IndexFunc(value, notInName) >= 0 {
		return errors.Newf("%s %q may hold only letters, digits, '.', '_' and '-'", field, value)
	}
	return nil
}

func notInName(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	default:
		return r != '.' && r != '_' && r != '-'
	}
}

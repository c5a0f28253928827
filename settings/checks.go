package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
)

// Validator collects the problems of all settings, so that they are reported together.
type Validator struct {
	problems []string
}

// Addf adds a problem with one setting.
func (v *Validator) Addf(setting, format string, args ...any) {
	v.problems = append(v.problems, "--"+setting+": "+fmt.Sprintf(format, args...))
}

// Err returns an error that lists all problems, or nil if there are none.
func (v *Validator) Err() error {
	if len(v.problems) == 0 {
		return nil
	}
	return errors.Newf("%d invalid settings:\n  %s", len(v.problems), strings.Join(v.problems, "\n  "))
}

// ParseAddrPort parses an IP address with a port. If the value is invalid, it adds a problem and returns the zero
// AddrPort.
func (v *Validator) ParseAddrPort(setting, value string) netip.AddrPort {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		v.Addf(setting, "%q is not an IP address with a port", value)
	}
	return address
}

// ParseURL checks an HTTP or HTTPS URL and removes a trailing slash. If the value is invalid, it adds a problem and
// returns an empty string.
func (v *Validator) ParseURL(setting, value string) string {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		v.Addf(setting, "%q is not a URL such as http://127.0.0.1:8000", value)
		return ""
	}
	return strings.TrimSuffix(value, "/")
}

// Required adds a problem if the value is empty.
func (v *Validator) Required(setting, value string) {
	if value == "" {
		v.Addf(setting, "is not set")
	}
}

// OneOf adds a problem if the value is none of the allowed ones.
func (v *Validator) OneOf(setting, value string, allowed ...string) {
	for _, candidate := range allowed {
		if value == candidate {
			return
		}
	}
	v.Addf(setting, "%q is not one of %s", value, strings.Join(allowed, ", "))
}

// AtLeast adds a problem if the value is less than the minimum.
func (v *Validator) AtLeast(setting string, value, minimum int64) {
	if value < minimum {
		v.Addf(setting, "%d is less than the minimum of %d", value, minimum)
	}
}

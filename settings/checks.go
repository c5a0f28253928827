package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
)

// Validator collects what is wrong with the settings, so that all of it can be said at once.
type Validator struct {
	list []string
}

// Addf adds a fault of one setting.
func (f *Validator) Addf(setting, format string, args ...any) {
	f.list = append(f.list, "--"+setting+": "+fmt.Sprintf(format, args...))
}

// Err returns all faults as one error, or nil.
func (f *Validator) Err() error {
	if len(f.list) == 0 {
		return nil
	}
	return errors.Newf("settings have %d faults:\n  %s", len(f.list), strings.Join(f.list, "\n  "))
}

// ParseAddrPort reads an address with a port.
func (f *Validator) ParseAddrPort(setting, text string) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		f.Addf(setting, "%q is not an IP address with a port", text)
	}
	return address
}

// ParseURL reads an HTTP address.
func (f *Validator) ParseURL(setting, text string) string {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		f.Addf(setting, "%q is not an address such as http://127.0.0.1:8000", text)
		return ""
	}
	return strings.TrimSuffix(text, "/")
}

// Required refuses an empty setting.
func (f *Validator) Required(setting, text string) {
	if text == "" {
		f.Addf(setting, "is not set")
	}
}

// OneOf refuses a value that is not on the list.
func (f *Validator) OneOf(setting, text string, values ...string) {
	for _, value := range values {
		if text == value {
			return
		}
	}
	f.Addf(setting, "%q is not one of %s", text, strings.Join(values, ", "))
}

// AtLeast refuses a number that is too small.
func (f *Validator) AtLeast(setting string, value, least int64) {
	if value < least {
		f.Addf(setting, "%d is less than %d", value, least)
	}
}

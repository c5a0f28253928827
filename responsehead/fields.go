package responsehead

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// checkFields checks the lines after the status line, up to the empty one.
func checkFields(lines []byte) error {
	for {
		var line []byte
		if line, lines = nextLine(lines); len(line) == 0 {
			return nil
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found {
			return errors.Wrapf(ErrInvalid, "line %.20q without a colon", line)
		}
		if err := checkField(string(name), string(value)); err != nil {
			return err
		}
	}
}

// CheckHeader returns nil if the fields of a header or trailer that has been parsed are valid, and ErrInvalid otherwise.
func CheckHeader(h http.Header) error {
	for name, values := range h {
		for _, value := range values {
			if err := checkField(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkField checks a field. A line that begins with a blank, which continues the one before it, is none: senders must not
// write such lines, and they hide a field from one reader that another one finds.
func checkField(name, value string) error {
	switch {
	case name == "" || strings.ContainsFunc(name, isNoTokenChar):
		return errors.Wrapf(ErrInvalid, "field name %.20q", name)
	case strings.ContainsFunc(value, isControl):
		return errors.Wrapf(ErrInvalid, "control character in the field %.20q", name)
	}
	return nil
}

// isNoTokenChar reports whether a character may not occur in the name of a field.
func isNoTokenChar(c rune) bool {
	switch {
	case '0' <= c && c <= '9', 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z':
		return false
	default:
		return !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
	}
}

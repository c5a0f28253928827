package responsehead

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// protocolMajor is the version of the protocol that is spoken on all connections.
	protocolMajor = 1
	// statusDigits is the number of digits of a status.
	statusDigits = 3
	// minStatus and maxStatus are the least and the greatest status that the protocol defines a class for.
	minStatus = 100
	maxStatus = 599
)

// checkStatusLine checks the first line of a head, such as HTTP/1.1 200 OK.
func checkStatusLine(line []byte) error {
	version, status, _ := strings.Cut(string(line), " ")
	major, _, ok := http.ParseHTTPVersion(version)
	if !ok {
		return errors.Wrapf(ErrInvalid, "version %.10q", version)
	}
	if err := checkVersion(major); err != nil {
		return err
	}
	return checkStatus(status)
}

func checkVersion(major int) error {
	if major != protocolMajor {
		return errors.Wrapf(ErrInvalid, "major version %d", major)
	}
	return nil
}

// checkStatus checks a status and its reason phrase. No request asks to switch protocols.
func checkStatus(text string) error {
	digits, reason, _ := strings.Cut(text, " ")
	status, err := strconv.ParseUint(digits, 10, 16)
	switch {
	case err != nil || len(digits) != statusDigits || status < minStatus || status > maxStatus:
		return errors.Wrapf(ErrInvalid, "status %.10q", digits)
	case status == http.StatusSwitchingProtocols:
		return errors.Wrap(ErrInvalid, "switch of protocols that was not requested")
	case strings.ContainsFunc(reason, isControl):
		return errors.Wrap(ErrInvalid, "control character in a reason phrase")
	}
	return nil
}

// isControl reports whether a character may not occur in a value or a reason phrase.
func isControl(c rune) bool {
	const del = 0x7f
	return c < ' ' && c != '\t' || c == del
}

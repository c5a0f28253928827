package responsehead

import (
	"bytes"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrInvalid means that bytes are not the head of an HTTP response. Nothing that they seem to say may be believed.
var ErrInvalid = errors.New("bytes are not the head of an HTTP response")

// Check returns nil if the bytes, which end with an empty line, are a valid head, and ErrInvalid otherwise. The request must
// not have asked to switch protocols.
func Check(head []byte) error {
	line, fields := nextLine(head)
	if err := checkStatusLine(line); err != nil {
		return err
	}
	return checkFields(fields)
}

// CheckParsed is like Check for a head that has already been parsed, in which lines that continue others are not seen.
func CheckParsed(resp *http.Response, switchesProtocols bool) error {
	if err := checkVersion(resp.ProtoMajor); err != nil {
		return err
	}
	if !switchesProtocols || resp.StatusCode != http.StatusSwitchingProtocols {
		if err := checkStatus(resp.Status); err != nil {
			return err
		}
	}
	return CheckHeader(resp.Header)
}

// nextLine returns the first line without its end, and the lines after it.
func nextLine(head []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(head, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

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
	line, _ := nextLine(head)
	return checkStatusLine(line)
}

// CheckParsed is like Check for a head that has already been parsed.
func CheckParsed(resp *http.Response, switchesProtocols bool) error {
	if err := checkVersion(resp.ProtoMajor); err != nil {
		return err
	}
	if switchesProtocols && resp.StatusCode == http.StatusSwitchingProtocols {
		return nil
	}
	return checkStatus(resp.Status)
}

// nextLine returns the first line without its end, and the lines after it.
func nextLine(head []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(head, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

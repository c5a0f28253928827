package peer

import (
	"crypto/x509"
	"encoding/base64"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
)

// CertificateRole returns the role in the organizational unit of a fleet certificate, or an empty one if the
// certificate does not have exactly one unit.
func CertificateRole(certificate *x509.Certificate) rillreach.Role {
	if len(certificate.Subject.OrganizationalUnit) != 1 {
		return ""
	}
	return rillreach.Role(certificate.Subject.OrganizationalUnit[0])
}

func encodeHello(self rillreach.Instance) (string, error) {
	data, err := Encode(self)
	if err != nil {
		return "", err
	}
	return base64.RawURLEncoding.EncodeToString(data), nil
}

func decodeHello(text string) (rillreach.Instance, error) {
	if len(text) > maxHelloSize {
		return rillreach.Instance{}, errors.New("peer said too much of itself")
	}
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return rillreach.Instance{}, errors.Wrap(err, "decode what peer says of itself")
	}
	return Decode[rillreach.Instance](data)
}

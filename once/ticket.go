package once

import (
	"crypto/subtle"
	"encoding/base64"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/hash"
)

// maxTicketBytes is the maximum length of an encoded ticket.
const maxTicketBytes = 2048

// Ticket identifies a request and the only incarnation of an agent that may run it.
type Ticket struct {
	ID      string              `cbor:"1,keyasint"`
	Account rillreach.AccountID `cbor:"2,keyasint"`
	Service rillreach.ServiceID `cbor:"3,keyasint"`
	Owner   Owner               `cbor:"4,keyasint"`
	Expires time.Time           `cbor:"5,keyasint"`
}

// Check reports whether the ticket is incomplete.
func (t Ticket) Check() error {
	if t.ID == "" || t.Account == "" || t.Service == "" || t.Owner.Incarnation == "" || t.Expires.IsZero() {
		return errors.New("ticket is incomplete")
	}
	return nil
}

// Signer signs and verifies tickets with a secret that the whole fleet shares.
type Signer struct {
	key hash.Key
}

// NewSigner returns a signer that uses the fleet's secret.
func NewSigner(secret []byte) Signer {
	return Signer{key: hash.Derive("tickets", secret)}
}

// Sign returns the signed and encoded ticket.
func (s Signer) Sign(t Ticket) (string, error) {
	body, err := cbor.Marshal(t)
	if err != nil {
		return "", errors.Wrap(err, "encode ticket")
	}
	sum := hash.Keyed(s.key, body)
	return base64.RawURLEncoding.EncodeToString(append(sum[:], body...)), nil
}

// Verify decodes a ticket and returns an error if this fleet has not signed it.
func (s Signer) Verify(text string) (Ticket, error) {
	if len(text) > maxTicketBytes {
		return Ticket{}, errors.New("ticket is too long")
	}
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return Ticket{}, errors.Wrap(err, "decode ticket")
	}
	if len(data) <= hash.Size {
		return Ticket{}, errors.New("ticket is too short")
	}
	sum, body := data[:hash.Size], data[hash.Size:]
	want := hash.Keyed(s.key, body)
	if subtle.ConstantTimeCompare(sum, want[:]) != 1 {
		return Ticket{}, errors.New("ticket is not signed by this fleet")
	}
	var t Ticket
	if err := cbor.Unmarshal(body, &t); err != nil {
		return Ticket{}, errors.Wrap(err, "decode ticket")
	}
	return t, errors.Wrap(t.Check(), "check ticket")
}

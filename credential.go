package rillreach

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	keyPrefix     = "rr-"
	keySeparator  = "~"
	secretLength  = 24
	saltLength    = 16
	hashLength    = sha256.Size
	maxKeyLength  = 512
	missingSecret = "no such account"
)

// Credential is the salted hash of one secret of a client account.
type Credential struct {
	Salt []byte `json:"salt" yaml:"salt"`
	Hash []byte `json:"hash" yaml:"hash"`
}

// Check reports a salt or a hash of the wrong length.
func (c Credential) Check() error {
	if len(c.Salt) != saltLength || len(c.Hash) != hashLength {
		return errors.Newf("credential: salt has %d of %d bytes, hash %d of %d", len(c.Salt), saltLength, len(c.Hash), hashLength)
	}
	return nil
}

// Matches compares the secret with the credential in constant time.
func (c Credential) Matches(secret string) bool {
	return subtle.ConstantTimeCompare(hashSecret(c.Salt, secret), c.Hash) == 1
}

// NewAPIKey makes a key for an account and the credential that recognises it; the key is shown once and kept nowhere.
func NewAPIKey(account AccountID) (string, Credential, error) {
	if err := checkName("account", string(account)); err != nil {
		return "", Credential{}, err
	}
	random := make([]byte, secretLength+saltLength)
	if _, err := rand.Read(random); err != nil {
		return "", Credential{}, errors.Wrap(err, "read random bytes")
	}
	secret := base64.RawURLEncoding.EncodeToString(random[:secretLength])
	salt := random[secretLength:]
	key := keyPrefix + string(account) + keySeparator + secret
	return key, Credential{Salt: salt, Hash: hashSecret(salt, secret)}, nil
}

// ParseAPIKey takes a key apart into the account it claims and the secret that has to prove it.
func ParseAPIKey(key string) (AccountID, string, bool) {
	if len(key) > maxKeyLength {
		return "", "", false
	}
	rest, ok := strings.CutPrefix(key, keyPrefix)
	if !ok {
		return "", "", false
	}
	account, secret, ok := strings.Cut(rest, keySeparator)
	return AccountID(account), secret, ok && account != "" && secret != ""
}

// MatchAny compares the secret with every credential, and with one that never matches when there are none, so that an
// unknown account takes no less time than a wrong secret.
func MatchAny(credentials []Credential, secret string) bool {
	if len(credentials) == 0 {
		none := Credential{Salt: make([]byte, saltLength), Hash: hashSecret(nil, missingSecret)}
		none.Matches(secret)
		return false
	}
	matched := false
	for _, c := range credentials {
		if c.Matches(secret) {
			matched = true
		}
	}
	return matched
}

func hashSecret(salt []byte, secret string) []byte {
	sum := sha256.New()
	sum.Write(salt)
	sum.Write([]byte(secret))
	return sum.Sum(nil)
}

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
	apiKeyPrefix    = "rr-"
	apiKeySeparator = "~"

	// Lengths are in bytes.
	secretLength    = 24
	saltLength      = 16
	hashLength      = sha256.Size
	maxAPIKeyLength = 512

	dummySecret = "no such account"
)

// Credential is the salted SHA-256 hash of an API key's secret.
type Credential struct {
	Salt []byte `json:"salt" yaml:"salt"`
	Hash []byte `json:"hash" yaml:"hash"`
}

// Check returns an error if the salt or the hash has the wrong length.
func (c Credential) Check() error {
	if len(c.Salt) != saltLength || len(c.Hash) != hashLength {
		return errors.Newf("credential: salt has %d bytes instead of %d, hash has %d instead of %d", len(c.Salt), saltLength, len(c.Hash), hashLength)
	}
	return nil
}

// Matches reports whether the credential is that of the secret. The comparison takes constant time.
func (c Credential) Matches(secret string) bool {
	return subtle.ConstantTimeCompare(hashSecret(c.Salt, secret), c.Hash) == 1
}

// NewAPIKey generates an API key for an account and the credential that verifies it. Only the credential is stored,
// so the key cannot be shown again.
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
	key := apiKeyPrefix + string(account) + apiKeySeparator + secret
	return key, Credential{Salt: salt, Hash: hashSecret(salt, secret)}, nil
}

// ParseAPIKey splits an API key into the account that it claims to belong to and its secret. It does not verify the
// secret.
func ParseAPIKey(key string) (AccountID, string, bool) {
	if len(key) > maxAPIKeyLength {
		return "", "", false
	}
	rest, ok := strings.CutPrefix(key, apiKeyPrefix)
	if !ok {
		return "", "", false
	}
	account, secret, ok := strings.Cut(rest, apiKeySeparator)
	return AccountID(account), secret, ok && account != "" && secret != ""
}

// MatchAny reports whether any credential matches the secret. If there are no credentials, it hashes the secret
// anyway, so that response times do not reveal whether an account exists.
func MatchAny(credentials []Credential, secret string) bool {
	if len(credentials) == 0 {
		dummy := Credential{Salt: make([]byte, saltLength), Hash: hashSecret(nil, dummySecret)}
		dummy.Matches(secret)
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

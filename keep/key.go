package keep

import (
	"encoding/hex"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/hash"
)

// Scope is the account, model and version that a block key is bound to. Blocks of different scopes never share a key.
type Scope struct {
	Account rillreach.AccountID
	Model   rillreach.ModelID
	Version rillreach.VersionID
}

// KeyDeriver derives block keys and cache salts from the fleet's secret.
type KeyDeriver struct {
	blockKey hash.Key
	saltKey  hash.Key
}

// NewKeyDeriver returns a deriver for the fleet's secret.
func NewKeyDeriver(secret []byte) KeyDeriver {
	return KeyDeriver{blockKey: hash.Derive("blocks", secret), saltKey: hash.Derive("salts", secret)}
}

// BlockKeys returns a key for every prefix of a prompt that ends at a part boundary. Each key is a hash of the
// previous key and the part; the first one starts from the scope.
func (d KeyDeriver) BlockKeys(scope Scope, parts [][]byte) []rillreach.BlockKey {
	keys := make([]rillreach.BlockKey, len(parts))
	parent := d.root(scope)
	for i, part := range parts {
		parent = hash.Keyed(d.blockKey, parent[:], part)
		keys[i] = parent
	}
	return keys
}

// CacheSalt returns the cache salt that isolates a scope's state in an engine. A salt supplied by the caller divides
// the scope further.
func (d KeyDeriver) CacheSalt(scope Scope, callers string) string {
	sum := hash.Keyed(d.saltKey, []byte(scope.Account), []byte(scope.Model), []byte(scope.Version), []byte(callers))
	return hex.EncodeToString(sum[:16])
}

func (d KeyDeriver) root(scope Scope) rillreach.BlockKey {
	return hash.Keyed(d.blockKey, []byte(scope.Account), []byte(scope.Model), []byte(scope.Version))
}

package keep

import (
	"encoding/hex"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/hash"
)

// Scope is what a block's name is bound to; blocks of different scopes never have the same name.
type Scope struct {
	Account rillreach.AccountID
	Model   rillreach.ModelID
	Version rillreach.VersionID
}

// KeyDeriver makes the names of blocks with a secret of the whole fleet.
type KeyDeriver struct {
	blocks hash.Key
	salts  hash.Key
}

// NewKeyDeriver makes a namer from the fleet's secret.
func NewKeyDeriver(secret []byte) KeyDeriver {
	return KeyDeriver{blocks: hash.Derive("blocks", secret), salts: hash.Derive("salts", secret)}
}

// BlockKeys names every prefix of a prompt that ends with one of its parts: each name covers the scope, the name before
// it and the part itself.
func (n KeyDeriver) BlockKeys(scope Scope, parts [][]byte) []rillreach.BlockKey {
	keys := make([]rillreach.BlockKey, len(parts))
	parent := n.root(scope)
	for i, part := range parts {
		parent = hash.Keyed(n.blocks, parent[:], part)
		keys[i] = parent
	}
	return keys
}

// CacheSalt is the cache salt that keeps the scope's state apart in an engine; a caller's own salt divides its scope further.
func (n KeyDeriver) CacheSalt(scope Scope, callers string) string {
	sum := hash.Keyed(n.salts, []byte(scope.Account), []byte(scope.Model), []byte(scope.Version), []byte(callers))
	return hex.EncodeToString(sum[:16])
}

func (n KeyDeriver) root(scope Scope) rillreach.BlockKey {
	return hash.Keyed(n.blocks, []byte(scope.Account), []byte(scope.Model), []byte(scope.Version))
}

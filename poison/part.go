package poison

import (
	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/hash"
)

// Part identifies a part of prompts that several requests may share. Whose requests they are does not matter to a runner
// that the part crashes.
type Part struct {
	Model rillreach.ModelID
	ID    string
}

// Fingerprint returns the fingerprint of the part.
func (p *Part) Fingerprint() Fingerprint {
	sum := hash.Digest([]byte("part"), []byte(p.Model), []byte(p.ID))
	return Fingerprint(sum[:FingerprintSize])
}

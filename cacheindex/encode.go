package cacheindex

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Changes is a list of changes at one holder. It is encoded grouped by salt: there are few salts, so each is sent once.
type Changes []Change

// saltGroup holds the changes to parts under one salt.
type saltGroup struct {
	_     struct{} `cbor:",toarray"`
	Salt  string
	Parts []partTokens
}

// partTokens is a part and the number of its tokens that are held.
type partTokens struct {
	_      struct{} `cbor:",toarray"`
	Part   string
	Tokens int
}

// MarshalCBOR encodes the changes. Their order is preserved within each salt, not between salts.
func (c Changes) MarshalCBOR() ([]byte, error) {
	var groups []saltGroup
	groupOf := map[string]int{}
	for _, change := range c {
		i, ok := groupOf[change.Key.Salt]
		if !ok {
			i = len(groups)
			groupOf[change.Key.Salt] = i
			groups = append(groups, saltGroup{Salt: change.Key.Salt})
		}
		groups[i].Parts = append(groups[i].Parts, partTokens{Part: change.Key.Part, Tokens: change.Tokens})
	}
	data, err := cbor.Marshal(groups)
	return data, errors.Wrap(err, "encode changes")
}

// UnmarshalCBOR decodes changes that MarshalCBOR encoded.
func (c *Changes) UnmarshalCBOR(data []byte) error {
	var groups []saltGroup
	if err := cbor.Unmarshal(data, &groups); err != nil {
		return errors.Wrap(err, "decode changes")
	}
	*c = nil
	for _, g := range groups {
		for _, p := range g.Parts {
			*c = append(*c, Change{Key: Key{Salt: g.Salt, Part: p.Part}, Tokens: p.Tokens})
		}
	}
	return nil
}

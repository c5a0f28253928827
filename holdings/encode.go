package holdings

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Changes are changes of one holder; on their way they stand by salts, of which there are few.
type Changes []Change

// underSalt are changes of parts under one salt.
type underSalt struct {
	_     struct{} `cbor:",toarray"`
	Salt  string
	Parts []partTokens
}

type partTokens struct {
	_      struct{} `cbor:",toarray"`
	Part   string
	Tokens int
}

// MarshalCBOR encodes the changes; their order is kept under each salt.
func (c Changes) MarshalCBOR() ([]byte, error) {
	var groups []underSalt
	at := map[string]int{}
	for _, change := range c {
		i, ok := at[change.Key.Salt]
		if !ok {
			i = len(groups)
			at[change.Key.Salt] = i
			groups = append(groups, underSalt{Salt: change.Key.Salt})
		}
		groups[i].Parts = append(groups[i].Parts, partTokens{Part: change.Key.Part, Tokens: change.Tokens})
	}
	data, err := cbor.Marshal(groups)
	return data, errors.Wrap(err, "encode changes")
}

// UnmarshalCBOR decodes the changes.
func (c *Changes) UnmarshalCBOR(data []byte) error {
	var groups []underSalt
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

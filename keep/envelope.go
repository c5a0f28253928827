package keep

import (
	"crypto/subtle"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/hash"
)

// Block is a part of a prompt's state: the KV cache that an engine computed for the tokens between two part boundaries.
type Block struct {
	// Key identifies the prefix that the block completes, Parent the prefix that it extends. The first block has no
	// parent.
	Key    rillreach.BlockKey `cbor:"1,keyasint"`
	Parent rillreach.BlockKey `cbor:"2,keyasint"`
	// Generation identifies one write of the block; its stripes share it.
	Generation string `cbor:"3,keyasint"`
	// From and To delimit the tokens that the block covers; To is exclusive.
	From int `cbor:"4,keyasint"`
	To   int `cbor:"5,keyasint"`
	// Payload is the engine's data, or in a stripe a part of it.
	Payload []byte `cbor:"6,keyasint"`
	// Stripe is the index of this stripe, Stripes their number. An undivided block is stripe 0 of 1.
	Stripe  int `cbor:"7,keyasint"`
	Stripes int `cbor:"8,keyasint"`
}

// Split divides a block into stripes, which are kept in different stores and read in parallel.
func (b Block) Split(count int) []Block {
	stripes := make([]Block, count)
	size := (len(b.Payload) + count - 1) / count
	for i := range stripes {
		stripes[i] = b
		stripes[i].Stripe, stripes[i].Stripes = i, count
		stripes[i].Payload = b.Payload[min(i*size, len(b.Payload)):min((i+1)*size, len(b.Payload))]
	}
	return stripes
}

// Join reassembles a block from all stripes of one write, in order.
func Join(stripes []Block) (Block, error) {
	if len(stripes) == 0 {
		return Block{}, errors.Wrap(ErrInvalidBlock, "no stripes")
	}
	joined := stripes[0]
	joined.Payload = nil
	for i, s := range stripes {
		if s.Stripe != i || s.Stripes != len(stripes) || !s.sameHeader(joined) {
			return Block{}, errors.Wrap(ErrInvalidBlock, "stripes are missing, out of order or of different writes")
		}
		joined.Payload = append(joined.Payload, s.Payload...)
	}
	return joined, nil
}

// sameHeader reports whether two stripes belong to the same write of the same block.
func (b Block) sameHeader(other Block) bool {
	return b.Key == other.Key && b.Parent == other.Parent && b.Generation == other.Generation && b.From == other.From && b.To == other.To
}

// ErrInvalidBlock means that the data read is not the sealed block: it was truncated, overwritten, freed, or belongs to
// another block.
var ErrInvalidBlock = errors.New("invalid sealed block")

// Sealer adds a keyed checksum to blocks, so that readers can verify them. Only processes with the fleet's secret can
// seal a block.
type Sealer struct {
	key hash.Key
}

// NewSealer returns a sealer with a key derived from the fleet's secret.
func NewSealer(secret []byte) Sealer {
	return Sealer{key: hash.Derive("seals", secret)}
}

// Seal encodes a block with its checksum, in the form in which stores keep it.
func (s Sealer) Seal(b Block) ([]byte, error) {
	body, err := cbor.Marshal(b)
	if err != nil {
		return nil, errors.Wrap(err, "encode block")
	}
	sum := hash.Keyed(s.key, body)
	return append(sum[:], body...), nil
}

// Open decodes a sealed block and verifies its checksum and its key.
func (s Sealer) Open(data []byte, key rillreach.BlockKey) (Block, error) {
	if len(data) <= hash.Size {
		return Block{}, errors.Wrap(ErrInvalidBlock, "data is too short")
	}
	sum, body := data[:hash.Size], data[hash.Size:]
	want := hash.Keyed(s.key, body)
	if subtle.ConstantTimeCompare(sum, want[:]) != 1 {
		return Block{}, errors.Wrap(ErrInvalidBlock, "checksum mismatch")
	}
	var b Block
	if err := cbor.Unmarshal(body, &b); err != nil {
		return Block{}, errors.Wrap(ErrInvalidBlock, err.Error())
	}
	if b.Key != key {
		return Block{}, errors.Wrap(ErrInvalidBlock, "block has another key")
	}
	return b, nil
}

// Follows reports whether the block starts exactly where the previous one ends. The first block follows the zero Block.
func (b Block) Follows(previous Block) bool {
	return b.Parent == previous.Key && b.From == previous.To && b.To > b.From
}

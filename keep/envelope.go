package keep

import (
	"crypto/subtle"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/hash"
)

// Block is a part of the state of a prompt: what an engine computed for the tokens from one part's end to another's.
type Block struct {
	// Key names the prefix that the block ends, Parent the prefix that it goes on from; the first has none.
	Key    rillreach.BlockKey `cbor:"1,keyasint"`
	Parent rillreach.BlockKey `cbor:"2,keyasint"`
	// Generation names one writing of the block.
	Generation string `cbor:"3,keyasint"`
	// From and To are the tokens that the block covers.
	From int `cbor:"4,keyasint"`
	To   int `cbor:"5,keyasint"`
	// Payload is the engine's, or the part of it that a stripe holds.
	Payload []byte `cbor:"6,keyasint"`
	// Stripe and Stripes say which part of how many this is; a block that is in one piece is part 0 of 1.
	Stripe  int `cbor:"7,keyasint"`
	Stripes int `cbor:"8,keyasint"`
}

// Split divides a block into stripes, which are kept in as many stores and read at once.
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

// Join puts the stripes of one writing of a block together again.
func Join(stripes []Block) (Block, error) {
	if len(stripes) == 0 {
		return Block{}, errors.Wrap(ErrInvalidBlock, "no stripes")
	}
	whole := stripes[0]
	whole.Payload = nil
	for i, s := range stripes {
		if s.Stripe != i || s.Stripes != len(stripes) || !s.sameWriting(whole) {
			return Block{}, errors.Wrap(ErrInvalidBlock, "stripes are not of one writing")
		}
		whole.Payload = append(whole.Payload, s.Payload...)
	}
	return whole, nil
}

func (b Block) sameWriting(other Block) bool {
	return b.Key == other.Key && b.Parent == other.Parent && b.Generation == other.Generation && b.From == other.From && b.To == other.To
}

// ErrInvalidBlock says that what was read is not a block as it was sealed: cut short, overwritten, freed or another's.
var ErrInvalidBlock = errors.New("block is not as it was sealed")

// Sealer seals blocks so that a reader can tell a whole one; only processes with the fleet's secret can make one.
type Sealer struct {
	key hash.Key
}

// NewSealer makes a sealer from the fleet's secret.
func NewSealer(secret []byte) Sealer {
	return Sealer{key: hash.Derive("seals", secret)}
}

// Seal makes the bytes in which a block is kept.
func (s Sealer) Seal(b Block) ([]byte, error) {
	body, err := cbor.Marshal(b)
	if err != nil {
		return nil, errors.Wrap(err, "encode block")
	}
	sum := hash.Keyed(s.key, body)
	return append(sum[:], body...), nil
}

// Open reads a block back and checks that it is whole and the one that was asked for.
func (s Sealer) Open(data []byte, key rillreach.BlockKey) (Block, error) {
	if len(data) <= hash.Size {
		return Block{}, errors.Wrap(ErrInvalidBlock, "too short")
	}
	sum, body := data[:hash.Size], data[hash.Size:]
	want := hash.Keyed(s.key, body)
	if subtle.ConstantTimeCompare(sum, want[:]) != 1 {
		return Block{}, errors.Wrap(ErrInvalidBlock, "checksum differs")
	}
	var b Block
	if err := cbor.Unmarshal(body, &b); err != nil {
		return Block{}, errors.Wrap(ErrInvalidBlock, err.Error())
	}
	if b.Key != key {
		return Block{}, errors.Wrap(ErrInvalidBlock, "another block was read")
	}
	return b, nil
}

// Follows reports whether the block goes on just where the one before it ends; before the first there is the zero block.
func (b Block) Follows(before Block) bool {
	return b.Parent == before.Key && b.From == before.To && b.To > b.From
}

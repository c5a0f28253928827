package fleet

import (
	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/peer"
)

// PartKind is the first byte of each part of an answer.
type PartKind byte

// The kinds of parts, in the order in which they come: one acknowledgement, one head, any number of body parts.
const (
	PartAck  PartKind = 'a'
	PartHead PartKind = 'h'
	PartBody PartKind = 'b'
)

// EncodePart makes a part of an answer from a message.
func EncodePart[T any](kind PartKind, message T) ([]byte, error) {
	data, err := peer.Encode(message)
	if err != nil {
		return nil, err
	}
	return append([]byte{byte(kind)}, data...), nil
}

// BodyPart makes a part of an answer from bytes of its body.
func BodyPart(body []byte) []byte {
	part := make([]byte, 0, len(body)+1)
	part = append(part, byte(PartBody))
	return append(part, body...)
}

// SplitPart takes the kind off a part.
func SplitPart(part []byte) (PartKind, []byte, error) {
	if len(part) == 0 {
		return 0, nil, errors.New("part of an answer is empty")
	}
	return PartKind(part[0]), part[1:], nil
}

package fleet

import (
	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/peer"
)

// PartKind identifies the content of a part of a response. It is the part's first byte.
type PartKind byte

// The kinds of parts, in the order in which they are sent: one acknowledgement, one head, any number of body parts.
const (
	PartAck  PartKind = 'a'
	PartHead PartKind = 'h'
	PartBody PartKind = 'b'
)

// EncodePart encodes a message as a part of a response.
func EncodePart[T any](kind PartKind, message T) ([]byte, error) {
	data, err := peer.Encode(message)
	if err != nil {
		return nil, err
	}
	return append([]byte{byte(kind)}, data...), nil
}

// BodyPart returns a part of a response that holds a piece of its body.
func BodyPart(body []byte) []byte {
	part := make([]byte, 0, len(body)+1)
	part = append(part, byte(PartBody))
	return append(part, body...)
}

// SplitPart splits a part into its kind and its content.
func SplitPart(part []byte) (PartKind, []byte, error) {
	if len(part) == 0 {
		return 0, nil, errors.New("part of an answer is empty")
	}
	return PartKind(part[0]), part[1:], nil
}

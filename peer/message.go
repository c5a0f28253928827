package peer

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Each part of a message begins with a byte that says whether another part of the same message follows.
const (
	lastPart byte = iota
	partFollows
)

// maxMessageParts bounds the message that NextMessage returns, in parts of maxDataSize.
const maxMessageParts = 1 << 10

// SendMessage sends a message of any size, as one or more parts of the response.
func (s *ServerStream) SendMessage(ctx context.Context, message []byte) error {
	const maxPartBody = maxDataSize - 1
	for len(message) > maxPartBody {
		if err := s.sendMessagePart(ctx, partFollows, message[:maxPartBody]); err != nil {
			return err
		}
		message = message[maxPartBody:]
	}
	return s.sendMessagePart(ctx, lastPart, message)
}

func (s *ServerStream) sendMessagePart(ctx context.Context, marker byte, body []byte) error {
	part := make([]byte, 0, len(body)+1)
	part = append(part, marker)
	return s.sendPart(ctx, append(part, body...))
}

// NextMessage returns the next message that was sent by SendMessage. Its errors are those of Next.
func (s *ClientStream) NextMessage(ctx context.Context) ([]byte, error) {
	var message []byte
	for range maxMessageParts {
		part, err := s.Next(ctx)
		if err != nil {
			return nil, err
		}
		if len(part) == 0 {
			return nil, errors.New("part of a message has no marker")
		}
		if message = append(message, part[1:]...); part[0] == lastPart {
			return message, nil
		}
	}
	return nil, errors.Newf("message has more than %d parts", maxMessageParts)
}

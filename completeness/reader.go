package completeness

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ErrConnectionEnded means that the connection was closed at the end of a body that is not framed. The body may be
// complete or truncated.
var ErrConnectionEnded = errors.New("connection ended with a response that has neither a length nor chunks")

// EndOfConnection returns what the end of a connection means for a body that is not framed. The error is why the request was
// not wholly written, nil if it was. A process that ends the connection before that may have broken off.
func EndOfConnection(requestErr error) error {
	if requestErr != nil {
		return errors.CombineErrors(ErrRequestNotWritten, requestErr)
	}
	return ErrConnectionEnded
}

// Reader reads a body and returns io.EOF only at the end of a complete one. Exported fields are set before use.
type Reader struct {
	// From is the body as it was received. Its end, io.EOF or ErrConnectionEnded, need not mean that it is complete.
	From io.Reader
	// Body decides whether it is.
	Body Body
	// Process returns what is known of the process that has sent the body, once its end was read.
	Process func() Process
}

// Read reads from the body. At its end the data is returned first, so that it need not wait for the check.
func (r *Reader) Read(buf []byte) (int, error) {
	n, err := r.From.Read(buf)
	r.Body.Feed(buf[:n])
	switch {
	case !errors.IsAny(err, io.EOF, ErrConnectionEnded):
		return n, err
	case n > 0:
		return n, nil
	}
	if err := r.Body.Check(r.Process); err != nil {
		return 0, err
	}
	return 0, io.EOF
}

// Package bounded reads data from other processes, which may send more than this process has memory for.
package bounded

import (
	"io"

	"github.com/cockroachdb/errors"
)

// MaxResponseHead is the size of the largest head of an HTTP response that is accepted, in bytes.
const MaxResponseHead = 64 << 10

// ErrTooLarge means that there was more data than allowed. The rest was not read.
var ErrTooLarge = errors.New("data is too large")

// ReadAll reads all data, or returns ErrTooLarge if there are more than limit bytes.
func ReadAll(from io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(from, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, errors.Wrapf(ErrTooLarge, "read at most %d bytes", limit)
	}
	return data, err
}

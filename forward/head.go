package forward

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// maxHeadSize and maxHeadLines bound the head of a response, in bytes and in lines. What is parsed of many short lines
	// takes far more memory than the lines themselves.
	maxHeadSize  = 64 << 10
	maxHeadLines = 256
	// maxInterimResponses is the number of interim responses that are skipped before the final one.
	maxInterimResponses = 8
	// maxStraySize is how much of the body of a response to another request is read, in bytes, to reach the next response.
	maxStraySize = 256 << 10
)

// ErrResponseTooLarge means that part of a response exceeded its bound, so that the rest was not read.
var ErrResponseTooLarge = errors.New("response is too large")

// The parts of a response that are bounded.
var (
	errHeadTooLarge   = errors.Wrap(ErrResponseTooLarge, "read head")
	errManyInterim    = errors.Wrap(ErrResponseTooLarge, "skip interim responses")
	errStrayTooLarge  = errors.Wrap(ErrResponseTooLarge, "skip response to another request")
	errStrayResponses = errors.New("responses on the connection belong to other requests")
)

// headReader reads from a connection. It bounds what is read between begin and end.
type headReader struct {
	from io.Reader

	bounded   bool
	bytesLeft int
	linesLeft int
}

// begin starts to bound what is read, since a head comes next.
func (h *headReader) begin() {
	h.bounded, h.bytesLeft, h.linesLeft = true, maxHeadSize, maxHeadLines
}

// end stops it.
func (h *headReader) end() { h.bounded = false }

// Read reads data. Part of a body may be read together with the end of its head, so that the bounds are checked only if
// the head needs still more data.
func (h *headReader) Read(buf []byte) (int, error) {
	if !h.bounded {
		return h.from.Read(buf)
	}
	if h.bytesLeft <= 0 || h.linesLeft <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := h.from.Read(buf)
	h.bytesLeft -= n
	h.linesLeft -= bytes.Count(buf[:n], []byte{'\n'})
	return n, err
}

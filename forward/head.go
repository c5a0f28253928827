package forward

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/responsehead"
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

// replayReader returns the bytes of replay first, and then reads from a connection.
type replayReader struct {
	replay []byte
	from   io.Reader
}

// Read reads data.
func (r *replayReader) Read(buf []byte) (int, error) {
	if len(r.replay) == 0 {
		return r.from.Read(buf)
	}
	n := copy(buf, r.replay)
	r.replay = r.replay[n:]
	return n, nil
}

// readRawHead reads up to the end of the empty line that ends a head.
func (c *conn) readRawHead() ([]byte, error) {
	var head []byte
	for lines, lineStart := 0, 0; ; {
		part, err := c.reader.ReadSlice('\n')
		head = append(head, part...)
		switch {
		case len(head) > maxHeadSize:
			return nil, errHeadTooLarge
		case errors.Is(err, bufio.ErrBufferFull): // more of the line follows
			continue
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if len(bytes.TrimRight(head[lineStart:], "\r\n")) == 0 {
			return head, nil
		}
		lineStart = len(head)
		if lines++; lines > maxHeadLines {
			return nil, errHeadTooLarge
		}
	}
}

// unread makes the reader return a head again that has just been read.
func (c *conn) unread(head []byte) {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // reads nothing
	c.source.replay = slices.Concat(head, buffered, c.source.replay)
	c.reader.Reset(c.source)
}

// hasSurplus reports whether data of the connection has been read that belongs to no response so far.
func (c *conn) hasSurplus() bool { return c.reader.Buffered() > 0 || len(c.source.replay) > 0 }

// readHead reads the head of the next response that is not an interim one. It returns an error marked
// responsehead.ErrInvalid if the bytes are no head.
func (c *conn) readHead(method string) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		head, err := c.readRawHead()
		if err != nil {
			return nil, err
		}
		if err := responsehead.Check(head); err != nil {
			return nil, err
		}
		c.unread(head)
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
	return nil, errManyInterim
}

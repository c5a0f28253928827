package gateway

import (
	"sync/atomic"
	"time"

	"github.com/rillreach/rillreach/completeness"
	"github.com/rillreach/rillreach/forward"
	"github.com/rillreach/rillreach/internal/operation"
)

// answerReader reads the answer of a runner. Its user can stop waiting without ending the read, whose result the next one
// returns.
type answerReader struct {
	// onData is called when the runner has sent data, possibly in another goroutine.
	onData func()
	// checkProcess returns what is known of the runner's process after it has closed the connection.
	checkProcess func() completeness.Process

	// response returns io.EOF only if the response is complete.
	response completeness.Reader
	reading  operation.Operation[readResult]
	buffer   []byte
	// unread is the part of the last read that was not returned yet.
	unread readResult
	// hasData is set while there is data of a read whose result was not collected.
	hasData atomic.Bool
}

// readResult is the result of one read from a runner, and when it returned. data is valid until the next read.
type readResult struct {
	data []byte
	err  error
	at   time.Time
}

// start makes the reader read a response.
func (r *answerReader) start(response *forward.Response, body completeness.Body) {
	r.response = completeness.Reader{From: response, Body: body, Process: r.checkProcess}
}

// read returns data of the answer, and io.EOF at the end of one that is complete. It returns errInterrupted if interrupt
// is closed before there is any.
func (r *answerReader) read(interrupt <-chan struct{}, buf []byte) (int, error) {
	if len(r.unread.data) == 0 && r.unread.err == nil {
		result, ok := r.reading.Await(interrupt, r.readResponse)
		if !ok {
			return 0, errInterrupted
		}
		r.unread = result
		r.hasData.Store(false)
	}
	n := copy(buf, r.unread.data)
	r.unread.data = r.unread.data[n:]
	if len(r.unread.data) > 0 {
		return n, nil
	}
	return n, r.unread.err
}

// readResponse makes one read from the runner.
func (r *answerReader) readResponse() readResult {
	if r.buffer == nil {
		r.buffer = make([]byte, relayBufferSize)
	}
	n, err := r.response.Read(r.buffer)
	if n > 0 {
		r.hasData.Store(true)
		r.onData()
	}
	return readResult{data: r.buffer[:n], err: err, at: time.Now()}
}

// failure returns the error of a read whose result was not collected, or nil if the runner has not broken off.
func (r *answerReader) failure() error {
	result, ok := r.reading.Poll()
	if !ok || isCompleteAnswer(result.err) {
		return nil
	}
	return result.err
}

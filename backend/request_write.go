package backend

import (
	"context"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// writeEndTimeout limits the wait for the end of a write whose connection has been closed.
const writeEndTimeout = 50 * time.Millisecond

// errStillWriting means that the writing of a request has not ended.
var errStillWriting = errors.New("request is still being written")

// requestWrite is the writing of one request, which the transport does beside the reading of the response.
type requestWrite struct {
	mu sync.Mutex
	// ended is closed once the request was written or its writing has failed, and hasEnded is set.
	ended    chan struct{}
	hasEnded bool
	// err is why the writing has failed.
	err error
}

// trace returns the context of a request whose writing is followed.
func (w *requestWrite) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { w.begin() },
		WroteRequest: func(info httptrace.WroteRequestInfo) { w.end(info.Err) },
	})
}

// begin follows a write that is about to begin. It replaces an earlier one, which has sent nothing.
func (w *requestWrite) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended, w.hasEnded, w.err = make(chan struct{}), false, nil
}

func (w *requestWrite) end(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hasEnded {
		return
	}
	w.hasEnded, w.err = true, err
	close(w.ended)
}

// await waits until the request has been written, or returns why it was not. The connection must have been closed.
func (w *requestWrite) await() error {
	w.mu.Lock()
	ended := w.ended
	w.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(writeEndTimeout):
		return errStillWriting
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

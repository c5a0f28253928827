package site

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
)

// WriteUnframed writes a response with neither a content length nor chunks, which ends with its connection. If
// beforeClose is not nil, it is called before the connection is closed.
func WriteUnframed(w http.ResponseWriter, req *http.Request, contentType, body string, beforeClose func()) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // the stand-in's server supports it
	}
	defer func() { _ = conn.Close() }()
	writeUnframedHead(conn, req, contentType)
	_, _ = io.WriteString(conn, body)
	if beforeClose != nil {
		beforeClose()
	}
}

func writeUnframedHead(conn net.Conn, req *http.Request, contentType string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Rillreach-Attempt-Id: %s\r\nX-Rillreach-Response-Seal: sealed\r\nContent-Type: %s\r\nConnection: close\r\n\r\n",
		req.Header.Get("X-Rillreach-Attempt-Id"), contentType)
}

// ServeUnframed has the handler write a response with neither a content length nor chunks, which ends with its connection.
// If the runner crashes or the handler aborts, the connection ends as it does after a complete response. If the caller closes
// the connection, the request's context ends, as for other responses.
func (r *Runner) ServeUnframed(w http.ResponseWriter, req *http.Request, handle http.HandlerFunc) {
	header := w.Header().Clone()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // the stand-in's server supports it
	}
	defer func() { _ = conn.Close() }()
	if !r.addUnframed(conn) {
		return
	}
	defer r.removeUnframed(conn)
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	go func() {
		_, _ = io.Copy(io.Discard, conn) // returns when either side closes the connection
		cancel()
	}()
	u := &unframedWriter{conn: conn, header: header}
	handle(u, req.WithContext(ctx))
	if !u.wroteHead {
		u.WriteHeader(http.StatusOK)
	}
}

// addUnframed registers a connection that Crash has to close. It returns false if the runner has crashed.
func (r *Runner) addUnframed(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unframed == nil {
		r.unframed = map[net.Conn]struct{}{}
	}
	r.unframed[conn] = struct{}{}
	return !r.crashed
}

func (r *Runner) removeUnframed(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unframed, conn)
}

// closeUnframed closes the connections of unframed responses.
func (r *Runner) closeUnframed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashed = true
	for conn := range r.unframed {
		_ = conn.Close()
	}
}

// unframedWriter writes a response that ends with its connection.
type unframedWriter struct {
	conn      net.Conn
	header    http.Header
	wroteHead bool
	err       error
}

// Header returns the header of the response.
func (u *unframedWriter) Header() http.Header { return u.header }

// WriteHeader writes the head of the response.
func (u *unframedWriter) WriteHeader(status int) {
	u.wroteHead = true
	u.header.Del("Content-Length")
	u.header.Set("Connection", "close")
	var head strings.Builder
	_, _ = fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = u.header.Write(&head)
	u.write([]byte(head.String() + "\r\n"))
}

// Write writes part of the body.
func (u *unframedWriter) Write(data []byte) (int, error) {
	if !u.wroteHead {
		u.WriteHeader(http.StatusOK)
	}
	u.write(data)
	return len(data), u.err
}

// FlushError returns the error of the writes so far, which are not buffered.
func (u *unframedWriter) FlushError() error { return u.err }

func (u *unframedWriter) write(data []byte) {
	if u.err == nil {
		_, u.err = u.conn.Write(data)
	}
}

// WriteChunked writes a response in chunks, with their proper end.
func WriteChunked(w http.ResponseWriter, req *http.Request, contentType, body string) {
	SetSealHeaders(w, req)
	w.Header().Set("Content-Type", contentType)
	_, _ = io.WriteString(w, body)
	_ = http.NewResponseController(w).Flush()
}

// EventStream is the content type of a stream of events.
const EventStream = "text/event-stream"

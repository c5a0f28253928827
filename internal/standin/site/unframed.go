package site

import (
	"fmt"
	"io"
	"net"
	"net/http"
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

// WriteChunked writes a response in chunks, with their proper end.
func WriteChunked(w http.ResponseWriter, req *http.Request, contentType, body string) {
	SetSealHeaders(w, req)
	w.Header().Set("Content-Type", contentType)
	_, _ = io.WriteString(w, body)
	_ = http.NewResponseController(w).Flush()
}

// EventStream is the content type of a stream of events.
const EventStream = "text/event-stream"

package forward

import (
	"bufio"
	"net/http"
	"strconv"
)

// Request is a request as it goes to a runner, byte for byte as the caller wrote method, target and body.
type Request struct {
	Method string
	// Target is the path with its query, as the caller wrote it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody says that the request has a body, which may be empty.
	HasBody bool
}

func (c *Request) writeHead(w *bufio.Writer) error {
	for _, text := range []string{c.Method, " ", c.Target, " HTTP/1.1\r\nHost: ", c.Host, "\r\n"} {
		if _, err := w.WriteString(text); err != nil {
			return err
		}
	}
	if err := c.Header.Write(w); err != nil {
		return err
	}
	if c.HasBody {
		if _, err := w.WriteString("Content-Length: " + strconv.Itoa(len(c.Body)) + "\r\n"); err != nil {
			return err
		}
	}
	_, err := w.WriteString("\r\n")
	return err
}

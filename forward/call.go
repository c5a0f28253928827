package forward

import (
	"bufio"
	"net/http"
	"strconv"
)

// Request is a request to a runner. Method, target and body are sent exactly as the caller wrote them.
type Request struct {
	Method string
	// Target is the path with its query, as the caller wrote it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody reports whether the request has a body, which may be empty.
	HasBody bool
}

func (r *Request) writeHead(w *bufio.Writer) error {
	for _, text := range []string{r.Method, " ", r.Target, " HTTP/1.1\r\nHost: ", r.Host, "\r\n"} {
		if _, err := w.WriteString(text); err != nil {
			return err
		}
	}
	if err := r.Header.Write(w); err != nil {
		return err
	}
	if r.HasBody {
		if _, err := w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n"); err != nil {
			return err
		}
	}
	_, err := w.WriteString("\r\n")
	return err
}

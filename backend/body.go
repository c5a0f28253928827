package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/completeness"
	"github.com/rillreach/rillreach/eventstream"
)

// body is the body of a response. It ends with io.EOF only if it is complete.
type body struct {
	completeness.Reader
	io.Closer
}

// unframedBody is a body that ends with its connection.
type unframedBody struct {
	from    io.Reader
	request *requestWrite
}

// Read reads the body. It returns completeness.ErrConnectionEnded at its end if the whole request was written.
func (b *unframedBody) Read(buf []byte) (int, error) {
	n, err := b.from.Read(buf)
	if errors.Is(err, io.EOF) {
		err = completeness.EndOfConnection(b.request.await())
	}
	return n, err
}

// completeBody returns the body of a response of the server.
func (c *Client) completeBody(resp *http.Response, request *requestWrite) io.ReadCloser {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	var from io.Reader = resp.Body
	if !framed {
		from = &unframedBody{from: resp.Body, request: request}
	}
	return &body{
		Reader: completeness.Reader{
			From: from,
			Body: completeness.Body{
				EventStream: resp.StatusCode == http.StatusOK && eventstream.HasMediaType(resp.Header.Get("Content-Type")),
				Framed:      framed,
			},
			Process: c.checkProcess,
		},
		Closer: resp.Body,
	}
}

// probeTimeout limits the connection attempt of checkProcess. The server is on the same machine.
const probeTimeout = 50 * time.Millisecond

// checkProcess returns whether the server still accepts connections.
func (c *Client) checkProcess() completeness.Process {
	server, err := url.Parse(c.BaseURL)
	if err != nil {
		return completeness.ProcessUnresponsive
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", server.Host)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return completeness.ProcessEnded
	case err != nil:
		return completeness.ProcessUnresponsive
	}
	_ = conn.Close()
	return completeness.ProcessRunning
}

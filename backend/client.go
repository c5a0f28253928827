package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/bounded"
	"github.com/rillreach/rillreach/internal/headcheck"
	"github.com/rillreach/rillreach/internal/socket"
)

// Client sends calls to one backend server.
type Client struct {
	// BaseURL is the URL of the server, such as http://127.0.0.1:8000.
	BaseURL string
	// HTTP is the client used for calls. It must not follow redirects or retry calls; see NewHTTPClient.
	HTTP *http.Client
}

var _ rillreach.Backend = (*Client)(nil)

// ErrNotSent means that a call certainly did not reach the backend server.
var ErrNotSent = errors.New("call did not reach the backend server")

const maxIdleConns = 1024

// NewHTTPClient returns an HTTP client that does not change responses and sends every call exactly once.
func NewHTTPClient() *http.Client {
	return &http.Client{
		Transport: &headcheck.Transport{Transport: &http.Transport{
			DialContext:            dial,
			MaxIdleConns:           maxIdleConns,
			MaxIdleConnsPerHost:    maxIdleConns,
			DisableCompression:     true,
			MaxResponseHeaderBytes: bounded.MaxResponseHead,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// conn is a connection to a backend server. Its reads return io.EOF only if the server has received all that was written
// when it ends the connection. The transport closes its side then, so that the server can't receive the rest later.
type conn struct {
	*socket.Conn
}

// Read reads data.
func (c conn) Read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	if errors.Is(err, io.EOF) {
		if acknowledged, statErr := c.IsAcknowledged(); statErr == nil && !acknowledged {
			return n, socket.ErrUnacknowledged
		}
	}
	return n, err
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return conn{Conn: &socket.Conn{Conn: c}}, nil
}

// send sends a request and returns the response, whose body ends with io.EOF only if it is complete.
func (c *Client) send(req *http.Request) (*http.Response, error) {
	var w requestWrite
	resp, err := c.HTTP.Do(req.WithContext(w.trace(req.Context())))
	if err != nil {
		return nil, err
	}
	resp.Body = c.completeBody(resp, &w)
	return resp, nil
}

// Do sends one call. It returns once the response header has been received.
func (c *Client) Do(ctx context.Context, call rillreach.BackendRequest) (rillreach.BackendResponse, error) {
	target := c.BaseURL + (&url.URL{Path: call.Path, RawQuery: call.Query}).RequestURI()
	req, err := http.NewRequestWithContext(ctx, call.Method, target, bytes.NewReader(call.Body))
	if err != nil {
		return rillreach.BackendResponse{}, errors.Mark(errors.Wrap(err, "create request"), ErrNotSent)
	}
	req.GetBody = nil // without it the transport cannot send the call a second time
	for name, values := range call.Header {
		req.Header[name] = values
	}
	resp, err := c.send(req) //nolint:bodyclose // the caller closes it
	if err != nil {
		return rillreach.BackendResponse{}, markNotSent(errors.Wrap(err, "call backend server"))
	}
	return rillreach.BackendResponse{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body}, nil
}

// markNotSent marks errors of connecting with ErrNotSent: they occur before anything is sent.
func markNotSent(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Mark(err, ErrNotSent)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errors.Mark(err, ErrNotSent)
	}
	return err
}

package backend

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/url"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/bounded"
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
		Transport: &http.Transport{
			DialContext:            (&net.Dialer{}).DialContext,
			MaxIdleConns:           maxIdleConns,
			MaxIdleConnsPerHost:    maxIdleConns,
			DisableCompression:     true,
			MaxResponseHeaderBytes: bounded.MaxResponseHead,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
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
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return rillreach.BackendResponse{}, markNotSent(errors.Wrap(err, "call backend server"))
	}
	return rillreach.BackendResponse{Status: resp.StatusCode, Header: resp.Header, Body: c.completeBody(resp)}, nil
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

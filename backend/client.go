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
)

// Client calls one backend server.
type Client struct {
	// BaseURL is the server's address, such as http://127.0.0.1:8000.
	BaseURL string
	// HTTP does the calls; it must not follow redirects or repeat calls. NewHTTP makes one.
	HTTP *http.Client
}

var _ rillreach.Backend = (*Client)(nil)

// ErrNotSent says that a call certainly did not reach the backend server.
var ErrNotSent = errors.New("call did not reach the backend server")

const maxIdle = 1024

// NewHTTPClient makes an HTTP client that passes answers on as they are and sends every call just once.
func NewHTTPClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{}).DialContext,
			MaxIdleConns:        maxIdle,
			MaxIdleConnsPerHost: maxIdle,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Do sends one call.
func (c *Client) Do(ctx context.Context, call rillreach.Call) (rillreach.Answer, error) {
	target := c.BaseURL + (&url.URL{Path: call.Path, RawQuery: call.Query}).RequestURI()
	req, err := http.NewRequestWithContext(ctx, call.Method, target, bytes.NewReader(call.Body))
	if err != nil {
		return rillreach.Answer{}, errors.Mark(errors.Wrap(err, "make call"), ErrNotSent)
	}
	req.GetBody = nil // without it the transport cannot send the call a second time
	for name, values := range call.Header {
		req.Header[name] = values
	}
	resp, err := c.HTTP.Do(req) //nolint:bodyclose // the body is part of the answer, and its reader closes it
	if err != nil {
		return rillreach.Answer{}, markNotSent(errors.Wrap(err, "call backend server"))
	}
	return rillreach.Answer{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body}, nil
}

// markNotSent marks the failures of connecting, which come before anything is sent.
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

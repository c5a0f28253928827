// Package headcheck rejects responses of other processes whose heads are not valid, for clients of package net/http, which
// tolerates some of them.
package headcheck

import (
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/responsehead"
)

// Transport makes calls of a client. It returns an error marked responsehead.ErrInvalid in place of a response whose head
// is not valid, and closes the connection, whose next bytes belong to no call.
type Transport struct {
	*http.Transport
}

var _ http.RoundTripper = (*Transport)(nil)

// RoundTrip makes one call.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var used net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { used = info.Conn }}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := responsehead.CheckParsed(resp, req.Header.Get("Upgrade") != ""); err != nil {
		return nil, errors.CombineErrors(err, errors.CombineErrors(used.Close(), resp.Body.Close()))
	}
	return resp, nil
}

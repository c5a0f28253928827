package objectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/headcheck"
)

const (
	// PathObjects is the path prefix of objects.
	PathObjects = "/objects/"
	// MaxValueBytes is the maximum size of an object's value.
	MaxValueBytes = 1 << 20

	callTimeout      = 5 * time.Second
	maxResponseBytes = 64 << 20
)

// Client calls the object API.
type Client struct {
	// BaseURL is the URL of the API, such as http://127.0.0.1:7000.
	BaseURL string
	// HTTP is the client used for calls. If it is nil, one with the default settings is used.
	HTTP *http.Client
}

var _ rillreach.ObjectStore = (*Client)(nil)

// defaultClient keeps its connections, which all calls without a client of their own share.
var defaultClient = newDefaultClient()

func newDefaultClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Protocols = new(http.Protocols)
	transport.Protocols.SetHTTP1(true) // the heads of other versions are not checked
	return &http.Client{Transport: &headcheck.Transport{Transport: transport}}
}

// Get returns one object.
func (c *Client) Get(ctx context.Context, kind rillreach.ObjectKind, name string) (rillreach.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var object rillreach.Object
	req, err := c.newRequest(ctx, http.MethodGet, kind, name, nil)
	if err != nil {
		return object, err
	}
	return object, errors.Wrapf(c.do(req, &object), "get %s %s", kind, name)
}

// List returns the objects of a kind.
func (c *Client) List(ctx context.Context, kind rillreach.ObjectKind) (rillreach.ObjectPage, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var page rillreach.ObjectPage
	req, err := c.newRequest(ctx, http.MethodGet, kind, "", nil)
	if err != nil {
		return page, err
	}
	return page, errors.Wrapf(c.do(req, &page), "list %s", kind)
}

// Watch returns the changes of a kind after a version. If there are none yet, it waits for them, at most for the given
// time.
func (c *Client) Watch(ctx context.Context, kind rillreach.ObjectKind, after uint64, wait time.Duration) (rillreach.ObjectPage, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	var page rillreach.ObjectPage
	req, err := c.newRequest(ctx, http.MethodGet, kind, "", nil)
	if err != nil {
		return page, err
	}
	req.URL.RawQuery = url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}.Encode()
	return page, errors.Wrapf(c.do(req, &page), "watch %s after %d", kind, after)
}

// Put writes an object. It returns ErrWriteUncertain if the response is lost.
func (c *Client) Put(ctx context.Context, kind rillreach.ObjectKind, name string, version uint64, value []byte) (rillreach.Object, error) {
	if len(value) > MaxValueBytes {
		return rillreach.Object{}, errors.Newf("put %s %s: value has %d bytes, the maximum is %d", kind, name, len(value), MaxValueBytes)
	}
	var object rillreach.Object
	err := c.write(ctx, http.MethodPut, kind, name, version, value, &object)
	return object, errors.Wrapf(err, "put %s %s", kind, name)
}

// Delete deletes an object. It returns ErrWriteUncertain if the response is lost.
func (c *Client) Delete(ctx context.Context, kind rillreach.ObjectKind, name string, version uint64) error {
	var object rillreach.Object
	err := c.write(ctx, http.MethodDelete, kind, name, version, nil, &object)
	return errors.Wrapf(err, "delete %s %s", kind, name)
}

func (c *Client) write(ctx context.Context, method string, kind rillreach.ObjectKind, name string, version uint64, value []byte, object *rillreach.Object) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := c.newRequest(ctx, method, kind, name, bytes.NewReader(value))
	if err != nil {
		return err
	}
	setCondition(req.Header, version)
	return markUnsure(c.do(req, object))
}

func setCondition(header http.Header, version uint64) {
	if version == 0 {
		header.Set("If-None-Match", "*")
		return
	}
	header.Set("If-Match", ETag(version))
}

// ETag returns the entity tag of a version.
func ETag(version uint64) string {
	return `"` + strconv.FormatUint(version, 10) + `"`
}

// markUnsure marks the error of a write with ErrWriteUncertain, unless it means that nothing was written.
func markUnsure(err error) error {
	if err == nil || errors.Is(err, rillreach.ErrConflict) || errors.Is(err, rillreach.ErrNotFound) || errors.Is(err, errRefused) {
		return err
	}
	return errors.Mark(err, rillreach.ErrWriteUncertain)
}

func (c *Client) newRequest(ctx context.Context, method string, kind rillreach.ObjectKind, name string, body io.Reader) (*http.Request, error) {
	target := c.BaseURL + PathObjects + url.PathEscape(string(kind))
	if name != "" {
		target += "/" + name
	}
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	return req, errors.Wrap(err, "create request to platform")
}

var errRefused = errors.New("platform refused the call")

func (c *Client) do(req *http.Request, result any) error {
	client := c.HTTP
	if client == nil {
		client = defaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "call platform")
	}
	defer resp.Body.Close()
	if err := statusError(resp.StatusCode); err != nil {
		return err
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(result), "read response of platform")
}

func statusError(status int) error {
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusNotFound:
		return rillreach.ErrNotFound
	case status == http.StatusPreconditionFailed:
		return rillreach.ErrConflict
	case status < http.StatusInternalServerError:
		return errors.Wrapf(errRefused, "status %d", status)
	default:
		return errors.Newf("platform answered with status %d", status)
	}
}

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
)

const (
	// PathObjects is the path under which objects are found.
	PathObjects = "/objects/"
	// MaxValueBytes is the largest value of an object, in bytes.
	MaxValueBytes = 1 << 20

	callTimeout = 5 * time.Second
	maxPage     = 64 << 20
)

// Client calls the object API.
type Client struct {
	// BaseURL is the API's address, such as http://127.0.0.1:7000.
	BaseURL string
	// HTTP does the calls; nil means http.DefaultClient.
	HTTP *http.Client
}

var _ rillreach.ObjectStore = (*Client)(nil)

// Get returns one object.
func (c *Client) Get(ctx context.Context, kind rillreach.Kind, name string) (rillreach.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var object rillreach.Object
	req, err := c.request(ctx, http.MethodGet, kind, name, nil)
	if err != nil {
		return object, err
	}
	return object, errors.Wrapf(c.do(req, &object), "get %s %s", kind, name)
}

// List returns the objects of a kind.
func (c *Client) List(ctx context.Context, kind rillreach.Kind) (rillreach.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var page rillreach.Page
	req, err := c.request(ctx, http.MethodGet, kind, "", nil)
	if err != nil {
		return page, err
	}
	return page, errors.Wrapf(c.do(req, &page), "list %s", kind)
}

// Watch waits for changes of a kind after a version.
func (c *Client) Watch(ctx context.Context, kind rillreach.Kind, after uint64, wait time.Duration) (rillreach.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	var page rillreach.Page
	req, err := c.request(ctx, http.MethodGet, kind, "", nil)
	if err != nil {
		return page, err
	}
	req.URL.RawQuery = url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}.Encode()
	return page, errors.Wrapf(c.do(req, &page), "watch %s after %d", kind, after)
}

// Put writes an object; an answer that is lost gives ErrUnsure.
func (c *Client) Put(ctx context.Context, kind rillreach.Kind, name string, version uint64, value []byte) (rillreach.Object, error) {
	if len(value) > MaxValueBytes {
		return rillreach.Object{}, errors.Newf("put %s %s: value has %d bytes, at most %d fit", kind, name, len(value), MaxValueBytes)
	}
	var object rillreach.Object
	err := c.write(ctx, http.MethodPut, kind, name, version, value, &object)
	return object, errors.Wrapf(err, "put %s %s", kind, name)
}

// Delete removes an object; an answer that is lost gives ErrUnsure.
func (c *Client) Delete(ctx context.Context, kind rillreach.Kind, name string, version uint64) error {
	var object rillreach.Object
	err := c.write(ctx, http.MethodDelete, kind, name, version, nil, &object)
	return errors.Wrapf(err, "delete %s %s", kind, name)
}

func (c *Client) write(ctx context.Context, method string, kind rillreach.Kind, name string, version uint64, value []byte, object *rillreach.Object) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := c.request(ctx, method, kind, name, bytes.NewReader(value))
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

// ETag is the entity tag of a version.
func ETag(version uint64) string {
	return `"` + strconv.FormatUint(version, 10) + `"`
}

// markUnsure makes every failure of a write unsure that is not a clear no.
func markUnsure(err error) error {
	if err == nil || errors.Is(err, rillreach.ErrConflict) || errors.Is(err, rillreach.ErrNotFound) || errors.Is(err, errRefused) {
		return err
	}
	return errors.Mark(err, rillreach.ErrUnsure)
}

func (c *Client) request(ctx context.Context, method string, kind rillreach.Kind, name string, body io.Reader) (*http.Request, error) {
	target := c.BaseURL + PathObjects + url.PathEscape(string(kind))
	if name != "" {
		target += "/" + name
	}
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	return req, errors.Wrap(err, "make request to platform")
}

var errRefused = errors.New("platform refused the call")

func (c *Client) do(req *http.Request, into any) error {
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "call platform")
	}
	defer resp.Body.Close()
	if err := statusError(resp.StatusCode); err != nil {
		return err
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxPage)).Decode(into), "read platform's answer")
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

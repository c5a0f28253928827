package blockstore

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/bounded"
)

const (
	// PathBlocks is the path prefix of blocks.
	PathBlocks = "/blocks/"
	// PathLookup is the path of requests that look up several blocks.
	PathLookup = "/lookup"

	maxBlockBytes = 1 << 30
)

// Client calls store instances.
type Client struct {
	// HTTP is the client used for calls.
	HTTP *http.Client
}

// ErrFull means that a store has no space left.
var ErrFull = errors.New("store is full")

// HeldBlock is a block that a store has.
type HeldBlock struct {
	Key   string `json:"key"`
	Bytes int64  `json:"bytes"`
	// OnDisk reports that the block is on disk and not in memory.
	OnDisk bool `json:"disk"`
}

// LookupRequest asks which of the named blocks a store has.
type LookupRequest struct {
	Keys []string `json:"keys"`
}

// LookupResponse lists the requested blocks that the store has.
type LookupResponse struct {
	Held []HeldBlock `json:"held"`
}

// Stripe identifies one of the Count stripes that a block is split into.
type Stripe struct {
	Key   rillreach.BlockKey
	Index int
	Count int
}

// Name returns the name under which stores keep the stripe.
func (s Stripe) Name() string {
	return hex.EncodeToString(s.Key[:]) + "-" + strconv.Itoa(s.Index) + "-" + strconv.Itoa(s.Count)
}

// Lookup returns the size in bytes of each stripe that the store has.
func (c *Client) Lookup(ctx context.Context, store netip.AddrPort, stripes []Stripe) (map[Stripe]int64, error) {
	var request LookupRequest
	byName := make(map[string]Stripe, len(stripes))
	for _, stripe := range stripes {
		request.Keys = append(request.Keys, stripe.Name())
		byName[stripe.Name()] = stripe
	}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Wrap(err, "encode lookup request")
	}
	data, err := c.call(ctx, http.MethodPost, store, PathLookup, body)
	if err != nil {
		return nil, err
	}
	var answer LookupResponse
	if err := json.Unmarshal(data, &answer); err != nil {
		return nil, errors.Wrap(err, "decode lookup response")
	}
	sizes := make(map[Stripe]int64, len(answer.Held))
	for _, held := range answer.Held {
		if stripe, ok := byName[held.Key]; ok {
			sizes[stripe] = held.Bytes
		}
	}
	return sizes, nil
}

// Read returns the data that a store has for a stripe. The caller must verify it, because it may be truncated.
func (c *Client) Read(ctx context.Context, store netip.AddrPort, stripe Stripe) ([]byte, error) {
	return c.call(ctx, http.MethodGet, store, PathBlocks+stripe.Name(), nil)
}

// Write stores the sealed bytes of a stripe.
func (c *Client) Write(ctx context.Context, store netip.AddrPort, stripe Stripe, sealed []byte) error {
	_, err := c.call(ctx, http.MethodPut, store, PathBlocks+stripe.Name(), sealed)
	return err
}

func (c *Client) call(ctx context.Context, method string, store netip.AddrPort, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+store.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create request to store")
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "call store")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusInsufficientStorage:
		return nil, ErrFull
	case http.StatusNotFound:
		return nil, rillreach.ErrNotFound
	default:
		return nil, errors.Newf("store answered with status %d", resp.StatusCode)
	}
	data, err := bounded.ReadAll(resp.Body, maxBlockBytes)
	return data, errors.Wrap(err, "read response of store")
}

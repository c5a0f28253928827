package blockstore

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
)

const (
	// PathBlocks is where blocks are, PathLookup answers which of some blocks are there.
	PathBlocks = "/blocks/"
	// PathLookup is where many blocks are looked up at once.
	PathLookup = "/lookup"

	maxBlock = 1 << 30
)

// Client calls store instances.
type Client struct {
	// HTTP does the calls.
	HTTP *http.Client
}

// ErrFull says that a store has no room.
var ErrFull = errors.New("store is full")

// HeldBlock is a block that a store has.
type HeldBlock struct {
	Key   string `json:"key"`
	Bytes int64  `json:"bytes"`
	// OnDisk says that the block is on disk, and not in memory.
	OnDisk bool `json:"disk"`
}

// LookupRequest asks which of some blocks a store has.
type LookupRequest struct {
	Keys []string `json:"keys"`
}

// LookupResponse lists those it has.
type LookupResponse struct {
	Held []HeldBlock `json:"held"`
}

// Stripe names one part of a block among all its parts.
type Stripe struct {
	Key   rillreach.BlockKey
	Index int
	Count int
}

// Name is the name under which the stripe is kept.
func (s Stripe) Name() string {
	return hex.EncodeToString(s.Key[:]) + "-" + strconv.Itoa(s.Index) + "-" + strconv.Itoa(s.Count)
}

// Lookup says for each stripe how many bytes the store has of it; those it does not have are left out.
func (c *Client) Lookup(ctx context.Context, store netip.AddrPort, stripes []Stripe) (map[Stripe]int64, error) {
	var ask LookupRequest
	named := make(map[string]Stripe, len(stripes))
	for _, stripe := range stripes {
		ask.Keys = append(ask.Keys, stripe.Name())
		named[stripe.Name()] = stripe
	}
	body, err := json.Marshal(ask)
	if err != nil {
		return nil, errors.Wrap(err, "encode lookup")
	}
	data, err := c.call(ctx, http.MethodPost, store, PathLookup, body)
	if err != nil {
		return nil, err
	}
	var answer LookupResponse
	if err := json.Unmarshal(data, &answer); err != nil {
		return nil, errors.Wrap(err, "decode lookup")
	}
	sizes := make(map[Stripe]int64, len(answer.Held))
	for _, held := range answer.Held {
		if stripe, ok := named[held.Key]; ok {
			sizes[stripe] = held.Bytes
		}
	}
	return sizes, nil
}

// Read returns what a store has of a stripe; the caller has to check that it is whole.
func (c *Client) Read(ctx context.Context, store netip.AddrPort, stripe Stripe) ([]byte, error) {
	return c.call(ctx, http.MethodGet, store, PathBlocks+stripe.Name(), nil)
}

// Write keeps the sealed bytes of a stripe.
func (c *Client) Write(ctx context.Context, store netip.AddrPort, stripe Stripe, sealed []byte) error {
	_, err := c.call(ctx, http.MethodPut, store, PathBlocks+stripe.Name(), sealed)
	return err
}

func (c *Client) call(ctx context.Context, method string, store netip.AddrPort, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+store.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make call to store")
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBlock))
	return data, errors.Wrap(err, "read from store")
}

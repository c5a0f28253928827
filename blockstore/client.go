package blockstore

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

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

// Held is a block that a store has.
type Held struct {
	Key   string `json:"key"`
	Bytes int64  `json:"bytes"`
	// Disk says that the block is on disk, and not in memory.
	Disk bool `json:"disk"`
}

// LookupRequest asks which of some blocks a store has.
type LookupRequest struct {
	Keys []string `json:"keys"`
}

// LookupAnswer lists those it has.
type LookupAnswer struct {
	Held []Held `json:"held"`
}

// Name is the name under which a block is kept.
func Name(key rillreach.BlockKey) string { return hex.EncodeToString(key[:]) }

// Lookup says for each key how many bytes the store has of it, zero for none.
func (c *Client) Lookup(ctx context.Context, store netip.AddrPort, keys []rillreach.BlockKey) ([]int64, error) {
	var ask LookupRequest
	at := make(map[string]int, len(keys))
	for i, key := range keys {
		ask.Keys = append(ask.Keys, Name(key))
		at[Name(key)] = i
	}
	body, err := json.Marshal(ask)
	if err != nil {
		return nil, errors.Wrap(err, "encode lookup")
	}
	data, err := c.call(ctx, http.MethodPost, store, PathLookup, body)
	if err != nil {
		return nil, err
	}
	var answer LookupAnswer
	if err := json.Unmarshal(data, &answer); err != nil {
		return nil, errors.Wrap(err, "decode lookup")
	}
	sizes := make([]int64, len(keys))
	for _, held := range answer.Held {
		if i, ok := at[held.Key]; ok {
			sizes[i] = held.Bytes
		}
	}
	return sizes, nil
}

// Read returns what a store has under a key; the caller has to check that it is whole.
func (c *Client) Read(ctx context.Context, store netip.AddrPort, key rillreach.BlockKey) ([]byte, error) {
	return c.call(ctx, http.MethodGet, store, PathBlocks+Name(key), nil)
}

// Write keeps sealed bytes under a key.
func (c *Client) Write(ctx context.Context, store netip.AddrPort, key rillreach.BlockKey, sealed []byte) error {
	_, err := c.call(ctx, http.MethodPut, store, PathBlocks+Name(key), sealed)
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

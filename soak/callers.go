package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// callers send requests to one entry over connections that they keep, until they are told to end.
type callers struct {
	entry *entry
	host  string
	keys  []string
	next  *atomic.Int64

	mu    sync.Mutex
	calls []call
}

const (
	callersEach = 4
	thinkTime   = 25 * time.Millisecond
	giveUp      = 8 * time.Second
)

var kinds = []kind{kindRepeat, kindOnce, kindStream, kindFlow, kindPrompt}

func (c *callers) run(stop <-chan struct{}) {
	var wg sync.WaitGroup
	for i := range callersEach {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: giveUp}
			defer client.CloseIdleConnections()
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(thinkTime):
				}
				c.one(client, kinds[n%len(kinds)], c.keys[n/len(kinds)%len(c.keys)])
			}
		})
	}
	wg.Wait()
}

func (c *callers) one(client *http.Client, k kind, key string) {
	seen := call{ID: fmt.Sprintf("%s-%d", k, c.next.Add(1)), Kind: k, Key: key, Entry: c.entry.number, Sent: time.Now()}
	c.send(client, &seen)
	seen.Ended = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, seen)
}

func (c *callers) send(client *http.Client, seen *call) {
	// A POST without a way to make its body anew is sent once by the client, whatever happens to the connection.
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, fmt.Sprintf("http://%s/%s/x", c.entry.callers, seen.Kind), io.LimitReader(zeros{}, 10))
	if err != nil {
		seen.Cut = true
		return
	}
	req.Host = c.host
	site.SetRequestID(req, seen.ID)
	if seen.Kind == kindPrompt {
		site.SetPrompt(req, fmt.Sprintf("%08x", len(seen.ID)))
	}
	req.Header.Set("Authorization", "Bearer "+seen.Key)
	resp, err := client.Do(req)
	if err != nil {
		seen.Cut = true
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	seen.Status, seen.Body, seen.Cut = resp.StatusCode, string(body), err != nil
}

// zeros is a reader of zeros.
type zeros struct{}

// Read fills the buffer.
func (zeros) Read(buf []byte) (int, error) { return len(buf), nil }

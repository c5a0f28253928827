package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// callers sends requests through the balancer until it is stopped. Half of the callers open a connection for each
// request, and the others reuse theirs until it is closed.
type callers struct {
	balancer    *balancer
	host        string
	keys        []string
	callerCount int
	// tag is the part of the request IDs that all requests of this cluster have in common.
	tag string
	// takesUp means that callers take up streams that are cut.
	takesUp bool

	nextID atomic.Int64
	mu     sync.Mutex
	calls  []callRecord
}

const (
	thinkTime   = 25 * time.Millisecond
	callTimeout = 10 * time.Second
)

var kinds = []kind{kindRepeat, kindOnce, kindStream, kindFlow, kindPrompt, kindChat}

func (c *callers) run(stop <-chan struct{}) {
	var wg sync.WaitGroup
	for i := range c.callerCount {
		sender := &caller{callers: c}
		wg.Go(func() { sender.run(i, stop) })
	}
	wg.Wait()
}

// caller sends one request after another.
type caller struct {
	callers *callers
	client  *http.Client
}

func (c *caller) run(number int, stop <-chan struct{}) {
	c.client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{
		DisableCompression: true, DisableKeepAlives: number%2 == 0, DialContext: c.dial,
	}}
	defer c.client.CloseIdleConnections()
	for n := number; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(thinkTime):
		}
		begun := c.call(kinds[n%len(kinds)], c.callers.keys[n/len(kinds)%len(c.callers.keys)], "")
		if c.callers.takesUp {
			c.takeUp(begun, stop)
		}
	}
}

// dial connects to the entry that the balancer chooses. The URL does not name one.
func (c *caller) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	e := c.callers.balancer.pick()
	recordDialed(ctx, e)
	conn, err := dialEntry(ctx, e)
	if err != nil {
		return nil, err
	}
	return &entryConn{Conn: conn, entry: e}, nil
}

// call sends a request of the given kind, or the fatal request with the given name if it is not empty.
func (c *caller) call(k kind, key, fatal string) callRecord {
	return c.record(callRecord{Kind: k, Key: key, Fatal: fatal})
}

// record sends a request and returns what the caller has seen of it.
func (c *caller) record(seen callRecord) callRecord {
	name := fmt.Sprintf("%s-%d", seen.Kind, c.callers.nextID.Add(1))
	seen.ID, seen.Conversation, seen.SentAt = name+tagSeparator+c.callers.tag, fmt.Sprintf("%08x", len(name)), time.Now()
	var use connectionUse
	c.send(withConnectionUse(context.Background(), &use), &seen)
	seen.EndedAt = time.Now()
	use.addTo(&seen)
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	c.callers.calls = append(c.callers.calls, seen)
	return seen
}

func (c *caller) send(ctx context.Context, seen *callRecord) {
	// The client sends a POST without GetBody only once, whatever happens to the connection.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.callers.target(seen), io.LimitReader(zeros{}, 10))
	if err != nil {
		seen.Truncated = true
		return
	}
	site.SetRequestID(req, seen.ID)
	switch {
	case len(seen.Parts) > 0:
		site.SetPromptParts(req, append(slices.Clone(seen.Parts), fmt.Sprintf("%08x", idHash(seen.ID)))...)
	case seen.Kind.engines():
		site.SetPromptHeaders(req, seen.Conversation)
	}
	req.Header.Set("Authorization", "Bearer "+seen.Key)
	if seen.Resumes != "" {
		site.SetResumeHeaders(req, seen.Resumes, seen.After)
	}
	resp, err := c.client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		var body []byte
		body, err = io.ReadAll(resp.Body)
		seen.Sealed = site.IsSealed(resp)
		seen.Status, seen.Body, seen.RetryAfter = resp.StatusCode, string(body), site.RetryAfter(resp)
	}
	seen.Truncated, seen.Refused = err != nil, errors.Is(err, syscall.ECONNREFUSED)
}

// target returns the URL of a request. A fatal request has its name at the end.
func (c *callers) target(seen *callRecord) string {
	last := "x"
	if strings.HasPrefix(seen.Fatal, fatalPath) {
		last = seen.Fatal
	}
	return fmt.Sprintf("http://%s/%s/%s", c.host, seen.Kind, last)
}

// zeros is a reader that returns zero bytes.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(buf []byte) (int, error) { return len(buf), nil }

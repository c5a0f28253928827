//go:build review

package play

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// startTime is how long the processes have to find each other once an entry is ready.
const startTime = 4 * time.Second

// startProcesses starts an entry, and an agent beside each engine.
func (w *world) startProcesses(engines []*multiEngine) (edge *process, err error) {
	if edge, err = w.addEntry(1, w.storeAt); err != nil {
		return nil, err
	}
	for i, e := range engines {
		if _, err := w.addAgent(byte(i+1), e.address(), w.storeAt); err != nil {
			return nil, err
		}
	}
	if err := edge.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(startTime)
	return edge, nil
}

// engineConfig returns a configuration with a route to the engines.
func engineConfig(version int, modelNames ...string) map[string]any {
	models := []any{}
	for _, m := range modelNames {
		models = append(models, map[string]any{"name": m})
	}
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r1", "host": "shop.example", "path_prefix": "/p/", "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 300, "priority": 0,
			"service": engineService, "max_attempts": 2, "public": false, "sticky_sessions": true, "resumable": true, "gap_aim_ms": 300,
		}},
		"services": []any{map[string]any{
			"name": engineService, "health_check": site.HealthPath, "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 41564, "kv_token_bytes": 18432, "link_mbps": 130000.0, "models": models},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "t1", "api_keys": []any{"key-1"}, "priority": 1}},
	}
}

// call is a request of a caller. With a model it is a prompt.
type call struct{ id, model, key, path, conversation string }

// send sends a request and returns the status and the body of its answer, zero if there is none.
func (w *world) send(edge *process, c call) (status int, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge.frontend().String()+c.path, strings.NewReader("hello"))
	if err != nil {
		return 0, ""
	}
	req.Host = "shop.example"
	site.SetRequestID(req, c.id)
	req.Header.Set("X-Rillreach-Deadline-Ms", "12000")
	if c.model != "" {
		site.SetPromptHeaders(req, c.conversation)
		req.Header.Set("X-Rillreach-Model", c.model)
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	w.record("a caller sends %s %s, model %q, key %q", c.id, c.path, c.model, c.key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		w.record("the caller of %s gets no answer: %v", c.id, err)
		return 0, ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	w.record("the caller of %s gets %d, %d bytes, cut off: %t", c.id, resp.StatusCode, len(data), err != nil)
	return resp.StatusCode, string(data)
}

// post sends a request with a client that keeps its connections. It reports whether the request went out on a kept connection,
// and whether it has a whole answer.
func (w *world) post(client *http.Client, edge *process, id string) (kept, answered bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused }})
	// A reader of an unknown type keeps the client from sending the request twice.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge.frontend().String()+"/a/x", io.LimitReader(strings.NewReader("hello"), 5))
	if err != nil {
		return false, false
	}
	req.Host = "shop.example"
	site.SetRequestID(req, id)
	req.Header.Set("X-Rillreach-Deadline-Ms", "12000")
	req.Header.Set("Authorization", "Bearer key-1")
	w.record("a caller sends %s", id)
	resp, err := client.Do(req)
	if err != nil {
		w.record("the caller of %s gets no answer, kept connection %t: %v", id, kept, err)
		return kept, false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	w.record("the caller of %s gets %d, cut off: %t", id, resp.StatusCode, err != nil)
	return kept, err == nil
}

// answer is what a caller gets.
type answer struct {
	status     int
	seal, body string
}

// ask sends a request and returns its answer, the zero value if there is no whole one.
func (w *world) ask(edge *process, id string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge.frontend().String()+"/a/x", strings.NewReader("hello"))
	if err != nil {
		return answer{}
	}
	req.Host = "shop.example"
	site.SetRequestID(req, id)
	req.Header.Set("X-Rillreach-Deadline-Ms", "12000")
	req.Header.Set("Authorization", "Bearer key-1")
	w.record("a caller sends %s", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		w.record("the caller of %s gets no answer: %v", id, err)
		return answer{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a := answer{resp.StatusCode, resp.Header.Get("X-Rillreach-Response-Seal"), string(data)}
	w.record("the caller of %s gets %d with seal %q and body %q, cut off: %t", id, a.status, a.seal, a.body, err != nil)
	if err != nil {
		return answer{}
	}
	return a
}

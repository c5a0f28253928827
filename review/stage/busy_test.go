//go:build review2

package stage

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/semaphore"
)

// The runner of this case works on slotCount streams at a time, each of eventCount events, and queues a few more.
const (
	slotCount     = 6
	queueLimit    = 24
	eventCount    = 8
	eventInterval = 250 * time.Millisecond
	busyCallers   = 12
	gracePeriod   = 8 * time.Second
)

// busyRunner answers with streams that have neither a length nor chunks. Health checks wait for a slot as requests do.
type busyRunner struct {
	stage  *stage
	slots  *semaphore.Weighted
	queued atomic.Int64

	mu    sync.Mutex
	ended map[string]time.Time
}

// wait waits for a slot. It returns false if the queue is full or the caller leaves.
func (b *busyRunner) wait(ctx context.Context) bool {
	if b.slots.TryAcquire(1) {
		return true
	}
	if b.queued.Add(1) > queueLimit {
		b.queued.Add(-1)
		return false
	}
	defer b.queued.Add(-1)
	return b.slots.Acquire(ctx, 1) == nil
}

// ServeHTTP runs a request, or answers a health check.
func (b *busyRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Rillreach-Attempt-Id")
	if r.Header.Get("X-Rillreach-Target-Instance") != runnerID {
		w.Header().Set("X-Rillreach-Attempt-Id", id)
		w.Header().Set("X-Rillreach-Instance-Id", runnerID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if !b.wait(r.Context()) {
		w.Header().Set("X-Rillreach-Attempt-Id", id)
		w.Header().Set("X-Rillreach-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.slots.Release(1)
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Rillreach-Instance-Id", runnerID)
		return
	}
	b.stream(w, id)
}

// stream writes a whole stream, and ends it with its connection.
func (b *busyRunner) stream(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Rillreach-Attempt-Id: %s\r\nX-Rillreach-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id)
	for event := 1; event <= eventCount; event++ {
		if _, err := io.WriteString(conn, eventOf(id, event)); err != nil {
			b.stage.note("the runner's answer to %s is broken off by its caller", id)
			return
		}
		time.Sleep(eventInterval)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended[id] = time.Now()
}

func eventOf(id string, event int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", event, event, id)
}

func wholeStream(id string) string {
	var text string
	for event := 1; event <= eventCount; event++ {
		text += eventOf(id, event)
	}
	return text
}

// streamCall is one request of a caller.
type streamCall struct {
	id          string
	sent, ended time.Time
	status      int
	body        string
	err         error
}

// isCut reports whether the connection has ended without a complete answer.
func (c *streamCall) isCut() bool {
	return c.err != nil || c.status == http.StatusOK && c.body != wholeStream(c.id)
}

// playBusy stops an entry while a runner of few slots is full.
func playBusy(s *stage) (bool, error) {
	b := &busyRunner{stage: s, slots: semaphore.NewWeighted(slotCount), ended: map[string]time.Time{}}
	l, err := net.Listen("tcp", s.address(3, 1, runnerPort))
	if err != nil {
		return false, err
	}
	go func() { _ = http.Serve(l, b) }()
	s.putStreamConfig()
	go s.keepRecord(runnerID, func() (map[string]any, bool) {
		return map[string]any{
			"service": "s", "address": s.address(3, 1, runnerPort), "zone": "z", "slots": slotCount, "state": "ready", "version": "v1", "cold_remaining_ms": 0,
			"born": s.started.UnixMilli(),
		}, true
	})
	entry, err := s.startEntry(1)
	if err != nil {
		return false, err
	}
	if err := s.awaitReady(1); err != nil {
		return false, err
	}
	calls := &streamCalls{stage: s}
	stop := calls.run()
	time.Sleep(10 * time.Second)
	stoppedAt := time.Now()
	if s.trouble {
		s.note("SIGTERM to the entry")
		_ = entry.cmd.Process.Signal(syscall.SIGTERM)
	}
	stop()
	select {
	case <-entry.exited:
		s.note("the entry has ended")
	case <-time.After(gracePeriod):
	}
	return calls.judge(b, stoppedAt)
}

func (s *stage) putStreamConfig() {
	s.store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-1", "host": hostName, "path_prefix": "/puxa400/", "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 500, "gap_aim_ms": 300, "priority": 1,
			"service": "s", "max_attempts": 1, "public": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "s", "max_connections": 100, "health_check": "/healthz"}},
		"limits":   map[string]any{"max_body_bytes": 4194304, "max_header_bytes": 16384, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "jeye930", "api_keys": []string{key}}},
	})
}

// streamCalls are the requests of all callers.
type streamCalls struct {
	stage *stage

	mu  sync.Mutex
	all []*streamCall
}

// run starts the callers. The function that it returns has them send no more, and waits for their last answers.
func (c *streamCalls) run() (stop func()) {
	var wg sync.WaitGroup
	var over atomic.Bool
	for caller := range busyCallers {
		wg.Go(func() {
			for n := 0; !over.Load(); n++ {
				c.send(fmt.Sprintf("%04x%012x", caller, n))
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return func() {
		over.Store(true)
		wg.Wait()
	}
}

func (c *streamCalls) send(id string) {
	call := &streamCall{id: id, sent: time.Now()}
	req, err := http.NewRequest(http.MethodPost, "http://"+c.stage.address(1, 1, frontendPort)+"/puxa400/2f", http.NoBody)
	if err != nil {
		return
	}
	req.Host = hostName
	req.Header.Set("X-Rillreach-Attempt-Id", id)
	req.Header.Set("X-Rillreach-Deadline-Ms", "12000")
	req.Header.Set("Authorization", "Bearer "+key)
	client := http.Client{Timeout: 13 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err == nil {
		call.status = resp.StatusCode
		var data []byte
		data, err = io.ReadAll(resp.Body)
		call.body = string(data)
		_ = resp.Body.Close()
	}
	call.err, call.ended = err, time.Now()
	c.mu.Lock()
	c.all = append(c.all, call)
	c.mu.Unlock()
	outcome := fmt.Sprintf("status %d, %d bytes", call.status, len(call.body))
	if call.isCut() {
		outcome = fmt.Sprintf("NO COMPLETE ANSWER: status %d, %d of %d bytes of the stream, then %v", call.status, len(call.body), len(wholeStream(id)), err)
	}
	c.stage.note("request %s sent at %.3f s: %s", id, call.sent.Sub(c.stage.started).Seconds(), outcome)
}

// judge reports whether an answer was lost around the stop of the entry, though its runner had written it whole, well before
// the last sixth of the grace and before the deadline.
func (c *streamCalls) judge(b *busyRunner, stoppedAt time.Time) (bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	whole, counted, outside := 0, 0, 0
	for _, call := range c.all {
		end, wrote := b.ended[call.id]
		switch {
		case !call.isCut():
			if call.status == http.StatusOK {
				whole++
			}
		case !wrote:
		case c.stage.trouble && call.ended.After(stoppedAt) && end.Before(stoppedAt.Add(gracePeriod*5/6)):
			counted++
			c.stage.note("request %s is lost: its runner had written the whole stream at %.3f s", call.id, end.Sub(c.stage.started).Seconds())
		default:
			outside++
		}
	}
	c.stage.note("%d requests, %d whole answers, %d lost around the stop; %d more are cut at other times, which the rule doesn't count", len(c.all), whole, counted, outside)
	if len(c.all) == 0 {
		return false, errors.New("no request was sent")
	}
	return counted > 0, nil
}

//go:build review2

package stage

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The runner of this case is a process of its own, so that it can be killed. Its answers have neither a length nor chunks,
// and end with their connections. Half of each body is sent at once, and the rest after workTime.
const (
	runnerID    = "i-7f3a91c2"
	workTime    = 400 * time.Millisecond
	bodyLines   = 40
	hostName    = "pule25.example"
	key         = "nu6wsjnbanfqasnmgkcu"
	cutTime     = 2 * time.Second
	downTime    = time.Second
	callerCount = 8
)

// wholeBody is the whole body of the answer to a request.
func wholeBody(id string) string {
	var b strings.Builder
	for line := range bodyLines {
		fmt.Fprintf(&b, "answer to %s, line %02d\n", id, line)
	}
	return b.String()
}

// runRunner is the runner's process.
func runRunner() int {
	born := time.Now().UnixMilli()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Rillreach-Attempt-Id")
		switch {
		case r.Header.Get("X-Rillreach-Target-Instance") != runnerID:
			w.Header().Set("X-Rillreach-Attempt-Id", id)
			w.Header().Set("X-Rillreach-Instance-Id", runnerID)
			w.WriteHeader(http.StatusMisdirectedRequest)
		case r.URL.Path == "/healthz" || r.URL.Path == "/report":
			w.Header().Set("X-Rillreach-Instance-Id", runnerID)
			w.Header().Set("Content-Type", "application/json")
			fmt.Fprintf(w, "{\"born\":%d,\"state\":\"ready\"}", born) // a runner tells its start in all that it says of itself
		default:
			_, _ = io.Copy(io.Discard, r.Body)
			answerUnframed(w, id)
		}
	})
	fmt.Println(http.ListenAndServe(os.Getenv("REVIEW_LISTEN"), handler))
	return exitNotRun
}

// answerUnframed writes the answer to a request.
func answerUnframed(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	body := wholeBody(id)
	fmt.Println("run", id)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Rillreach-Attempt-Id: %s\r\nX-Rillreach-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s", id, body[:len(body)/2])
	time.Sleep(workTime)
	fmt.Fprint(conn, body[len(body)/2:])
}

// playTruncated cuts a runner off for two seconds. Behind the cut it crashes, and starts again under its id.
func playTruncated(s *stage) (bool, error) {
	link := &link{to: s.address(3, 2, runnerPort)}
	listener, err := net.Listen("tcp", s.address(3, 1, runnerPort))
	if err != nil {
		return false, err
	}
	go link.serve(listener)
	runner, err := s.startRunner()
	if err != nil {
		return false, err
	}
	s.putPlainConfig()
	var mu sync.Mutex
	born, connected := time.Now(), true
	go s.keepRecord(runnerID, func() (map[string]any, bool) {
		mu.Lock()
		defer mu.Unlock()
		return map[string]any{
			"service": "s", "address": s.address(3, 1, runnerPort), "zone": "z", "slots": 64, "state": "ready", "version": "v1", "cold_remaining_ms": 0,
			"born": born.UnixMilli(),
		}, connected
	})
	if _, err := s.startEntry(1); err != nil {
		return false, err
	}
	if err := s.awaitReady(1); err != nil {
		return false, err
	}
	c := &callers{stage: s, url: "http://" + s.address(1, 1, frontendPort) + "/defi252/2f"}
	wait := c.run(callerCount, 9*time.Second)
	time.Sleep(3 * time.Second)
	if s.trouble {
		s.note("the links of %s are cut", runnerID)
		mu.Lock()
		connected = false
		mu.Unlock()
		link.cut()
		time.Sleep(200 * time.Millisecond)
		runner.kill()
		s.note("behind the cut %s crashes", runnerID)
		time.Sleep(downTime)
		if _, err := s.startRunner(); err != nil {
			return false, err
		}
		s.note("behind the cut %s starts again", runnerID)
		time.Sleep(cutTime - downTime - 200*time.Millisecond)
		s.note("the cut heals")
		link.heal()
		go func() { // the runner's next heartbeat is the first that reaches the store
			time.Sleep(heartbeat / 2)
			mu.Lock()
			defer mu.Unlock()
			born, connected = time.Now().Add(-downTime), true
		}()
	}
	wait()
	s.note("%d requests, %d whole answers, %d that end early and look complete, %d others", c.sent, c.whole, c.truncated, c.others)
	for _, line := range s.trimLog("edge-1", "answered") {
		if strings.Contains(line, "connection") && c.isTruncated(line) {
			s.note("log of the entry: %s", line)
		}
	}
	if c.whole == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return c.truncated > 0, nil
}

func (s *stage) startRunner() (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p, err := s.start("runner", []string{"REVIEW_ROLE=runner", "REVIEW_LISTEN=" + s.address(3, 2, runnerPort)}, self)
	if err != nil {
		return nil, err
	}
	for range 100 {
		if conn, err := net.Dial("tcp", s.address(3, 2, runnerPort)); err == nil {
			_ = conn.Close()
			return p, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, fmt.Errorf("runner does not listen")
}

func (s *stage) putPlainConfig() {
	s.store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-1", "host": hostName, "path_prefix": "/defi252/", "kind": "non_idempotent", "timeout_ms": 4000, "target_latency_ms": 150, "priority": 2, "service": "s",
			"max_attempts": 1, "public": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "s", "max_connections": 100, "health_check": "/healthz"}},
		"limits":   map[string]any{"max_body_bytes": 4194304, "max_header_bytes": 16384, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "jeye930", "api_keys": []string{key}}},
	})
}

// callers send requests one after the other, each on a new connection.
type callers struct {
	stage *stage
	url   string

	mu                             sync.Mutex
	sent, whole, truncated, others int
	truncatedIDs                   []string
}

// run starts callers, and returns a function that waits until they have ended.
func (c *callers) run(count int, length time.Duration) (wait func()) {
	var wg sync.WaitGroup
	until := time.Now().Add(length)
	for caller := range count {
		wg.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				c.send(fmt.Sprintf("%04x%012x", caller, n))
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return wg.Wait
}

// send sends one request and judges its answer.
func (c *callers) send(id string) {
	req, err := http.NewRequest(http.MethodPost, c.url, strings.NewReader("order "+id))
	if err != nil {
		return
	}
	req.Host, req.Close = hostName, true
	req.Header.Set("X-Rillreach-Attempt-Id", id)
	req.Header.Set("X-Rillreach-Deadline-Ms", "4000")
	req.Header.Set("Authorization", "Bearer "+key)
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	sentAt := time.Since(c.stage.started).Seconds()
	resp, err := client.Do(req)
	status, body := 0, ""
	if err == nil {
		status = resp.StatusCode
		var data []byte
		data, err = io.ReadAll(resp.Body)
		body = string(data)
		_ = resp.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	outcome := "whole"
	switch {
	case err != nil:
		c.others++
		outcome = "no complete answer: " + err.Error()
	case status != http.StatusOK:
		c.others++
		outcome = "status " + strconv.Itoa(status)
	case body != wholeBody(id):
		c.truncated++
		c.truncatedIDs = append(c.truncatedIDs, id)
		outcome = fmt.Sprintf("ENDS EARLY, LOOKS COMPLETE: status 200, seal %q, %d of %d bytes, then the end of the connection without a reset",
			resp.Header.Get("X-Rillreach-Response-Seal"), len(body), len(wholeBody(id)))
	default:
		c.whole++
	}
	c.stage.note("request %s sent at %.3f s: %s", id, sentAt, outcome)
}

func (c *callers) isTruncated(line string) bool {
	for _, id := range c.truncatedIDs {
		if strings.Contains(line, id) {
			return true
		}
	}
	return false
}

// link is the way from the entry to a runner. While it is cut, it holds back all bytes, and the ends of connections.
type link struct {
	to string

	mu     sync.Mutex
	closed chan struct{}
}

// cut begins a cut, and heal ends it.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = make(chan struct{})
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.closed)
	l.closed = nil
}

// wait waits while the link is cut.
func (l *link) wait() {
	l.mu.Lock()
	closed := l.closed
	l.mu.Unlock()
	if closed != nil {
		<-closed
	}
}

func (l *link) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.carry(conn.(*net.TCPConn))
	}
}

func (l *link) carry(near *net.TCPConn) {
	l.wait()
	conn, err := net.Dial("tcp", l.to)
	if err != nil {
		_ = near.SetLinger(0)
		_ = near.Close()
		return
	}
	far := conn.(*net.TCPConn)
	go l.copy(far, near)
	l.copy(near, far)
}

// copy carries one direction. The end of a connection arrives as it was: as an end, or as a reset.
func (l *link) copy(to, from *net.TCPConn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		l.wait()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		switch {
		case err == io.EOF:
			_ = to.CloseWrite()
			return
		case err != nil:
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}

//go:build review2

package stage

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// upgraded is a model runner whose software is replaced in place: it drains, ends and starts again under its id.
type upgraded struct {
	stage   *stage
	id      string
	address string

	mu       sync.Mutex
	software string
	state    string
	born     int64
	running  int
	server   *httptest.Server
}

const (
	upgradedCount = 4
	pieceCount    = 50 // unless streamLength says otherwise
	pieceInterval = 100 * time.Millisecond
	shortInterval = 50 * time.Millisecond
	upgradeModel  = "daka510000"
)

// streamLength is the number of pieces of a stream, zero for pieceCount.
var streamLength atomic.Int64

func (s *stage) startUpgraded(number int) (*upgraded, error) {
	u := &upgraded{stage: s, id: fmt.Sprintf("i-%08x", 0x7f3a9100+number), address: s.address(2, number, runnerPort), state: "ready"}
	if err := u.begin("v1"); err != nil {
		return nil, err
	}
	go s.keepRecord(u.id, u.record)
	_, err := s.startAgent(number)
	return u, err
}

// begin starts a run.
func (u *upgraded) begin(software string) error {
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.software, u.state, u.born, u.running = software, "ready", time.Now().UnixMilli(), 0
	run := &upgradedRun{upgraded: u, software: software, born: u.born}
	u.server = httptest.NewUnstartedServer(run)
	_ = u.server.Listener.Close()
	u.server.Listener = l
	u.server.Start()
	u.stage.note("%s starts with software %s", u.id, software)
	return nil
}

// record returns the runner's record, and whether it runs.
func (u *upgraded) record() (map[string]any, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return map[string]any{
		"service": "e", "address": u.address, "zone": "z", "slots": 64, "state": u.state, "version": u.software, "cold_remaining_ms": 0, "born": u.born,
		"stage": "both", "models": []any{map[string]any{"name": upgradeModel, "version": 1, "adapters": []any{}}},
	}, u.server != nil
}

// writeRecord writes the record beside the heartbeats.
func (u *upgraded) writeRecord() {
	if record, runs := u.record(); runs {
		record["sequence"] = 1
		u.stage.store.Put("servers", u.id, record)
	}
}

// replace drains the runner, ends it after the given time and starts it with other software.
func (u *upgraded) replace(after, down time.Duration, software string) {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	u.writeRecord()
	u.stage.note("%s says draining", u.id)
	time.Sleep(after)
	u.mu.Lock()
	server := u.server
	u.server = nil
	u.mu.Unlock()
	_ = server.Listener.Close()
	server.CloseClientConnections()
	u.stage.note("%s ends", u.id)
	time.Sleep(down)
	if err := u.begin(software); err != nil {
		u.stage.note("%s does not start: %v", u.id, err)
		return
	}
	u.writeRecord()
}

// upgradedRun is one run of the runner.
type upgradedRun struct {
	*upgraded
	software string
	born     int64
}

// ServeHTTP handles a call.
func (r *upgradedRun) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	reply := func(fields map[string]any) {
		fields["born"], fields["clock_ms"] = r.born, time.Now().UnixMilli()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(fields)
	}
	switch req.URL.Path {
	case "/report":
		r.mu.Lock()
		running, state := r.running, r.state
		r.mu.Unlock()
		reply(map[string]any{
			"stage": "both", "models": []any{map[string]any{"name": upgradeModel, "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0, "queued": 0,
			"running": running, "kv_used": 0, "kv_total": 41564, "handles": 0, "state": state, "runs": []any{},
		})
	case "/kv-events":
		ms, _ := strconv.Atoi(req.Header.Get("Wait-Ms"))
		select {
		case <-req.Context().Done():
		case <-time.After(time.Duration(ms) * time.Millisecond):
		}
		reply(map[string]any{"boot_epoch": r.born, "next_page_token": 0, "lost": false, "events": []any{}})
	default:
		r.serve(w, req)
	}
}

// serve runs a request.
func (r *upgradedRun) serve(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Rillreach-Attempt-Id")
	w.Header().Set("X-Rillreach-Attempt-Id", id)
	if req.Header.Get("X-Rillreach-Target-Instance") != r.id {
		w.Header().Set("X-Rillreach-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if req.URL.Path == "/healthz" {
		w.Header().Set("X-Rillreach-Instance-Id", r.id)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	r.mu.Lock()
	r.running++
	if r.state != "ready" {
		w.Header().Set("Server-Leaving", "1")
	}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.running--
	}()
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	r.stage.note("%s (%s) runs %s from piece %d on", r.id, r.software, id, from+1)
	w.Header().Set("X-Rillreach-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Versions", "1")
	count, interval := int(streamLength.Load()), shortInterval
	if count == 0 {
		count, interval = pieceCount, pieceInterval
	}
	for piece := from + 1; piece <= count; piece++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d by %s\n\n", piece, piece, r.software)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-req.Context().Done():
			return
		case <-time.After(interval):
		}
	}
}

// playUpgrade replaces the software of all runners in place, two at a time.
func playUpgrade(s *stage) (bool, error) {
	s.putEngineConfig(upgradeModel)
	s.name(upgradeModel, 1)
	var runners []*upgraded
	for number := range upgradedCount {
		u, err := s.startUpgraded(number + 1)
		if err != nil {
			return false, err
		}
		runners = append(runners, u)
	}
	if _, err := s.startEntry(1); err != nil {
		return false, err
	}
	if err := s.awaitReady(1); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	c := &mixCallers{stage: s}
	wait := c.run(96, 22*time.Second)
	time.Sleep(5 * time.Second)
	if s.trouble {
		for pair := 0; pair < len(runners); pair += 2 {
			var wg sync.WaitGroup
			wg.Go(func() { runners[pair].replace(2200*time.Millisecond, 500*time.Millisecond, "v2") })
			wg.Go(func() { runners[pair+1].replace(2800*time.Millisecond, 500*time.Millisecond, "v2") })
			wg.Wait()
			time.Sleep(3 * time.Second)
		}
	}
	wait()
	s.note("%d streams, %d whole, %d with pieces of two software versions, %d others", c.sent, c.whole, c.mixed, c.others)
	return c.mixed > 2, nil
}

// mixCallers send streams one after the other.
type mixCallers struct {
	stage *stage

	mu                         sync.Mutex
	sent, whole, mixed, others int
}

func (c *mixCallers) run(count int, length time.Duration) (wait func()) {
	var wg sync.WaitGroup
	until := time.Now().Add(length)
	for caller := range count {
		wg.Go(func() {
			time.Sleep(time.Duration(caller) * 50 * time.Millisecond)
			for n := 0; time.Now().Before(until); n++ {
				c.send(fmt.Sprintf("%04x%012x", caller, n))
			}
		})
	}
	return wg.Wait
}

func (c *mixCallers) send(id string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.stage.address(1, 1, frontendPort)+"/puxa400/2f", strings.NewReader("prompt "+id))
	if err != nil {
		return
	}
	req.Host = hostName
	req.Header.Set("X-Rillreach-Attempt-Id", id)
	req.Header.Set("X-Rillreach-Model", upgradeModel)
	req.Header.Set("X-Rillreach-Token-Usage", "1460,80")
	req.Header.Set("X-Rillreach-Prompt-Prefix", "5c1e07a2:800,"+id[8:]+":410,"+id[:8]+":250")
	req.Header.Set("X-Rillreach-Deadline-Ms", "12000")
	req.Header.Set("Authorization", "Bearer "+key)
	client := http.Client{Timeout: 13 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	status, body := 0, ""
	if err == nil {
		status = resp.StatusCode
		var data []byte
		data, err = io.ReadAll(resp.Body)
		body = string(data)
		_ = resp.Body.Close()
	}
	if status != http.StatusOK {
		time.Sleep(100 * time.Millisecond)
	}
	v1, v2 := strings.Count(body, "by v1"), strings.Count(body, "by v2")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	outcome := ""
	switch {
	case v1 > 0 && v2 > 0:
		c.mixed++
		outcome = "PIECES OF TWO VERSIONS "
	case err == nil && status == http.StatusOK && v1+v2 == pieceCount:
		c.whole++
	default:
		c.others++
	}
	c.stage.note("request %s: %sstatus %d, %d pieces by v1, %d by v2, %v", id, outcome, status, v1, v2, err)
}

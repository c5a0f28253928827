//go:build review2

package stage

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	resumeEntries = 4
	// shortStream is the number of pieces of a stream of this case, which takes 0.3 s.
	shortStream   = 6
	resumeCallers = 40
	// resumeTries is how often a caller tries to go on with a stream.
	resumeTries = 3
)

// resumed counts streams that were broken off and taken up again.
type resumed struct {
	stage *stage

	mu                           sync.Mutex
	begun, refused, took, wentOn int
}

// playResume kills an entry, whose callers take their streams up at the others.
func playResume(s *stage) (bool, error) {
	s.putEngineConfig(upgradeModel)
	s.name(upgradeModel, 1)
	streamLength.Store(shortStream)
	for number := range upgradedCount {
		if _, err := s.startUpgraded(number + 1); err != nil {
			return false, err
		}
	}
	var entries []*process
	for number := range resumeEntries {
		p, err := s.startEntry(number + 1)
		if err != nil {
			return false, err
		}
		entries = append(entries, p)
	}
	for number := range resumeEntries {
		if err := s.awaitReady(number + 1); err != nil {
			return false, err
		}
	}
	s.note("all entries are ready")
	settle := 3500 * time.Millisecond // contact_ms, and half a second more
	if text := os.Getenv("REVIEW_SETTLE_S"); text != "" {
		seconds, _ := strconv.Atoi(text)
		settle = time.Duration(seconds) * time.Second
	}
	time.Sleep(settle)
	r := &resumed{stage: s}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for caller := range resumeCallers {
		wg.Go(func() { r.call(caller, stop) })
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		s.note("SIGKILL to edge-1")
		entries[0].kill()
	}
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	return r.judge()
}

// call sends streams one after the other, and takes up those that break off.
func (r *resumed) call(caller int, stop <-chan struct{}) {
	time.Sleep(rand.N(time.Second)) // callers don't keep step
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("%04x%012x", caller, n)
		status, last, whole := r.send(1, id, "", 0)
		r.mu.Lock()
		if status == http.StatusOK {
			r.begun++
		} else {
			r.refused++
		}
		r.mu.Unlock()
		if status != http.StatusOK || whole || last == 0 {
			if status != http.StatusOK {
				return
			}
			continue
		}
		r.takeUp(caller, id, last)
		return
	}
}

// takeUp tries to go on with a stream at the other entries.
func (r *resumed) takeUp(caller int, id string, last int) {
	r.stage.note("stream %s broke off after piece %d", id, last)
	went := false
	for try := range resumeTries {
		entry := 2 + (caller+try)%(resumeEntries-1)
		status, reached, _ := r.send(entry, fmt.Sprintf("%s-%d", id, try+1), id, last)
		r.stage.note("stream %s taken up at edge-%d: status %d, up to piece %d", id, entry, status, reached)
		if went = status == http.StatusOK; went {
			break
		}
		time.Sleep(400 * time.Millisecond) // Retry-After says 0.3 s
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.took++
	if went {
		r.wentOn++
	}
}

// send sends a request and returns the status, the last complete piece, and whether the stream was whole.
func (r *resumed) send(entry int, id, begun string, last int) (status, reached int, whole bool) {
	s := r.stage
	req, err := http.NewRequest(http.MethodPost, "http://"+s.address(1, entry, frontendPort)+"/puxa400/2f", strings.NewReader("prompt"))
	if err != nil {
		return 0, 0, false
	}
	req.Host = hostName
	req.Header.Set("X-Rillreach-Attempt-Id", id)
	req.Header.Set("X-Rillreach-Model", upgradeModel)
	req.Header.Set("X-Rillreach-Token-Usage", "1460,80")
	req.Header.Set("X-Rillreach-Prompt-Prefix", "5c1e07a2:800,"+id[4:12]+":410,"+id[:4]+":250")
	req.Header.Set("X-Rillreach-Deadline-Ms", "12000")
	req.Header.Set("Authorization", "Bearer "+key)
	if begun != "" {
		req.Header.Set("Resumes", begun)
		req.Header.Set("Last-Event-Id", strconv.Itoa(last))
	}
	resp, err := (&http.Client{Timeout: 13 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, 0, false
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	number := 0
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			number, _ = strconv.Atoi(text)
		}
		if lines.Text() == "" {
			reached = number
		}
	}
	return resp.StatusCode, reached, lines.Err() == nil && reached == shortStream
}

// judge compares the share of streams that go on with the share of new ones that begin.
func (r *resumed) judge() (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stage.note("%d new streams began, %d did not; %d were taken up, %d of them went on", r.begun, r.refused, r.took, r.wentOn)
	if r.begun == 0 {
		return false, errors.New("no stream began")
	}
	if r.took < 12 {
		return false, nil
	}
	begin := float64(r.begun) / float64(r.begun+r.refused)
	return float64(r.wentOn)/float64(r.took) < begin/2, nil
}

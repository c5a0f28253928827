//go:build review

package play

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

const (
	memoryLimitMB = 284
	// linkBytes is what an edge machine's link carries in a second (link_mbps 1000).
	linkBytes = 1000 * 1000 * 1000 / 8
	// burstInterval is the time between two writes at that rate.
	burstInterval = 10 * time.Millisecond
)

// headlessRuns records which runner began which request, and sends bytes that are no answer for some requests.
type headlessRuns struct {
	trouble bool
	mu      sync.Mutex
	begun   map[string]*plainRunner
	faulty  int
}

// serve answers after some time. The first runner spoils one answer: it sends bytes without a line end.
func (h *headlessRuns) serve(p *plainRunner, w http.ResponseWriter, r *http.Request) {
	const work = 400 * time.Millisecond
	id := site.RequestID(r)
	h.mu.Lock()
	h.begun[id] = p
	spoils := h.trouble && h.faulty == 0 && p.id == "i-app-1" && strings.HasPrefix(id, "late")
	if spoils {
		h.faulty++
	}
	h.mu.Unlock()
	p.world.record("%s runs %s, spoils the answer: %t", p.id, id, spoils)
	if spoils {
		sendNoAnswer(p, w)
		return
	}
	if sleep(r.Context(), work) {
		site.WriteResponse(w, r, "hello")
	}
}

// sendNoAnswer sends bytes that are no answer, no faster than the link, until the connection ends.
func sendNoAnswer(p *plainRunner, w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		p.world.record("%s cannot spoil the answer: %v", p.id, err)
		return
	}
	defer func() { _ = conn.Close() }()
	data := bytes.Repeat([]byte{'x'}, linkBytes/int(time.Second/burstInterval))
	sent := 0
	for begun := time.Now(); ; {
		n, err := conn.Write(data)
		sent += n
		if err != nil {
			p.world.record("%s has sent %d MB that are no answer in %s: %v", p.id, sent>>20, time.Since(begun).Round(time.Millisecond), err)
			return
		}
		time.Sleep(time.Until(begun.Add(time.Duration(float64(sent) / linkBytes * float64(time.Second)))))
	}
}

// playHeadless has one of four runners spoil one answer. No more than three requests from kept connections that were handed to
// a sound runner may end without an answer.
func playHeadless(w *world, trouble bool) ([]string, error) {
	const runners, callers, perCaller = 4, 24, 40
	runs := &headlessRuns{trouble: trouble, begun: map[string]*plainRunner{}}
	w.store.Put("config", "main", plainConfig(1, "non_idempotent", false))
	for i := range byte(runners) {
		p, err := w.addPlain(i+1, "1.0", runs.serve)
		if err != nil {
			return nil, err
		}
		defer p.end()
	}
	edge, err := w.startProcesses(nil)
	if err != nil {
		return nil, err
	}
	stop := w.watchMemory(edge)
	var mu sync.Mutex
	var lost []string
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := range perCaller {
				id := fmt.Sprintf("early%d-%d", i, n)
				if n >= perCaller/4 {
					id = fmt.Sprintf("late%d-%d", i, n)
				}
				if kept, answered := w.post(client, edge, id); !kept || answered || !runs.atSound(id) {
					continue
				}
				mu.Lock()
				lost = append(lost, fmt.Sprintf("LOST: %s, sent on a kept connection and begun by a sound runner, ends without an answer", id))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	stop()
	const allowed = 3
	if len(lost) <= allowed {
		return nil, nil
	}
	return lost, nil
}

// atSound reports whether a sound runner has begun the request.
func (h *headlessRuns) atSound(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.begun[id]
	return p != nil && p.id != "i-app-1"
}

// watchMemory kills a process that goes over its memory, as the platform does, and starts it again.
func (w *world) watchMemory(p *process) (stop func()) {
	const interval, startDelay = 20 * time.Millisecond, 300 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		largest := 0
		for sleep(ctx, interval) {
			used := p.residentMB()
			largest = max(largest, used)
			if used <= memoryLimitMB {
				continue
			}
			w.record("%s uses %d MB, over its memory_mb of %d, and is killed", p.name, used, memoryLimitMB)
			p.kill()
			time.Sleep(startDelay)
			if err := p.start(); err != nil {
				w.record("%s does not start: %v", p.name, err)
			}
		}
		w.record("%s has used %d MB at most", p.name, largest)
	})
	return func() {
		cancel()
		wg.Wait()
	}
}

// residentMB returns the resident memory of the process.
func (p *process) residentMB() int {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * syscall.Getpagesize() >> 20
}

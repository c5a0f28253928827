//go:build review

package play

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

const (
	// halfBody is the first half of an answer, and otherHalf the rest.
	halfBody, otherHalf = "first half, ", "second half"
	// halfTime is the time between the two.
	halfTime = 3 * time.Second
)

// unframed serves answers that have neither a length nor chunks and end with their connections.
type unframed struct {
	mu    sync.Mutex
	conns map[string]map[net.Conn]bool
}

func (u *unframed) serve(p *plainRunner, w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		p.world.record("%s cannot take the connection: %v", p.id, err)
		return
	}
	defer func() { _ = conn.Close() }()
	u.mu.Lock()
	if u.conns[p.id] == nil {
		u.conns[p.id] = map[net.Conn]bool{}
	}
	u.conns[p.id][conn] = true
	u.mu.Unlock()
	p.world.record("%s runs %s", p.id, site.RequestID(r))
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Rillreach-Attempt-Id: %s\r\nX-Rillreach-Response-Seal: sealed\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s",
		site.RequestID(r), halfBody)
	time.Sleep(halfTime)
	_, _ = io.WriteString(conn, otherHalf)
}

// crash ends the connections of a runner's answers, as the end of its process does.
func (u *unframed) crash(p *plainRunner) {
	p.end()
	u.mu.Lock()
	defer u.mu.Unlock()
	for conn := range u.conns[p.id] {
		_ = conn.Close()
	}
}

// playReborn has a runner crash in the middle of its answers and start again under its id, behind a cut of its link to the entry
// or, without the disruption, without one. No caller may get half of an answer that looks whole.
func playReborn(w *world, trouble bool) ([]string, error) {
	const (
		runners, callers     = 5, 30
		untilCut, untilCrash = time.Second, 300 * time.Millisecond
		down, untilHealed    = 1200 * time.Millisecond, 600 * time.Millisecond
		// listedAfter is how long after the cut a runner writes its entry: its next heartbeat.
		listedAfter = 300 * time.Millisecond
	)
	u := &unframed{conns: map[string]map[net.Conn]bool{}}
	w.store.Put("config", "main", plainConfig(1, "non_idempotent", false))
	var all []*plainRunner
	for i := range byte(runners) {
		p, err := w.addPlain(i+1, "1.0", u.serve)
		if err != nil {
			return nil, err
		}
		defer p.end()
		all = append(all, p)
	}
	reborn := all[0]
	link, err := newCutLink(w.address(4, 1).String()+":8080", reborn.at.String())
	if err != nil {
		return nil, err
	}
	defer func() { _ = link.listener.Close() }()
	reborn.listed = link.listener.Addr().String()
	reborn.enter()
	edge, err := w.startProcesses(nil)
	if err != nil {
		return nil, err
	}
	answers := w.askAll(edge, callers)
	time.Sleep(untilCut)
	heal := func() {}
	if trouble {
		heal = link.cut()
		w.record("the link to %s is cut", reborn.id)
	}
	time.Sleep(untilCrash)
	u.crash(reborn)
	time.Sleep(down)
	if err := reborn.start("1.0"); err != nil {
		return nil, err
	}
	time.Sleep(untilHealed)
	heal()
	w.record("the link to %s is whole", reborn.id)
	time.AfterFunc(listedAfter, reborn.enter)
	var broken []string
	for id, a := range answers() {
		if a.status == http.StatusOK && a.body != halfBody+otherHalf {
			broken = append(broken, fmt.Sprintf("MIXED: the answer to %s looks whole and is %q", id, a.body))
		}
	}
	return broken, nil
}

// askAll has callers send a request each. The returned function waits for the answers.
func (w *world) askAll(edge *process, callers int) (wait func() map[string]answer) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	answers := map[string]answer{}
	for i := range callers {
		wg.Go(func() {
			id := fmt.Sprintf("h%d", i)
			a := w.ask(edge, id)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = a
		})
	}
	return func() map[string]answer {
		wg.Wait()
		return answers
	}
}

//go:build review

package play

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// begunStream is a stream of which a caller has a part.
type begunStream struct {
	id, lastEvent string
	whole         bool
}

// playTakenUp has streams break off, and their callers take them up some seconds later. The streams break off because all
// processes of the system are killed at once or, without the disruption, because their callers close their connections. Of the
// streams that are taken up, the share that goes on may not be under half of the share of new streams that begin.
func playTakenUp(w *world, trouble bool) ([]string, error) {
	const (
		perVersion, engines, callers = 2, 3, 24
		events                       = 150
		interval                     = 50 * time.Millisecond
		before                       = 3 * time.Second
		// pause is longer than contact_ms, so that all machines are in touch again.
		pause = contact + 1500*time.Millisecond
	)
	w.store.Put("config", "main", withEngines(plainConfig(1, "streaming", true)))
	w.store.Put("versions", "m", map[string]any{"model": "m", "version": 1})
	for i := range byte(2 * perVersion) {
		p, err := w.addPlain(i+1, "1.0", streamVersioned(events, interval))
		if err != nil {
			return nil, err
		}
		defer p.end()
	}
	var all []*multiEngine
	for i := range byte(engines) {
		e := w.addEngine(i+1, "m")
		defer e.server.Close()
		all = append(all, e)
	}
	first, err := w.startProcesses(all)
	if err != nil {
		return nil, err
	}
	second, err := w.addEntry(2, w.storeAt)
	if err != nil {
		return nil, err
	}
	time.Sleep(startTime)
	edges := []*process{first, second}
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	streams := w.stream(ctx, edges, "s", make([]begunStream, callers))
	time.Sleep(before)
	if trouble {
		if err := w.killAll(); err != nil {
			return nil, err
		}
	} else {
		leave()
		w.record("the callers have closed their connections")
	}
	begun := streams()
	time.Sleep(pause)
	taken := w.stream(context.Background(), edges, "t", begun)
	fresh := w.stream(context.Background(), edges, "n", make([]begunStream, callers))
	return judgeTakenUp(begun, taken(), fresh()), nil
}

// judgeTakenUp returns what breaks the rule.
func judgeTakenUp(begun, taken, fresh []begunStream) []string {
	const least = 12
	up, goOn, begin := 0, 0, 0
	for i := range taken {
		if begun[i].lastEvent == "" || begun[i].whole {
			continue // its caller has none of it, or all
		}
		up++
		if taken[i].lastEvent != begun[i].lastEvent {
			goOn++
		}
	}
	for _, s := range fresh {
		if s.lastEvent != "" {
			begin++
		}
	}
	shareOn, shareNew := float64(goOn)/float64(max(up, 1)), float64(begin)/float64(len(fresh))
	if up < least || shareOn >= shareNew/2 {
		return nil
	}
	return []string{fmt.Sprintf("LOST: of %d streams that were taken up %d go on, of %d new ones %d begin", up, goOn, len(fresh), begin)}
}

// stream has callers send a stream each, or take it up if they have a part of one. The returned function waits for the ends of
// the answers, and returns what the callers have.
func (w *world) stream(ctx context.Context, edges []*process, prefix string, have []begunStream) (wait func() []begunStream) {
	var wg sync.WaitGroup
	now := make([]begunStream, len(have))
	for i, before := range have {
		wg.Go(func() {
			now[i] = w.tryStream(ctx, edges, fmt.Sprintf("%s%d", prefix, i), i, before)
		})
	}
	return func() []begunStream {
		wg.Wait()
		return now
	}
}

// tryStream sends one stream, a few times in a row at the entries by turns while none of it comes, and returns what its caller
// has at the end.
func (w *world) tryStream(ctx context.Context, edges []*process, id string, first int, before begunStream) begunStream {
	const tries, pause = 4, time.Second
	have := before
	for n := range tries {
		have = w.streamOnce(ctx, edges[(first+n)%len(edges)], fmt.Sprintf("%s-%d", id, n), before)
		if have.lastEvent != before.lastEvent || !sleep(ctx, pause) {
			break
		}
	}
	return have
}

// streamOnce sends one stream, and returns what its caller has at its end.
func (w *world) streamOnce(ctx context.Context, edge *process, id string, before begunStream) begunStream {
	have := begunStream{id: id, lastEvent: before.lastEvent}
	ctx, cancel := context.WithTimeout(ctx, 12*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge.frontend().String()+"/a/x", strings.NewReader("hello"))
	if err != nil {
		return have
	}
	req.Host, req.Close = "shop.example", true
	site.SetRequestID(req, id)
	req.Header.Set("X-Rillreach-Deadline-Ms", "12000")
	req.Header.Set("Authorization", "Bearer key-1")
	if before.id != "" {
		req.Header.Set("Resumes", before.id)
		req.Header.Set("Last-Event-Id", before.lastEvent)
	}
	w.record("a caller sends %s to %s, taking up %q after event %q", id, edge.name, before.id, before.lastEvent)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		w.record("the caller of %s gets no answer: %v", id, err)
		return have
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if event, ok := strings.CutPrefix(lines.Text(), "id: "); ok && resp.StatusCode == http.StatusOK {
			have.lastEvent = event
		}
	}
	have.whole = lines.Err() == nil && resp.StatusCode == http.StatusOK
	w.record("the caller of %s gets %d and has event %q, whole: %t", id, resp.StatusCode, have.lastEvent, have.whole)
	return have
}

//go:build review

package play

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// arrivals records when which runner got which request.
type arrivals struct {
	mu sync.Mutex
	at map[string][]time.Time
}

func (a *arrivals) serve(p *plainRunner, w http.ResponseWriter, r *http.Request) {
	const work = 100 * time.Millisecond
	a.mu.Lock()
	a.at[p.id] = append(a.at[p.id], time.Now())
	a.mu.Unlock()
	p.world.record("%s runs %s", p.id, site.RequestID(r))
	if sleep(r.Context(), work) {
		site.WriteResponse(w, r, "hello")
	}
}

// playUnreadable has another writer put bytes that can't be read into the list of runners, and then a runner say that it is
// draining, which serves on for a while and ends. Later than drain_timeout_ms after that it may get no request.
func playUnreadable(w *world, trouble bool) ([]string, error) {
	const (
		runners, callers       = 4, 12
		drainTimeout, serves   = 2 * time.Second, 8 * time.Second
		beforeDrain, afterward = time.Second, 4 * time.Second
	)
	got := &arrivals{at: map[string][]time.Time{}}
	w.store.Put("config", "main", plainConfig(1, "non_idempotent", false))
	var all []*plainRunner
	for i := range byte(runners) {
		p, err := w.addPlain(i+1, "1.0", got.serve)
		if err != nil {
			return nil, err
		}
		defer p.end()
		all = append(all, p)
	}
	edge, err := w.startProcesses(nil)
	if err != nil {
		return nil, err
	}
	stop := w.keepCalling(edge, callers)
	time.Sleep(beforeDrain)
	if trouble {
		w.store.Put("servers", "a-bad", site.InvalidJSON{})
		w.record("another writer writes bytes that can't be read under servers/a-bad")
	}
	time.Sleep(beforeDrain)
	leaving := all[0]
	leaving.say("draining")
	acknowledged := time.Now()
	time.Sleep(serves)
	leaving.end()
	w.store.Remove("servers", leaving.id)
	time.Sleep(afterward)
	stop()
	got.mu.Lock()
	defer got.mu.Unlock()
	var broken []string
	for _, at := range got.at[leaving.id] {
		if late := at.Sub(acknowledged); late > drainTimeout {
			broken = append(broken, fmt.Sprintf("DRAIN: a request reached %s %s after the store had acknowledged that it is draining", leaving.id, late.Round(time.Millisecond)))
		}
	}
	return broken, nil
}

// keepCalling has callers send one request after the other until it is stopped.
func (w *world) keepCalling(edge *process, callers int) (stop func()) {
	var wg sync.WaitGroup
	stopped := make(chan struct{})
	for i := range callers {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := 0; ; n++ {
				select {
				case <-stopped:
					return
				case <-time.After(50 * time.Millisecond):
				}
				w.post(client, edge, fmt.Sprintf("u%d-%d", i, n))
			}
		})
	}
	return func() {
		close(stopped)
		wg.Wait()
	}
}

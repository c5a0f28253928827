//go:build review

package play

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// spoiler spoils some answers of one runner: they have the head of a success, and neither the runner's seal nor its body.
type spoiler struct {
	trouble bool
	// status is that of the spoiled answers, and spoiled the requests that got them.
	status  int
	mu      sync.Mutex
	runs    int
	spoiled map[string]bool
}

func (s *spoiler) serve(p *plainRunner, w http.ResponseWriter, r *http.Request) {
	const oneIn = 20
	s.mu.Lock()
	s.runs++
	spoils := s.trouble && p.id == "i-app-1" && s.runs%oneIn == 0
	if spoils {
		s.spoiled[site.RequestID(r)] = true
	}
	s.mu.Unlock()
	p.world.record("%s runs %s, spoils the answer: %t", p.id, site.RequestID(r), spoils)
	time.Sleep(20 * time.Millisecond)
	if spoils {
		w.WriteHeader(s.status)
		_, _ = io.WriteString(w, "\x00\x01 wrong bytes")
		return
	}
	site.WriteResponse(w, r, "hello "+site.RequestID(r))
}

// playUnsealed has one of four runners spoil one in twenty of its answers. No caller may get a success without a seal.
func playUnsealed(w *world, trouble bool) ([]string, error) {
	s := &spoiler{trouble: trouble, status: http.StatusOK, spoiled: map[string]bool{}}
	return w.askSpoilt(s, func(id string, a answer) string {
		if a.status/100 != 2 || a.seal != "" && strings.Contains(a.body, id) {
			return ""
		}
		return fmt.Sprintf("MIXED: the caller of %s got %d with seal %q and body %q", id, a.status, a.seal, a.body)
	})
}

// playFalseRefusal is the same with answers that look like a refusal, without the header that says that the request has not
// run. It has run, so that no caller of a request that may not be repeated may get such a status.
func playFalseRefusal(w *world, trouble bool) ([]string, error) {
	s := &spoiler{trouble: trouble, status: http.StatusTooManyRequests, spoiled: map[string]bool{}}
	return w.askSpoilt(s, func(id string, a answer) string {
		if a.status != http.StatusTooManyRequests || !s.hasRun(id) {
			return ""
		}
		return fmt.Sprintf("REFUSED: the caller of %s got %d with seal %q, and it has run", id, a.status, a.seal)
	})
}

func (s *spoiler) hasRun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spoiled[id]
}

// askSpoilt has callers send requests that may not be repeated, and returns what the judge says of their answers.
func (w *world) askSpoilt(s *spoiler, judge func(id string, a answer) string) ([]string, error) {
	const runners, callers, perCaller = 4, 8, 60
	w.store.Put("config", "main", plainConfig(1, "non_idempotent", false))
	for i := range byte(runners) {
		p, err := w.addPlain(i+1, "1.0", s.serve)
		if err != nil {
			return nil, err
		}
		defer p.end()
	}
	edge, err := w.startProcesses(nil)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var broken []string
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for n := range perCaller {
				id := fmt.Sprintf("m%d-%d", i, n)
				if what := judge(id, w.ask(edge, id)); what != "" {
					mu.Lock()
					broken = append(broken, what)
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return broken, nil
}

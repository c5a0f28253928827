//go:build review

package play

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// work is the time in which a runner works on a request.
type work struct {
	runner     string
	after      int
	begun      time.Time
	ended      time.Time
	stillWorks bool
}

// streamRuns records which runner works on which request, and has the streams of one runner pause.
type streamRuns struct {
	world  *world
	mu     sync.Mutex
	paused chan struct{}
	runs   map[string][]*work
	// events is the number of events of a stream, and interval the time between two of them.
	events   int
	interval time.Duration
}

const pausingEngine = "i-llm-1"

// serve streams events after the request's Last-Event-Id.
func (s *streamRuns) serve(e *multiEngine, w http.ResponseWriter, r *http.Request) {
	id := site.RequestID(r)
	from, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	run := &work{runner: e.id, after: from, begun: time.Now(), stillWorks: true}
	s.mu.Lock()
	s.runs[id] = append(s.runs[id], run)
	s.mu.Unlock()
	s.world.record("%s runs %s after event %d", e.id, id, from)
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		run.ended, run.stillWorks = time.Now(), false
		s.world.record("%s ends %s", e.id, id)
	}()
	site.SetSealHeaders(w, r)
	w.Header().Set("Content-Type", site.EventStream)
	for event := from + 1; event <= s.events; event++ {
		if e.id == pausingEngine && !s.awaitPause(r) {
			return
		}
		_, _ = fmt.Fprint(w, site.EventText(event))
		if http.NewResponseController(w).Flush() != nil || !sleep(r.Context(), s.interval) {
			return
		}
	}
}

// awaitPause waits while the streams of the runner pause. It returns false if the connection ends meanwhile.
func (s *streamRuns) awaitPause(r *http.Request) bool {
	s.mu.Lock()
	paused := s.paused
	s.mu.Unlock()
	if paused == nil {
		return true
	}
	select {
	case <-paused:
		return true
	case <-r.Context().Done():
		return false
	}
}

// pause has the streams of the runner pause.
func (s *streamRuns) pause(d time.Duration) {
	ended := make(chan struct{})
	s.mu.Lock()
	s.paused = ended
	s.mu.Unlock()
	s.world.record("the streams of %s pause", pausingEngine)
	time.Sleep(d)
	s.mu.Lock()
	s.paused = nil
	s.mu.Unlock()
	close(ended)
	s.world.record("the streams of %s go on", pausingEngine)
}

// playContinued stops the agent of one runner for some seconds, in which the streams of that runner pause for a moment. Where
// a request continues at another runner, the earlier one may work on it for 400 ms more.
func playContinued(w *world, trouble bool) ([]string, error) {
	const (
		engines, callers  = 4, 40
		before, frozen    = 14 * time.Second, 6500 * time.Millisecond
		untilPause, pause = 3 * time.Second, 1200 * time.Millisecond
	)
	s := &streamRuns{world: w, runs: map[string][]*work{}, events: 60, interval: 50 * time.Millisecond}
	w.store.Put("config", "main", engineConfig(1, "m"))
	w.store.Put("versions", "m", map[string]any{"model": "m", "version": 1})
	var all []*multiEngine
	for i := range byte(engines) {
		e := w.addEngine(i+1, "m")
		defer e.server.Close()
		e.handle = s.serve
		all = append(all, e)
	}
	edge, err := w.startProcesses(all)
	if err != nil {
		return nil, err
	}
	stop := w.keepPrompting(edge, callers)
	time.Sleep(before)
	agent := w.processes[1].cmd.Process
	if trouble {
		_ = agent.Signal(syscall.SIGSTOP)
		w.record("side-1 stands still")
	}
	time.Sleep(untilPause)
	s.pause(pause)
	time.Sleep(frozen - untilPause - pause)
	_ = agent.Signal(syscall.SIGCONT)
	time.Sleep(time.Second)
	stop()
	return s.judge(), nil
}

// judge returns what breaks the rule.
func (s *streamRuns) judge() []string {
	const allowed = 400 * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	var broken []string
	for id, runs := range s.runs {
		for i := 1; i < len(runs); i++ {
			earlier, later := runs[i-1], runs[i]
			end := earlier.ended
			if earlier.stillWorks {
				end = time.Now()
			}
			if over := end.Sub(later.begun); over > allowed {
				broken = append(broken, fmt.Sprintf("TWICE: %s continues at %s after event %d, and %s works on it %s later", id, later.runner, later.after, earlier.runner, over.Round(time.Millisecond)))
			}
		}
	}
	return broken
}

// keepPrompting has callers send one prompt after the other until it is stopped.
func (w *world) keepPrompting(edge *process, callers int) (stop func()) {
	var wg sync.WaitGroup
	stopped := make(chan struct{})
	for i := range callers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * stagger)
			for n := 0; ; n++ {
				select {
				case <-stopped:
					return
				default:
				}
				w.send(edge, call{id: fmt.Sprintf("k%d-%d", i, n), model: "m", key: "key-1", path: "/p/x", conversation: fmt.Sprintf("%04x", i)})
			}
		})
	}
	return func() {
		close(stopped)
		wg.Wait()
	}
}

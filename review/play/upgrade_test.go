//go:build review

package play

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// playUpgrade has two of four runners start again under their ids, one after the other, with other software, or with the same
// without the disruption. Each writes its entry with its first heartbeat. No stream may hold events of two versions.
func playUpgrade(w *world, trouble bool) ([]string, error) {
	const (
		runners, callers, events     = 4, 80, 40
		interval                     = 50 * time.Millisecond
		down, heartbeat, between     = 200 * time.Millisecond, 800 * time.Millisecond, 600 * time.Millisecond
		before, after, versionBefore = 12 * time.Second, 6 * time.Second, "1.0"
	)
	version := versionBefore
	if trouble {
		version = "2.0"
	}
	w.store.Put("config", "main", plainConfig(1, "streaming", true))
	var all []*plainRunner
	for i := range byte(runners) {
		p, err := w.addPlain(i+1, versionBefore, streamVersioned(events, interval))
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
	streams := w.callStreams(edge, callers)
	time.Sleep(before)
	for _, p := range all[:2] {
		p.end()
		time.AfterFunc(down, func() {
			if err := p.start(version); err != nil {
				w.record("%s does not start: %v", p.id, err)
			}
			time.AfterFunc(heartbeat, p.enter)
		})
		time.Sleep(between)
	}
	time.Sleep(after)
	return mixedVersions(streams()), nil
}

// stagger is the time between the first requests of two callers.
const stagger = 25 * time.Millisecond

// callStreams has callers send one stream after the other until the returned function is called, which returns the bodies of
// the answers by the names of the requests.
func (w *world) callStreams(edge *process, callers int) (stop func() map[string]string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	bodies, stopped := map[string]string{}, make(chan struct{})
	for i := range callers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * stagger)
			for n := 0; ; n++ {
				select {
				case <-stopped:
					return
				default:
				}
				id := fmt.Sprintf("s%d-%d", i, n)
				_, body := w.send(edge, call{id: id, key: "key-1", path: "/a/x"})
				mu.Lock()
				bodies[id] = body
				mu.Unlock()
			}
		})
	}
	return func() map[string]string {
		close(stopped)
		wg.Wait()
		return bodies
	}
}

// mixedVersions returns what breaks the rule: more than two streams with events of two versions.
func mixedVersions(bodies map[string]string) []string {
	const allowed = 2
	var mixed []string
	for id, body := range bodies {
		if strings.Contains(body, " of 1.0") && strings.Contains(body, " of 2.0") {
			mixed = append(mixed, fmt.Sprintf("ORDER: the answer to %s holds events of software 1.0 and 2.0", id))
		}
	}
	if len(mixed) <= allowed {
		return nil
	}
	return mixed
}

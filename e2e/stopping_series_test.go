package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	seriesEntries = 4
	// seriesApart is what lies between two signals, as in issue 17.
	seriesApart = 730 * time.Millisecond
	// seriesBefore is how many requests run before the first signal, streams at each entry among them.
	seriesBefore = 60
	// askEvery and missesOut are the users' balancer's.
	askEvery  = time.Second
	missesOut = 2
	// mostUnconnected is the share of requests that may find no process, of which one of four at a time starts again.
	mostUnconnected = 0.1
)

// balancer deals new connections to entries as the users' platform does: it asks each every second whether it is ready, takes
// it out after two misses in a row until it says so again, and uses all when under half are in.
type balancer struct {
	entries []*stopEntry

	mu     sync.Mutex
	misses []int
	next   int
}

func newBalancer(ctx context.Context, entries []*stopEntry) *balancer {
	b := &balancer{entries: entries, misses: make([]int, len(entries))}
	for i := range entries {
		go b.watch(ctx, i)
	}
	return b
}

func (b *balancer) watch(ctx context.Context, i int) {
	client := &http.Client{Timeout: askEvery, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(askEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		resp, err := client.Get("http://" + b.entries[i].ready + "/ready")
		if err == nil {
			_ = resp.Body.Close()
		}
		b.note(i, err == nil && resp.StatusCode == http.StatusOK)
	}
}

func (b *balancer) note(i int, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.misses[i]++
	if ready {
		b.misses[i] = 0
	}
}

// pick chooses the entry of a new connection.
func (b *balancer) pick() *stopEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*stopEntry
	for i, misses := range b.misses {
		if misses < missesOut {
			in = append(in, b.entries[i])
		}
	}
	if 2*len(in) < len(b.entries) {
		in = b.entries
	}
	b.next++
	return in[b.next%len(in)]
}

// restart starts the entry's next process, and notes when it is there.
func (e *stopEntry) restart(t *testing.T, noted *sync.WaitGroup) {
	t.Helper()
	e.start(t)
	e.lives = append(e.lives, e.process)
	noted.Go(func() {
		assert.Eventually(t, func() bool { return status("http://"+e.ready+"/ready") != 0 }, patience, time.Millisecond)
		e.mu.Lock()
		e.back = time.Now()
		e.mu.Unlock()
	})
}

// stopInSeries sends SIGTERM to all entries, one after another, starts each again when it has ended, and changes the
// configuration and sends SIGHUP in between.
func stopInSeries(t *testing.T, s *stopSite, entries []*stopEntry) {
	t.Helper()
	ended := make(chan *stopEntry, len(entries))
	begin := time.Now()
	for i, e := range entries {
		<-time.After(time.Until(begin.Add(time.Duration(i) * seriesApart)))
		told := e.terminate()
		go func() {
			<-told
			ended <- e
		}()
		if i == len(entries)/2 {
			s.configure(2)
			for _, other := range entries {
				other.lives[0].signal(syscall.SIGHUP)
			}
		}
	}
	var noted sync.WaitGroup
	for range entries {
		e := <-ended
		e.restart(t, &noted)
	}
	noted.Wait()
}

// TestStopInSeries stops all four entries of a zone within 2.2 s while callers come all the time.
func TestStopInSeries(t *testing.T) {
	t.Parallel()
	const events = 44 // 4.4 s
	s := newStopSite(t, events)
	var entries []*stopEntry
	for i := range seriesEntries {
		// Each has a host of its own, so that no connection of the test can have taken its port when it starts again.
		entries = append(entries, s.entry(t, fmt.Sprintf("127.0.0.%d", 11+i)))
	}
	b := newBalancer(t.Context(), entries)
	l := newLedger(t, events)
	l.everyNew(20*time.Millisecond, 0, plainRoute, b.pick)
	l.everyNew(60*time.Millisecond, 0, streamRoute, b.pick)
	for range seriesEntries {
		l.keep(40*time.Millisecond, plainRoute, b.pick)
	}
	require.Eventually(t, func() bool { return len(s.ran()) >= seriesBefore }, patience, 5*time.Millisecond, "requests run at all entries")
	stopInSeries(t, s, entries)
	close(l.leave) // what runs now runs at entries that don't stop
	l.end()

	assertKept(t, s, l)
	t.Run("every connection is taken while there is a process", func(t *testing.T) { assertDoorOpen(t, l) })
	t.Run("few requests find no process", func(t *testing.T) {
		all := l.those(func(*attempt) bool { return true })
		failed := l.those(func(a *attempt) bool { return a.how == unconnected || a.how == unanswered && !a.again })
		assert.LessOrEqual(t, float64(len(failed))/float64(len(all)), mostUnconnected, "%d of %d", len(failed), len(all))
	})
	t.Run("each process ends by itself within its grace, and the next one serves", func(t *testing.T) {
		for _, e := range entries {
			assertEnded(t, e)
			e.awaitReady(t)
		}
	})
	t.Run("the configuration changed and settings were read again while they stopped", func(t *testing.T) {
		for _, e := range entries[:seriesEntries/2] {
			_, stopping, _ := strings.Cut(e.lives[0].text(), `"msg":"stopping"`)
			assert.Contains(t, stopping, `"version":2`)
			assert.Contains(t, stopping, "settings read again")
		}
	})
}

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
	seriesEntryCount = 4
	// signalInterval is the time between the signals to two entries.
	signalInterval = 730 * time.Millisecond
	// minRequestsBeforeStop is the number of requests that must reach the runner before the first signal, so that
	// streams run at each entry.
	minRequestsBeforeStop = 60
	// readinessInterval and maxMisses are the settings of the users' load balancer.
	readinessInterval = time.Second
	maxMisses         = 2
	// maxFailedShare bounds the share of requests that may find no process, since one entry of four may be restarting
	// at a time.
	maxFailedShare = 0.1
)

// balancer distributes new connections to entries as the load balancer of the users' platform does. It checks the
// readiness of each entry once a second, removes an entry after two failed checks in a row until a check succeeds, and
// uses all entries if fewer than half are available.
type balancer struct {
	entries []*stopEntry

	mu     sync.Mutex
	misses []int
	next   int
}

func newBalancer(ctx context.Context, entries []*stopEntry) *balancer {
	b := &balancer{entries: entries, misses: make([]int, len(entries))}
	for i := range entries {
		go b.probe(ctx, i)
	}
	return b
}

func (b *balancer) probe(ctx context.Context, i int) {
	client := &http.Client{Timeout: readinessInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		resp, err := client.Get("http://" + b.entries[i].readinessAddress + "/ready")
		if err == nil {
			_ = resp.Body.Close()
		}
		b.recordProbe(i, err == nil && resp.StatusCode == http.StatusOK)
	}
}

func (b *balancer) recordProbe(i int, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.misses[i]++
	if ready {
		b.misses[i] = 0
	}
}

// pick returns the entry for a new connection.
func (b *balancer) pick() *stopEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var available []*stopEntry
	for i, misses := range b.misses {
		if misses < maxMisses {
			available = append(available, b.entries[i])
		}
	}
	if 2*len(available) < len(b.entries) {
		available = b.entries
	}
	b.next++
	return available[b.next%len(available)]
}

// restart starts the next process of the entry and records when it answers.
func (e *stopEntry) restart(t *testing.T, ready *sync.WaitGroup) {
	t.Helper()
	e.start(t)
	e.processes = append(e.processes, e.process)
	ready.Go(func() {
		assert.Eventually(t, func() bool { return getStatus("http://"+e.readinessAddress+"/ready") != 0 }, waitTimeout, time.Millisecond)
		e.mu.Lock()
		e.restartedAt = time.Now()
		e.mu.Unlock()
	})
}

// stopInSeries sends SIGTERM to all entries one after another and restarts them as they exit. Halfway it changes the
// configuration and sends SIGHUP to all entries.
func stopInSeries(t *testing.T, s *stopSite, entries []*stopEntry) {
	t.Helper()
	ended := make(chan *stopEntry, len(entries))
	begin := time.Now()
	for i, e := range entries {
		<-time.After(time.Until(begin.Add(time.Duration(i) * signalInterval)))
		exited := e.terminate()
		go func() {
			<-exited
			ended <- e
		}()
		if i == len(entries)/2 {
			s.putConfig(2)
			for _, other := range entries {
				other.processes[0].signal(syscall.SIGHUP)
			}
		}
	}
	var ready sync.WaitGroup
	for range entries {
		e := <-ended
		e.restart(t, &ready)
	}
	ready.Wait()
}

// TestStopAllEntriesInSeries guards against requests lost when all four entries of an availability zone are stopped
// within 2.2 s under constant load.
func TestStopAllEntriesInSeries(t *testing.T) {
	t.Parallel()
	const events = 44 // 4.4 s
	s := newStopSite(t, events)
	var entries []*stopEntry
	for i := range seriesEntryCount {
		// Each entry has its own IP address, so that no connection of the test can occupy its port when it restarts.
		entries = append(entries, s.startEntry(t, fmt.Sprintf("127.0.0.%d", 11+i)))
	}
	b := newBalancer(t.Context(), entries)
	l := newAttemptLog(t, events)
	l.sendOnNewConns(20*time.Millisecond, 0, plainRoute, b.pick)
	l.sendOnNewConns(60*time.Millisecond, 0, streamRoute, b.pick)
	for range seriesEntryCount {
		l.sendOnKeepAliveConn(40*time.Millisecond, plainRoute, b.pick)
	}
	require.Eventually(t, func() bool { return len(s.receivedRequests()) >= minRequestsBeforeStop }, waitTimeout, 5*time.Millisecond, "requests are running at all entries")
	stopInSeries(t, s, entries)
	close(l.hangUp) // requests that still run are at entries that are not stopping
	l.finish()

	assertStopGuarantees(t, s, l)
	t.Run("every connection is accepted while a process is running", func(t *testing.T) { assertAcceptsConnections(t, l) })
	t.Run("few requests find no process", func(t *testing.T) {
		all := l.filter(func(*attempt) bool { return true })
		failed := l.filter(func(a *attempt) bool { return a.result == dialFailed || a.result == unanswered && !a.reusedConn })
		assert.LessOrEqual(t, float64(len(failed))/float64(len(all)), maxFailedShare, "%d of %d", len(failed), len(all))
	})
	t.Run("each process exits within its grace period, and the next one serves", func(t *testing.T) {
		for _, e := range entries {
			assertExitedInGrace(t, e)
			e.awaitReady(t)
		}
	})
	t.Run("stopping entries apply a new configuration and reload their settings", func(t *testing.T) {
		for _, e := range entries[:seriesEntryCount/2] {
			_, stopping, _ := strings.Cut(e.processes[0].logText(), `"msg":"stopping"`)
			assert.Contains(t, stopping, `"version":2`)
			assert.Contains(t, stopping, "settings read again")
		}
	})
}

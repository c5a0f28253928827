package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// probeInterval is the interval between readiness probes of each entry, and probeTimeout is the timeout of a probe.
	probeInterval = time.Second
	probeTimeout  = time.Second
	// maxFailedProbes is the number of consecutive failed probes after which an entry gets no new connections.
	maxFailedProbes = 2
	// dialTimeout is the timeout for opening a connection.
	dialTimeout = time.Second
)

// balancer assigns each new connection to an entry, as the platform does.
type balancer struct {
	entries []*entry

	mu           sync.Mutex
	failedProbes []int
}

func newBalancer(entries []*entry) *balancer {
	return &balancer{entries: entries, failedProbes: make([]int, len(entries))}
}

// run probes the entries until stop is closed.
func (b *balancer) run(stop <-chan struct{}) {
	var wg sync.WaitGroup
	for i := range b.entries {
		wg.Go(func() {
			ticker := time.NewTicker(probeInterval)
			defer ticker.Stop()
			for {
				b.probe(i)
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
			}
		})
	}
	wg.Wait()
}

func (b *balancer) probe(i int) {
	e := b.entries[i]
	current := e.currentLifetime()
	ready := probeReady(e)
	if ready {
		e.recordReady(current)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if ready {
		b.failedProbes[i] = 0
		return
	}
	b.failedProbes[i]++
}

// pick chooses a random entry among the healthy ones, or among all entries if less than half are healthy.
func (b *balancer) pick() *entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*entry
	for i, e := range b.entries {
		if b.failedProbes[i] < maxFailedProbes {
			in = append(in, e)
		}
	}
	if 2*len(in) < len(b.entries) {
		in = b.entries
	}
	return in[rand.IntN(len(in))]
}

// dialEntry opens a connection to an entry.
func dialEntry(ctx context.Context, e *entry) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", e.callerAddress)
}

func probeReady(e *entry) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.readinessAddress+"/ready", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := probeClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// probeClient opens a new connection for each probe, so that no response comes from an earlier process.
var probeClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

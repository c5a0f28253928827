package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// faultRestore is drawn by itself, beside those of restoreFaults.
const faultRestore fault = "store comes back from a copy"

// restoreFaults are the faults beside which changes are in force in time all the same, and nothing goes back.
var restoreFaults = []fault{
	faultRestore, faultRestore, faultRestore, faultNewVersion, faultNewVersion, faultRemoveKey, faultWeights, faultNames, faultLeave, faultCrash, faultEngine,
	faultKill, faultPause, faultAgentKill, faultStoreMute, faultForget,
}

const (
	// awayFor is how long the store is away before it comes back from a copy.
	awayFor = 300 * time.Millisecond
	// askEvery is how often each entry is asked for the newest route.
	askEvery = 250 * time.Millisecond
	// applyWithin is how soon after its acknowledgement a configuration is in force.
	applyWithin = 2 * time.Second
	// unknownProbeKey is held by no account, so that a request with it ends at the entry: 401 where its route is known, 404 where it isn't.
	unknownProbeKey = "key-of-nobody"
)

// injectRestore takes a copy of the store and has the store come back from it after a time; what that loses is written again soon after.
func (w *world) injectRestore(a action) {
	if !w.restoring.TryLock() {
		return
	}
	copied := w.store.Snapshot()
	w.later(a.For, func() {
		defer w.restoring.Unlock()
		writeAgain := time.Duration(a.Which%int(applyWithin.Milliseconds())) * time.Millisecond
		for _, e := range w.entries {
			w.cutOff(e, awayFor+writeAgain)
		}
		w.store.FailWithStatus(http.StatusServiceUnavailable)
		time.Sleep(awayFor)
		lost := w.store.Snapshot()
		w.store.Restore(copied)
		w.store.FailWithStatus(0)
		time.Sleep(writeAgain)
		w.store.ReapplyLost(lost)
	})
}

// probe is what one entry said of the route that a configuration brought.
type probe struct {
	Entry   int
	Version int
	Acked   time.Time
	At      time.Time
	Status  int
}

// prober asks each entry for the route of the newest configuration that has to be in force.
type prober struct {
	world *world
	mu    sync.Mutex
	seen  []probe
}

func (p *prober) run(stop <-chan struct{}) {
	client := &http.Client{Timeout: applyWithin, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(askEvery)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for _, e := range p.world.entries {
			p.ask(client, e)
		}
	}
}

// ask asks one entry; one that gives no answer says nothing.
func (p *prober) ask(client *http.Client, e *entry) {
	now := time.Now()
	version, acked := p.world.versionBefore(now.Add(-applyWithin))
	if version == 0 {
		return
	}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, fmt.Sprintf("http://%s/%s/x", e.callers, versionRoute(version)), http.NoBody)
	if err != nil {
		return
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+unknownProbeKey)
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if now, _ := p.world.versionBefore(time.Now()); now != version {
		return // a newer one has taken its route's place meanwhile
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen = append(p.seen, probe{Entry: e.number, Version: version, Acked: acked, At: now, Status: resp.StatusCode})
}

// versionRoute is the name of the route that the configurations from a version on have, until a newer one takes its place.
func versionRoute(version int) string { return fmt.Sprintf("version-%d", version) }

// versionBefore is the newest version that was acknowledged before a moment and that no other has replaced since, zero where there is none.
func (w *world) versionBefore(then time.Time) (version int, acked time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.versionAt.After(then) {
		return 0, time.Time{}
	}
	return w.version, w.versionAt
}

// judgeProbes finds entries that didn't know a route long after its configuration was acknowledged.
func (r *record) judgeProbes(add func(string, ...any)) {
	for _, p := range r.Probes {
		if p.Status == http.StatusNotFound && !r.outOfTouch(&call{Entry: p.Entry, Sent: p.At}, p.At) {
			add("entry %d doesn't know configuration %d, %s after its acknowledgement", p.Entry, p.Version, p.At.Sub(p.Acked))
		}
	}
}

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
	faultRestore, faultRestore, faultRestore, faultNewVersion, faultNewVersion, faultRemoveKey, faultWeights, faultWeightsBurst, faultLeave, faultCrash, faultEngineCrash,
	faultKill, faultPause, faultAgentKill, faultStoreSilent, faultStoreForget,
}

const (
	// storeDownDuration is how long the store is away before it comes back from a copy.
	storeDownDuration = 300 * time.Millisecond
	// routeProbeInterval is how often each entry is asked for the newest route.
	routeProbeInterval = 250 * time.Millisecond
	// configDeadline is how soon after its acknowledgement a configuration is in force.
	configDeadline = 2 * time.Second
	// unknownKey is held by no account, so that a request with it ends at the entry: 401 where its route is known, 404 where it isn't.
	unknownKey = "key-of-nobody"
)

// injectRestore takes a copy of the store and has the store come back from it after a time; what that loses is written again soon after.
func (w *cluster) injectRestore(a action) {
	if !w.restoreMu.TryLock() {
		return
	}
	copied := w.store.Copy()
	w.schedule(a.Duration, func() {
		defer w.restoreMu.Unlock()
		writeAgain := time.Duration(a.Target%int(configDeadline.Milliseconds())) * time.Millisecond
		for _, e := range w.entries {
			w.recordStoreOutage(e, storeDownDuration+writeAgain)
		}
		w.store.Fail(http.StatusServiceUnavailable)
		time.Sleep(storeDownDuration)
		lost := w.store.Copy()
		w.store.Restore(copied)
		w.store.Fail(0)
		time.Sleep(writeAgain)
		w.store.WriteAgain(lost)
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
	world  *cluster
	mu     sync.Mutex
	probes []probe
}

func (p *prober) run(stop <-chan struct{}) {
	client := &http.Client{Timeout: configDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(routeProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for _, e := range p.world.entries {
			p.probe(client, e)
		}
	}
}

// probe asks one entry; one that gives no answer says nothing.
func (p *prober) probe(client *http.Client, e *entry) {
	now := time.Now()
	version, acked := p.world.versionInForce(now.Add(-configDeadline))
	if version == 0 {
		return
	}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, fmt.Sprintf("http://%s/%s/x", e.callerAddress, versionRoute(version)), http.NoBody)
	if err != nil {
		return
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+unknownKey)
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if now, _ := p.world.versionInForce(time.Now()); now != version {
		return // a newer one has taken its route's place meanwhile
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probes = append(p.probes, probe{Entry: e.number, Version: version, Acked: acked, At: now, Status: resp.StatusCode})
}

// versionRoute is the name of the route that the configurations from a version on have, until a newer one takes its place.
func versionRoute(version int) string { return fmt.Sprintf("version-%d", version) }

// versionInForce is the newest version that was acknowledged before a moment and that no other has replaced since, zero where there is none.
func (w *cluster) versionInForce(then time.Time) (version int, acked time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.versionAckedAt.After(then) {
		return 0, time.Time{}
	}
	return w.configVersion, w.versionAckedAt
}

// checkProbes finds entries that didn't know a route long after its configuration was acknowledged.
func (r *observations) checkProbes(add func(string, ...any)) {
	for _, p := range r.Probes {
		if p.Status == http.StatusNotFound && !r.entryDisconnected(&callRecord{Entry: p.Entry, SentAt: p.At}, p.At) {
			add("entry %d doesn't know configuration %d, %s after its acknowledgement", p.Entry, p.Version, p.At.Sub(p.Acked))
		}
	}
}

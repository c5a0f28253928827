package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// faultRestore is drawn only together with the other restoreFaults.
const faultRestore fault = "store comes back from a copy"

// restoreFaults are the faults under which changes must take effect in time and must not be reverted.
var restoreFaults = []fault{
	faultRestore, faultRestore, faultRestore, faultNewVersion, faultNewVersion, faultRemoveKey, faultWeights, faultWeightsBurst, faultLeave, faultCrash, faultEngineCrash,
	faultKill, faultPause, faultAgentKill, faultStoreSilent, faultStoreForget,
}

const (
	// storeDownDuration is how long the store is unavailable before it is restored from a copy.
	storeDownDuration = 300 * time.Millisecond
	// routeProbeInterval is the interval at which each entry is asked for the newest route.
	routeProbeInterval = 250 * time.Millisecond
	// configDeadline is the time after its acknowledgement by which a configuration is in force.
	configDeadline = 2 * time.Second
	// unknownKey belongs to no account, so that the entry answers a request with it itself: with 401 if it knows the
	// route, with 404 otherwise.
	unknownKey = "key-of-nobody"
)

// injectRestore copies the store and restores it from the copy later. Soon after that, the changes that the restore
// lost are written again.
func (c *cluster) injectRestore(a action) {
	if !c.restoreMu.TryLock() {
		return
	}
	copied := c.store.Snapshot()
	c.schedule(a.Duration, func() {
		defer c.restoreMu.Unlock()
		rewriteAfter := time.Duration(a.Target%int(configDeadline.Milliseconds())) * time.Millisecond
		for _, e := range c.entries {
			c.recordStoreOutage(e, storeDownDuration+rewriteAfter)
		}
		c.store.FailWithStatus(http.StatusServiceUnavailable)
		time.Sleep(storeDownDuration)
		current := c.store.Snapshot()
		c.store.Restore(copied)
		c.store.FailWithStatus(0)
		time.Sleep(rewriteAfter)
		c.store.ReapplyLost(current)
	})
}

// probe is an entry's answer about the route that a configuration added.
type probe struct {
	Entry   int
	Version int
	Acked   time.Time
	At      time.Time
	Status  int
}

// prober asks each entry for the route of the newest configuration that must be in force.
type prober struct {
	cluster *cluster
	mu      sync.Mutex
	probes  []probe
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
		for _, e := range p.cluster.entries {
			p.probe(client, e)
		}
	}
}

// probe asks one entry. A failed request is ignored.
func (p *prober) probe(client *http.Client, e *entry) {
	now := time.Now()
	version, acked := p.cluster.versionInForce(now.Add(-configDeadline))
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
	if now, _ := p.cluster.versionInForce(time.Now()); now != version {
		return // a newer configuration has replaced the route in the meantime
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probes = append(p.probes, probe{Entry: e.number, Version: version, Acked: acked, At: now, Status: resp.StatusCode})
}

// versionRoute returns the name of the route that a configuration adds. The next version replaces it.
func versionRoute(version int) string { return fmt.Sprintf("version-%d", version) }

// versionInForce returns the current version if it was acknowledged by then, and zero otherwise.
func (c *cluster) versionInForce(then time.Time) (version int, acked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.versionAckedAt.After(then) {
		return 0, time.Time{}
	}
	return c.configVersion, c.versionAckedAt
}

// checkProbes reports entries that did not know a route long after its configuration was acknowledged.
func (r *observations) checkProbes(report func(string, ...any)) {
	for _, p := range r.Probes {
		if p.Status == http.StatusNotFound && !r.entryDisconnected(&callRecord{Entry: p.Entry, SentAt: p.At}, p.At) {
			report("entry %d doesn't know configuration %d, %s after its acknowledgement", p.Entry, p.Version, p.At.Sub(p.Acked))
		}
	}
}

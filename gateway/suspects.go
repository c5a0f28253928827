package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/poison"
	"github.com/rillreach/rillreach/roster"
)

// lazyFingerprint is the fingerprint of a request, worked out once for all its attempts.
type lazyFingerprint struct {
	once        sync.Once
	fingerprint poison.Fingerprint
}

// fingerprint is that of the request, once its body has been read.
func (x *exchange) fingerprint() poison.Fingerprint {
	x.lazyFingerprint.once.Do(func() {
		r := poison.Request{Caller: x.caller(), Method: x.call.Method, Host: x.call.Host, Target: x.call.Target, Body: x.call.Body}
		x.lazyFingerprint.fingerprint = r.Fingerprint()
	})
	return x.lazyFingerprint.fingerprint
}

// caller tells the request's caller apart from others: the client account, or the key that the runner is given where there is none.
func (x *exchange) caller() string {
	if x.account == nil {
		return "key " + x.wire.Key
	}
	return "account " + string(x.account.Name)
}

// crashCount is how many runners have ended under the request.
func (g *Gateway) crashCount(x *exchange) int {
	if g.suspects.Empty() {
		return 0
	}
	return g.suspects.Crashes(g.Clock.Now(), x.fingerprint())
}

// admitsSuspect decides whether a request that has come is sent to a runner at all: a repeat would end one runner after the other, with all that
// others have there.
func (g *Gateway) admitsSuspect(x *exchange) bool {
	if g.suspects.Empty() {
		return true
	}
	verdict := g.suspects.Decide(g.Clock.Now(), x.fingerprint())
	if verdict == poison.VerdictTrial {
		x.trial = true
		g.Log.Info("request tried that runners have ended under", "decision", "trial", "request", x.wire.ID, "fingerprint", x.fingerprint().String())
	}
	return verdict != poison.VerdictQuarantine
}

// isQuarantined reports that so many runners have ended under the request that it isn't sent any more, unless as a trial.
func (g *Gateway) isQuarantined(x *exchange) bool {
	return !g.suspects.Empty() && g.suspects.Quarantined(g.Clock.Now(), x.fingerprint())
}

// mayReachCrashLimit reports that the attempt that runs may be the last that the request is allowed, so that none is made beside it.
func (g *Gateway) mayReachCrashLimit(x *exchange) bool { return g.crashCount(x) >= poison.MaxCrashes-1 }

// recordCrash holds against the request that its runner ended with it under way, and has the other entries told.
func (a *attempt) recordCrash() {
	g, x, t := a.gateway, a.exchange, a.target
	crash := poison.Crash{
		Request: x.fingerprint(), Runner: t.view.ID, Generation: t.view.Generation, Received: a.received, Trial: x.trial,
		Answered: g.suspects.WasAnswered(x.fingerprint()),
	}
	now := g.Clock.Now()
	crashes := append(g.outages.Observe(now, x.service.Name, g.listedRuns(x.service.Name, t.runner), crash), crash)
	g.suspects.Record(now, crashes...)
	g.observedCrashes.Record(now, crashes...)
	g.crashesChanged.Wake()
	g.Log.Info("runner ended under a request", "decision", "suspect", "request", x.wire.ID, "fingerprint", crash.Request.String(), "runner", crash.Runner,
		"generation", crash.Generation, "crashes", g.suspects.Crashes(now, crash.Request))
}

// listedRuns is how many runs of a service are listedRuns, with one that has just ended.
func (g *Gateway) listedRuns(service rillreach.ServiceID, ended *roster.Runner) int {
	group := g.state.Roster.ByService(service)
	if slices.Contains(group, ended) {
		return len(group)
	}
	return len(group) + 1
}

// clearSuspicion remembers that a runner has answered the request, and lifts the suspicion of those like it.
func (g *Gateway) clearSuspicion(x *exchange) {
	now := g.Clock.Now()
	g.reportCleared(x, now, g.suspects.RecordAnswer(now, x.fingerprint()))
}

// recordProgress lifts the suspicion of a request that was answered before and now gets further than those that ended with their runners.
func (g *Gateway) recordProgress(x *exchange, bytes int64) {
	if g.suspects.Empty() {
		return
	}
	now := g.Clock.Now()
	g.reportCleared(x, now, g.suspects.RecordProgress(now, x.fingerprint(), bytes))
}

// reportCleared has the other entries told which crashes no longer count.
func (g *Gateway) reportCleared(x *exchange, now time.Time, cleared []poison.Crash) {
	if len(cleared) == 0 {
		return
	}
	g.observedCrashes.Record(now, cleared...)
	g.crashesChanged.Wake()
	g.Log.Info("request answered that runners had ended under", "decision", "clear", "request", x.wire.ID, "fingerprint", x.fingerprint().String(), "crashes", len(cleared))
}

// applyCrashes takes over what other entries have seen.
func (g *Gateway) applyCrashes(crashes []poison.Crash) {
	if len(crashes) > 0 {
		g.suspects.Record(g.Clock.Now(), crashes...)
	}
}

// suspectCount is how many requests are under suspicion.
func (g *Gateway) suspectCount() float64 {
	suspects, _ := g.suspects.Counts(g.Clock.Now())
	return float64(suspects)
}

// quarantinedCount is how many requests are not sent to runners.
func (g *Gateway) quarantinedCount() float64 {
	_, quarantined := g.suspects.Counts(g.Clock.Now())
	return float64(quarantined)
}

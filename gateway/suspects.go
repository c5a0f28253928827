package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/poison"
	"github.com/rillreach/rillreach/roster"
)

// lazyFingerprint is the fingerprint of a request, computed once for all its attempts.
type lazyFingerprint struct {
	once        sync.Once
	fingerprint poison.Fingerprint
}

// fingerprint returns the fingerprint of the request, whose body must have been read.
func (x *exchange) fingerprint() poison.Fingerprint {
	x.lazyFingerprint.once.Do(func() {
		r := poison.Request{Caller: x.caller(), Method: x.call.Method, Host: x.call.Host, Target: x.call.Target, Body: x.call.Body}
		x.lazyFingerprint.fingerprint = r.Fingerprint()
	})
	return x.lazyFingerprint.fingerprint
}

// caller identifies the request's caller: the client account, or the key that is passed to the runner if there is
// none.
func (x *exchange) caller() string {
	if x.account == nil {
		return "key " + x.wire.APIKey
	}
	return "account " + string(x.account.Name)
}

// crashCount returns the number of runners that have crashed while serving the request.
func (g *Gateway) crashCount(x *exchange) int {
	if g.suspects.Empty() {
		return 0
	}
	return g.suspects.Crashes(g.Clock.Now(), x.fingerprint())
}

// admitsSuspect decides whether a new request may be sent to a runner. Retries of a request that crashes runners would
// end one runner after the other, along with all other requests there, and so would requests with a part that does.
func (g *Gateway) admitsSuspect(x *exchange) bool {
	if g.suspects.Empty() {
		return true
	}
	if g.hasQuarantinedPart(x) {
		return false
	}
	verdict := g.suspects.Decide(g.Clock.Now(), x.fingerprint())
	if verdict == poison.VerdictTrial {
		x.trial = true
		g.Log.Info("request tried that runners have ended under", "decision", "trial", "request", x.wire.ID, "fingerprint", x.fingerprint().String())
	}
	return verdict != poison.VerdictQuarantine
}

// isUnusedTrial reports whether the request is a trial that no runner can have begun, so that it has no result yet.
func (x *exchange) isUnusedTrial() bool { return x.trial && x.sends.runCount() == 0 }

// cancelUnusedTrial lets another request be the trial if this one has ended as a trial without a result.
func (g *Gateway) cancelUnusedTrial(x *exchange) {
	if !x.isUnusedTrial() {
		return
	}
	g.suspects.CancelTrial(x.fingerprint())
	g.Log.Info("trial has reached no runner", "decision", "trial", "request", x.wire.ID, "fingerprint", x.fingerprint().String(), "reason", x.reason)
}

// isQuarantined reports whether so many runners have crashed while serving the request, or requests with one of its parts,
// that it must not be sent, except as a trial of the request.
func (g *Gateway) isQuarantined(x *exchange) bool {
	if g.suspects.Empty() {
		return false
	}
	return g.hasQuarantinedPart(x) || !x.isUnusedTrial() && g.suspects.Quarantined(g.Clock.Now(), x.fingerprint())
}

// mayReachCrashLimit reports whether one more crash would quarantine the request, or whether a part of its prompt may crash
// runners. If so, no second attempt is made beside the current one.
func (g *Gateway) mayReachCrashLimit(x *exchange) bool {
	return g.crashCount(x) >= poison.MaxCrashes-1 || g.hasSuspectedPart(x)
}

// recordCrash records that the runner crashed while serving the request, and has the crash reported to the other
// entries.
func (a *attempt) recordCrash() {
	a.gateway.recordSuspicion(a.target.runner, a.suspicion())
}

// suspicion returns what is held against the request if the runner has crashed.
func (a *attempt) suspicion() poison.Suspicion {
	g, x, t := a.gateway, a.exchange, a.target
	crash := poison.Crash{
		Request: x.fingerprint(), Runner: t.view.ID, Generation: t.view.Generation, Received: a.received, Trial: x.trial,
		Answered: g.suspects.WasAnswered(x.fingerprint()),
	}
	return poison.Suspicion{Request: x.wire.ID, Crashes: append([]poison.Crash{crash}, a.partCrashes(crash)...)}
}

// recordSuspicion records what is held against a request whose run has ended, and has it reported to the other entries.
func (g *Gateway) recordSuspicion(r *roster.Runner, s poison.Suspicion) {
	now := g.Clock.Now()
	crashes := g.findOutage(now, r, s.Crashes)
	g.recordSuspects(now, crashes)
	g.observedCrashes.Record(now, crashes...)
	g.crashesChanged.Wake()
	g.logSuspicion(now, "runner ended under a request", s)
}

// findOutage returns the crashes, of which those are cleared whose request was answered since, and those that are part of the
// same outage if there is one.
func (g *Gateway) findOutage(now time.Time, r *roster.Runner, crashes []poison.Crash) []poison.Crash {
	service := r.Info().Service
	listed := g.listedRuns(service, r)
	all := g.suspects.ClearAnswered(now, crashes)
	for _, c := range crashes {
		if c.Depth == 0 {
			all = append(all, g.outages.Observe(now, service, listed, c)...)
		}
	}
	return all
}

func (g *Gateway) logSuspicion(now time.Time, message string, s poison.Suspicion) {
	crash := s.Crashes[0]
	var parts []string
	for _, c := range s.Crashes[1:] {
		parts = append(parts, c.Request.String())
	}
	g.Log.Info(message, "decision", "suspect", "request", s.Request, "fingerprint", crash.Request.String(), "runner", crash.Runner,
		"generation", crash.Generation, "parts", parts, "received", crash.Received, "endedBefore", crash.Age.String(), "crashes", g.suspects.Crashes(now, crash.Request))
}

// recordSuspects adds crashes to those that this entry knows of, and logs which parts of prompts they quarantine.
func (g *Gateway) recordSuspects(now time.Time, crashes []poison.Crash) {
	if g.suspects.Record(now, crashes...) == 0 {
		return
	}
	g.quarantineLog.update(g.Log, g.suspects.QuarantinedParts(now))
}

// listedRuns returns the number of listed runs of a service, including one that has just ended.
func (g *Gateway) listedRuns(service rillreach.ServiceID, ended *roster.Runner) int {
	listed := g.state.Roster.ByService(service)
	if slices.Contains(listed, ended) {
		return len(listed)
	}
	return len(listed) + 1
}

// clearSuspicion records that a runner has answered the request, and clears the crashes of equal requests and of the parts
// of its prompt.
func (g *Gateway) clearSuspicion(x *exchange) {
	now := g.Clock.Now()
	g.reportCleared(x, now, g.suspects.RecordAnswer(now, x.fingerprint()))
	g.clearParts(x)
}

// recordProgress records how much of the answer has arrived. It clears the crashes of a request that was answered
// before and now gets further than in the runs that crashed.
func (g *Gateway) recordProgress(x *exchange, bytes int64) {
	if g.suspects.Empty() {
		return
	}
	now := g.Clock.Now()
	g.reportCleared(x, now, g.suspects.RecordProgress(now, x.fingerprint(), bytes))
}

// reportCleared has the cleared crashes reported to the other entries.
func (g *Gateway) reportCleared(x *exchange, now time.Time, cleared []poison.Crash) {
	if len(cleared) == 0 {
		return
	}
	g.observedCrashes.Record(now, cleared...)
	g.crashesChanged.Wake()
	g.Log.Info("request answered that runners had ended under", "decision", "clear", "request", x.wire.ID, "fingerprint", x.fingerprint().String(), "crashes", len(cleared))
}

// applyCrashes records crashes that other entries have observed. The requests of some may have been answered here since.
func (g *Gateway) applyCrashes(crashes []poison.Crash) {
	if len(crashes) == 0 {
		return
	}
	now := g.Clock.Now()
	checked := g.suspects.ClearAnswered(now, crashes)
	g.recordSuspects(now, checked)
	for i, c := range checked {
		if c.Cleared && !crashes[i].Cleared && g.observedCrashes.Record(now, c) > 0 {
			g.crashesChanged.Wake()
		}
	}
}

// suspectCount returns the number of suspected requests.
func (g *Gateway) suspectCount() float64 {
	suspects, _ := g.suspects.Counts(g.Clock.Now())
	return float64(suspects)
}

// quarantinedCount returns the number of quarantined requests, which are not sent to runners.
func (g *Gateway) quarantinedCount() float64 {
	_, quarantined := g.suspects.Counts(g.Clock.Now())
	return float64(quarantined)
}

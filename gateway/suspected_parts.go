package gateway

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/poison"
)

// lazyParts are the fingerprints of the parts of a prompt that others may share, computed once for all attempts of the
// request.
type lazyParts struct {
	once  sync.Once
	parts []poison.Fingerprint
}

// partFingerprints returns the fingerprints of the parts of the request's prompt that other prompts may share.
func (x *exchange) partFingerprints() []poison.Fingerprint {
	x.lazyParts.once.Do(func() {
		if x.wire.Prompt == nil {
			return
		}
		for _, shared := range x.wire.Prompt.SharedParts() {
			part := poison.Part{Model: x.wire.Prompt.Model, ID: shared.ID}
			x.lazyParts.parts = append(x.lazyParts.parts, part.Fingerprint())
		}
	})
	return x.lazyParts.parts
}

// partNames returns the fingerprints of the request's shared parts as identifiers for logs.
func (x *exchange) partNames() []string {
	var names []string
	for _, part := range x.partFingerprints() {
		names = append(names, part.String())
	}
	return names
}

// accountFingerprint identifies the request's caller in the records of crashes.
func (x *exchange) accountFingerprint() poison.Fingerprint {
	caller := poison.Request{Caller: x.caller()}
	return caller.Fingerprint()
}

// hasQuarantinedPart reports whether a part of the request's prompt is quarantined, and logs which one.
func (g *Gateway) hasQuarantinedPart(x *exchange) bool {
	part, found := g.suspects.QuarantinedPart(g.Clock.Now(), x.partFingerprints(), x.accountFingerprint())
	if found {
		g.Log.Info("part of the prompt is quarantined", "decision", "quarantine", "request", x.wire.ID, "account", x.accountName(), "part", part.String())
	}
	return found
}

// hasSuspectedPart reports whether a part of the request's prompt may be what crashes runners. If so, the request gets no
// second attempt.
func (g *Gateway) hasSuspectedPart(x *exchange) bool {
	if g.suspects.Empty() {
		return false
	}
	_, found := g.suspects.SuspectedPart(g.Clock.Now(), x.partFingerprints())
	return found
}

// partCrashes returns the crashes that are held against the parts of the prompt, given the one that is held against the
// request. There are none if the runner had been answering for so long that the request has not caused the crash.
func (a *attempt) partCrashes(crash poison.Crash) []poison.Crash {
	g, x := a.gateway, a.exchange
	if a.answeringFor(time.Now()) > poison.BeginTime {
		return nil
	}
	var crashes []poison.Crash
	for i, part := range x.partFingerprints() {
		crashes = append(crashes, poison.Crash{
			Request: part, Runner: crash.Runner, Generation: crash.Generation, Depth: i + 1, Account: x.accountFingerprint(), Answered: g.suspects.WasAnswered(part),
		})
	}
	return crashes
}

// quarantineLog logs changes of the quarantined parts. Its zero value is ready to use.
type quarantineLog struct {
	mu    sync.Mutex
	known map[poison.Fingerprint][]rillreach.InstanceRun
}

// update logs the parts that were not quarantined before.
func (q *quarantineLog) update(log logr.Logger, quarantined map[poison.Fingerprint][]rillreach.InstanceRun) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for part, runs := range quarantined {
		if _, ok := q.known[part]; !ok {
			log.Info("part quarantined that runners have ended under", "decision", "quarantine", "part", part.String(), "runs", runs)
		}
	}
	q.known = quarantined
}

// clearParts clears the crashes of the parts of the request's prompt, on which a runner works well.
func (g *Gateway) clearParts(x *exchange) {
	now := g.Clock.Now()
	g.reportCleared(x, now, g.suspects.RecordPartAnswers(now, x.partFingerprints()))
}

// clearPartsOnce clears the crashes of the parts of the prompt, once the runner has been answering for longer than they
// take to crash one.
func (a *attempt) clearPartsOnce() {
	if a.partsCleared || a.answeringFor(time.Now()) <= poison.BeginTime {
		return
	}
	a.partsCleared = true
	a.gateway.clearParts(a.exchange)
}

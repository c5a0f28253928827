package main

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// softwareSeparator precedes the software version at the end of each event's text.
	softwareSeparator = " @"
	oldSoftware       = "v1"
	newSoftware       = "v1.1"
	plainService      = "plain"
	engineService     = "engine"
	// maxTakeUps is how often a caller takes up one stream, and takeUpDelay the pause before it does.
	maxTakeUps  = 3
	takeUpDelay = 10 * time.Millisecond
	// maxRetryAfterDivisor times the time for which a caller waits when it is told to come back is at most the time that it
	// has left.
	maxRetryAfterDivisor = 3
	// minTakenUp is the number of streams from which the share of those that go on is checked, and minServing the number of
	// runners of a stream's version that must serve meanwhile.
	minTakenUp = 12
	minServing = 2
)

// Faults of runners of two software versions that serve side by side. They are drawn only together with the other
// versionFaults.
const (
	faultReplaceSoftware fault = "replace a runner and an engine by ones of the other software version"
	faultKillSeries      fault = "kill entries and agents in series"
)

// versionFaults are the faults under which each stream must stay at the software version that began it.
var versionFaults = []fault{
	faultReplaceSoftware, faultReplaceSoftware, faultReplaceSoftware, faultKillSeries, faultKill, faultKill, faultStop, faultStopAll, faultAgentKill, faultAgentsStop, faultAgentPause,
	faultCrash, faultEngineCrash, faultReset, faultEngineReset, faultSilence, faultEngineFreeze, faultStoreSilent, faultAgentStoreSilent, faultPause, faultWeights,
}

// softwareRun is the time for which a run of a runner has served with a version of its software. Until is zero while it
// serves.
type softwareRun struct {
	Runner, Service, Software string
	From, Until               time.Time
}

// softwareOf returns the software version with which a runner starts.
func (s clusterSize) softwareOf(number int) string {
	if s.Versions && number%2 == 1 {
		return newSoftware
	}
	return oldSoftware
}

// otherSoftware returns the other one of the two software versions.
func otherSoftware(software string) string {
	if software == oldSoftware {
		return newSoftware
	}
	return oldSoftware
}

// beginRun records that a run serves with a version of its software.
func (l *eventLog) beginRun(label, service, software string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.softwareRuns = append(l.softwareRuns, softwareRun{Runner: label, Service: service, Software: software, From: time.Now()})
}

// endSoftwareRun records that a run serves no longer. The caller must hold l.mu.
func (l *eventLog) endSoftwareRun(label string) {
	for i := range l.softwareRuns {
		if one := &l.softwareRuns[i]; one.Runner == label && one.Until.IsZero() {
			one.Until = time.Now()
		}
	}
}

// softwareVersion returns the version of the runner's software.
func (p *plainRunner) softwareVersion() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.software
}

// changeSoftware makes the next run of the runner have the other version.
func (p *plainRunner) changeSoftware() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.software = otherSoftware(p.software)
}

// changeSoftware makes the next run of the engine have the other version.
func (e *engine) changeSoftware() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.software = otherSoftware(e.software)
}

// injectVersions injects one of the faults that only versionFaults contain.
func (c *cluster) injectVersions(a action, p *plainRunner, n *engine) {
	switch a.Fault {
	case faultReplaceSoftware:
		c.replaceSoftware(p, n)
	case faultKillSeries:
		c.signalInSeries(a, c.processes(), syscall.SIGKILL)
	}
}

// replaceSoftware has a plain runner and an engine leave, and replaces them by ones of the other version.
func (c *cluster) replaceSoftware(p *plainRunner, n *engine) {
	p.replaceMu.Lock()
	old := p.id()
	c.register(p, old, "draining")
	c.recordLeaving(old)
	c.schedule(leaveDuration, func() {
		defer p.replaceMu.Unlock()
		c.crash(p)
		p.changeSoftware()
		c.store.Remove("servers", old)
		c.register(p, p.start(), "ready")
	})
	n.replaceMu.Lock()
	id, weights := n.idAndWeights()
	_, spec := n.storeRecord()
	spec["state"] = "draining"
	c.store.Put("servers", id, spec)
	c.recordLeaving(id)
	c.schedule(leaveDuration, func() {
		defer n.replaceMu.Unlock()
		c.crash(n)
		n.changeSoftware()
		c.store.Remove("servers", id)
		n.start(weights)
		c.registerEngine(n)
	})
}

// recordLeaving records that a runner's leave was acknowledged.
func (c *cluster) recordLeaving(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leavingSince[id] = time.Now()
}

// processes returns all entries and agents, by turns.
func (c *cluster) processes() []*process {
	var all []*process
	for i := range max(len(c.entries), len(c.engines)) {
		if i < len(c.engines) {
			all = append(all, &c.engines[i].agent.process)
		}
		if i < len(c.entries) {
			all = append(all, &c.entries[i].process)
		}
	}
	return all
}

// takeUp takes up a stream that was cut, until it is whole, and names the request that began it or the last one that
// brought an event.
func (c *caller) takeUp(begun callRecord, stop <-chan struct{}) {
	deadline := begun.SentAt.Add(begun.Kind.timeout())
	last := begun
	for range maxTakeUps {
		if !last.canBeTakenUp() || time.Now().After(deadline) {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(max(takeUpDelay, min(last.RetryAfter, time.Until(deadline)/maxRetryAfterDivisor))):
		}
		last = c.record(last.continuation())
	}
}

// canBeTakenUp reports whether the caller has a part of a stream that can be continued.
func (c *callRecord) canBeTakenUp() bool {
	return c.Kind.resumable() && c.Fatal == "" && c.interrupted() && c.lastEvent() > 0 && c.lastEvent() < streamEvents
}

// lastEvent returns the number of the last event of the stream that the caller has.
func (c *callRecord) lastEvent() int { return max(lastEventOf(c.Body), c.After) }

// continuation returns the call that takes up the stream. It names the call that began the stream or, at some events, the
// last one, if that brought any.
func (c *callRecord) continuation() callRecord {
	next := callRecord{Kind: c.Kind, Key: c.Key, Resumes: firstOf(c), Begun: firstOf(c), After: c.lastEvent()}
	if next.After%2 == 1 && lastEventOf(c.Body) > 0 {
		next.Resumes = c.ID
	}
	return next
}

// interrupted reports whether the caller has not got the whole stream.
func (c *callRecord) interrupted() bool { return c.Truncated || c.Status != http.StatusOK }

// lastEventOf returns the number of the last whole event of a stream, or zero.
func lastEventOf(body string) int {
	last := 0
	for event := range strings.SplitSeq(body[:strings.LastIndex(body, "\n\n")+1], "\n\n") {
		text, _, _ := strings.Cut(strings.TrimPrefix(event, "id: "), "\n")
		if number, err := strconv.Atoi(text); err == nil {
			last = number
		}
	}
	return last
}

// withoutSoftware removes the software versions from the events of a stream.
func withoutSoftware(body string) string {
	lines := strings.Split(body, "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "data: ") {
			lines[i], _, _ = strings.Cut(line, softwareSeparator)
		}
	}
	return strings.TrimSuffix(strings.Join(lines, "\n"), " ")
}

// softwareIn returns the software versions that whole events of a stream name, each once.
func softwareIn(body string) []string {
	var versions []string
	for line := range strings.SplitSeq(body[:strings.LastIndex(body, "\n\n")+1], "\n") {
		if _, version, ok := strings.Cut(line, softwareSeparator); ok && !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	return versions
}

// checkSoftwareVersions reports streams that hold events of several software versions, in one answer or over the tries of
// their caller.
func (r *observations) checkSoftwareVersions(report func(string, ...any)) {
	streams := map[string]string{}
	for i := range r.Calls {
		if c := &r.Calls[i]; c.Kind.streams() && c.Status == statusOK {
			streams[firstOf(c)] += c.Body[:strings.LastIndex(c.Body, "\n\n")+1]
		}
	}
	for first, body := range streams {
		if versions := softwareIn(body + "\n"); len(versions) > 1 {
			report("the stream that request %s began holds events of %v", first, versions)
		}
	}
}

// firstOf returns the request that began the stream of a call.
func firstOf(c *callRecord) string {
	if c.Begun != "" {
		return c.Begun
	}
	return c.ID
}

// checkResumedShare reports if much fewer of the streams that are taken up go on than new ones begin. Only calls of
// undisturbed entries count, and only streams of which two runners with their version serve all the while.
func (r *observations) checkResumedShare(report func(string, ...any)) {
	first := r.callsByID()
	var fresh, resumed streamCount
	for i := range r.Calls {
		c := &r.Calls[i]
		if !r.countsForShare(c) {
			continue
		}
		if c.Begun == "" {
			fresh.add(c)
			continue
		}
		if versions := softwareIn(first[c.Begun].Body); len(versions) == 1 && r.serving(c, versions[0]) >= minServing {
			resumed.add(c)
		}
	}
	if resumed.asked >= minTakenUp && resumed.share() < fresh.share()/2 {
		report("of %d streams that were taken up, %d went on; of %d new ones, %d began", resumed.asked, resumed.got, fresh.asked, fresh.got)
	}
}

// streamCount counts requests for streams, and those that got an event.
type streamCount struct{ asked, got int }

func (s *streamCount) add(c *callRecord) {
	s.asked++
	if c.Status == statusOK && lastEventOf(c.Body) > 0 {
		s.got++
	}
}

func (s *streamCount) share() float64 { return float64(s.got) / float64(max(s.asked, 1)) }

// countsForShare reports whether the call asks an undisturbed entry for a stream that it should get.
func (r *observations) countsForShare(c *callRecord) bool {
	disturbed := r.entryDisturbed(c) || r.entryDisconnected(c, c.EndedAt)
	return c.Kind.resumable() && c.Fatal == "" && !disturbed && !r.keyRemoved(c)
}

// keyRemoved reports whether the call's key is removed at any time.
func (r *observations) keyRemoved(c *callRecord) bool {
	_, removed := r.KeysRemoved[c.Key]
	return removed
}

// serving returns the number of runners of the call's service that served with the software version from its beginning to
// its end. One that has left must get no more requests after leaveWithin.
func (r *observations) serving(c *callRecord, software string) int {
	service, n := plainService, 0
	if c.Kind.engines() {
		service = engineService
	}
	for i := range r.SoftwareRuns {
		one := &r.SoftwareRuns[i]
		ended := !one.Until.IsZero() && one.Until.Before(c.EndedAt)
		left, leaves := r.LeavingSince[one.Runner]
		ended = ended || leaves && left.Add(leaveWithin).Before(c.EndedAt)
		if one.Service == service && one.Software == software && one.From.Before(c.SentAt) && !ended {
			n++
		}
	}
	return n
}

// takenUp counts the calls that took up a stream.
func (r *observations) takenUp() streamCount {
	var taken streamCount
	for i := range r.Calls {
		if c := &r.Calls[i]; c.Begun != "" {
			taken.add(c)
		}
	}
	return taken
}

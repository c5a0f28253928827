package main

import (
	"math/rand/v2"
	"slices"
	"time"
)

// fault is a kind of fault.
type fault string

// The faults of regular schedules.
const (
	faultPause            fault = "pause entry"
	faultKill             fault = "kill entry"
	faultStop             fault = "stop entry"
	faultStopAll          fault = "stop all entries in series"
	faultReload           fault = "reload settings"
	faultBadReload        fault = "reload broken settings"
	faultCrash            fault = "crash runner"
	faultLeave            fault = "runner leaves"
	faultDelay            fault = "delay connections to runner"
	faultReset            fault = "reset connections to runner"
	faultSilence          fault = "silence runner"
	faultHoldResponses    fault = "cut answers of runner"
	faultStoreDown        fault = "store refuses"
	faultStoreSilent      fault = "store is silent for one entry"
	faultStoreForget      fault = "store forgets its history"
	faultRemoveKey        fault = "take a key away"
	faultNewVersion       fault = "change the configuration"
	faultAgentPause       fault = "pause agent"
	faultAgentKill        fault = "kill agent"
	faultAgentStop        fault = "stop agent"
	faultAgentsStop       fault = "stop all agents in series"
	faultAgentStoreSilent fault = "store is silent for one agent"
	faultEngineCrash      fault = "crash engine"
	faultEngineReset      fault = "reset connections to engine"
	faultDelayOrders      fault = "engine carries orders out late"
	faultWeights          fault = "name new weights"
	// faultRollout is drawn separately, so that the other faults of a seed are the same with and without it.
	faultRollout fault = "name new weights that no agent loads in time, before engines with a queue"
)

// Faults of engines that load weights or restart, and of other writers to the store. They are drawn separately, so that
// the other faults of a seed do not depend on them.
const (
	faultWeightsBurst            fault = "name weights in quick succession beside configurations"
	faultConcurrentLoads         fault = "load several engines at once"
	faultEngineRefuse            fault = "engine refuses whatever it reports"
	faultEngineFreeze            fault = "engine stands still"
	faultEngineSlow              fault = "engine runs slow"
	faultRestartEngine           fault = "start engine again under its id"
	faultRestartEngineUnreported fault = "start engine again under its id without telling its start"
	faultBadRecords              fault = "entries of another writer"
	faultOverwrittenRecord       fault = "another writer spoils an engine's entry"
)

// faultFatal is drawn only together with the other fatalFaults.
const faultFatal fault = "request that ends its runners"

// fatalFaults are the faults under which a fatal request must be quarantined.
var fatalFaults = []fault{faultFatal, faultFatal, faultFatal, faultKill, faultPause, faultAgentKill, faultAgentPause, faultCrash, faultEngineCrash}

// faultEvacuate is drawn only together with the other evacuationFaults.
const faultEvacuate fault = "evacuate a zone"

// evacuationFaults are the faults under which an evacuated zone must get no requests.
var evacuationFaults = []fault{
	faultEvacuate, faultEvacuate, faultKill, faultPause, faultStop, faultStoreForget, faultStoreDown, faultStoreSilent, faultCrash, faultEngineCrash, faultAgentKill,
}

// Faults of runners that signal backpressure only in their responses. They are drawn only together with the other
// backpressureFaults.
const (
	faultRateLimit        fault = "runner names a limit"
	faultRetryAfter       fault = "runner turns requests away and asks for rest"
	faultLeaveInResponses fault = "runner says in its answers alone that it leaves"
)

// backpressureFaults are the faults under which runners must get no more requests than they ask for.
var backpressureFaults = []fault{
	faultRateLimit, faultRateLimit, faultRetryAfter, faultRetryAfter, faultLeaveInResponses, faultKill, faultPause, faultStop, faultAgentKill, faultAgentPause, faultStoreDown, faultStoreSilent,
}

// loadFaults make it likely that streams overlap with loads and refusals. engineFaults are all the faults of engines
// and of their records.
var (
	loadFaults   = []fault{faultWeightsBurst, faultConcurrentLoads, faultEngineRefuse, faultEngineFreeze, faultEngineSlow}
	engineFaults = append([]fault{faultRestartEngine, faultRestartEngineUnreported, faultBadRecords, faultOverwrittenRecord}, loadFaults...)
)

var faults = []fault{
	faultPause, faultKill, faultStop, faultStopAll, faultReload, faultBadReload, faultCrash, faultLeave, faultDelay, faultReset, faultSilence, faultHoldResponses,
	faultStoreDown, faultStoreSilent, faultStoreForget, faultRemoveKey, faultNewVersion,
	faultAgentPause, faultAgentKill, faultAgentStop, faultAgentsStop, faultAgentStoreSilent, faultEngineCrash, faultEngineReset, faultDelayOrders, faultWeights,
}

// action is a fault that is injected at a given time.
type action struct {
	At    time.Duration
	Fault fault
	// Target selects the affected process, and Duration is how long the fault lasts if it has a duration.
	Target   int
	Duration time.Duration
}

const (
	// warmUp is the time for all processes to start, and coolDown the time for them to recover before the end.
	warmUp   = time.Second
	coolDown = 7 * time.Second
	// meanFaultInterval is the mean time between faults. It is shorter than most faults, so that they overlap.
	meanFaultInterval = 600 * time.Millisecond
	shortFault        = 200 * time.Millisecond
	longFault         = 2500 * time.Millisecond
	// repeatProbability is the probability that a fault is soon repeated for the same process.
	repeatProbability = 0.25
	// minSignalInterval and maxSignalInterval bound the time between the signals of a rolling restart.
	// faultsDuringSeries is the number of other faults that are drawn during it, and faultsDuringSeriesWithin the time
	// in which they begin.
	minSignalInterval  = 100 * time.Millisecond
	maxSignalInterval  = time.Second
	faultsDuringSeries = 5
	// rolloutWithin is the maximum time between the warm-up and a rollout.
	rolloutWithin            = 3 * time.Second
	faultsDuringSeriesWithin = 5 * time.Second
)

// operatorFaults are the faults that an operator's planned work causes. Most of the faults during a rolling restart are
// among them.
var operatorFaults = []fault{faultReload, faultBadReload, faultNewVersion, faultRemoveKey, faultStop, faultAgentStop, faultWeights}

// signalInterval returns the time between the signals of a rolling restart.
func (a *action) signalInterval() time.Duration {
	return min(max(a.Duration*2/5, minSignalInterval), maxSignalInterval)
}

// schedule returns actions with the faults of regular schedules. The same seed always gives the same actions.
func schedule(seed uint64, length time.Duration) []action {
	random := rand.New(rand.NewPCG(seed, 1))
	var actions []action
	at := warmUp
	for at < length-coolDown {
		a := draw(random, faults, at)
		actions = append(actions, a)
		if a.Fault == faultStopAll || a.Fault == faultAgentsStop {
			actions = append(actions, drawDuringSeries(random, at)...)
		} else {
			actions = append(actions, maybeRepeat(random, a)...)
		}
		at += time.Duration(random.ExpFloat64() * float64(meanFaultInterval))
	}
	return sortByTime(actions)
}

// engineSchedule returns actions with only the given faults. The same seed and faults always give the same actions.
func engineSchedule(seed uint64, length time.Duration, from []fault) []action {
	random := rand.New(rand.NewPCG(seed, 3))
	var actions []action
	for at := warmUp; at < length-coolDown; at += time.Duration(random.ExpFloat64() * float64(meanFaultInterval)) {
		a := draw(random, from, at)
		actions = append(append(actions, a), maybeRepeat(random, a)...)
	}
	return sortByTime(actions)
}

// maybeRepeat returns the action again, at half of its duration, or nothing.
func maybeRepeat(random *rand.Rand, a action) []action {
	if random.Float64() >= repeatProbability {
		return nil
	}
	a.At += a.Duration / 2
	return []action{a}
}

// sortByTime sorts actions by time.
func sortByTime(actions []action) []action {
	slices.SortStableFunc(actions, func(a, b action) int { return int(a.At - b.At) })
	return actions
}

// drawRollout returns a rollout of weights. The same seed always gives the same rollout.
func drawRollout(seed uint64) action {
	random := rand.New(rand.NewPCG(seed, 2))
	a := draw(random, []fault{faultRollout}, warmUp+time.Duration(random.Int64N(int64(rolloutWithin))))
	a.Duration = longFault/2 + a.Duration/2
	return a
}

// drawDuringSeries draws faults that overlap with a rolling restart. Most of them are planned work.
func drawDuringSeries(random *rand.Rand, at time.Duration) []action {
	var actions []action
	for i := range faultsDuringSeries {
		from := operatorFaults
		if i == faultsDuringSeries-1 {
			from = faults
		}
		actions = append(actions, draw(random, from, at+time.Duration(random.Int64N(int64(faultsDuringSeriesWithin)))))
	}
	return actions
}

func draw(random *rand.Rand, from []fault, at time.Duration) action {
	return action{
		At: at, Fault: from[random.IntN(len(from))], Target: random.IntN(1 << 16),
		Duration: shortFault + time.Duration(random.Int64N(int64(longFault-shortFault))),
	}
}

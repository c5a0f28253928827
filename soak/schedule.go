package main

import (
	"math/rand/v2"
	"slices"
	"time"
)

// fault is a kind of fault.
type fault string

// The faults.
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
	faultDropResponses    fault = "cut answers of runner"
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
	// faultRollout is not drawn with the others, so that a seed's other faults are the same with and without it.
	faultRollout fault = "name new weights that no agent loads in time, before engines with a queue"
)

// The faults of engines that load or start again, and of other writers in the store. They are drawn by themselves, for the same reason.
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

// faultFatal is drawn by itself, too, beside those of fatalFaults.
const faultFatal fault = "request that ends its runners"

// fatalFaults are the faults beside which such a request must be held back all the same.
var fatalFaults = []fault{faultFatal, faultFatal, faultFatal, faultKill, faultPause, faultAgentKill, faultAgentPause, faultCrash, faultEngineCrash}

// faultEvacuate is drawn by itself as well, beside those of evacuationFaults.
const faultEvacuate fault = "evacuate a zone"

// evacuationFaults are the faults beside which nothing may be sent to an evacuated zone all the same.
var evacuationFaults = []fault{
	faultEvacuate, faultEvacuate, faultKill, faultPause, faultStop, faultStoreForget, faultStoreDown, faultStoreSilent, faultCrash, faultEngineCrash, faultAgentKill,
}

// The faults of runners that ask for less in their answers alone. They are drawn by themselves as well, beside others of pressureFaults.
const (
	faultRateLimit        fault = "runner names a limit"
	faultRetryAfter       fault = "runner turns requests away and asks for rest"
	faultLeaveInResponses fault = "runner says in its answers alone that it leaves"
)

// backpressureFaults are the faults beside which runners get no more than they ask for all the same.
var backpressureFaults = []fault{
	faultRateLimit, faultRateLimit, faultRetryAfter, faultRetryAfter, faultLeaveInResponses, faultKill, faultPause, faultStop, faultAgentKill, faultAgentPause, faultStoreDown, faultStoreSilent,
}

// loadFaults are those without which streams would seldom meet loads and refusals, engineFaults all of them.
var (
	loadFaults   = []fault{faultWeightsBurst, faultConcurrentLoads, faultEngineRefuse, faultEngineFreeze, faultEngineSlow}
	engineFaults = append([]fault{faultRestartEngine, faultRestartEngineUnreported, faultBadRecords, faultOverwrittenRecord}, loadFaults...)
)

var faults = []fault{
	faultPause, faultKill, faultStop, faultStopAll, faultReload, faultBadReload, faultCrash, faultLeave, faultDelay, faultReset, faultSilence, faultDropResponses,
	faultStoreDown, faultStoreSilent, faultStoreForget, faultRemoveKey, faultNewVersion,
	faultAgentPause, faultAgentKill, faultAgentStop, faultAgentsStop, faultAgentStoreSilent, faultEngineCrash, faultEngineReset, faultDelayOrders, faultWeights,
}

// action is one fault at one time.
type action struct {
	At    time.Duration
	Fault fault
	// Target picks the process that it concerns, For is how long it lasts where it does.
	Target   int
	Duration time.Duration
}

const (
	// warmUp lets everything come up, quietAfter lets it come back before the end.
	warmUp   = time.Second
	coolDown = 7 * time.Second
	// meanFaultInterval is the mean time between faults, which therefore overlap.
	meanFaultInterval = 600 * time.Millisecond
	shortFault        = 200 * time.Millisecond
	longFault         = 2500 * time.Millisecond
	// repeatProbability is how likely a fault comes again at once, for the same process.
	repeatProbability = 0.25
	// minSignalInterval and mostGap bound the time between the signals of a series, beside which other faults are drawn as well.
	minSignalInterval  = 100 * time.Millisecond
	maxSignalInterval  = time.Second
	faultsDuringSeries = 5
	// rolloutWithin is how long after the start a rollout may come.
	rolloutWithin            = 3 * time.Second
	faultsDuringSeriesWithin = 5 * time.Second
)

// operatorFaults are the faults that are work an operator does, of which most of what is drawn beside a series consists.
var operatorFaults = []fault{faultReload, faultBadReload, faultNewVersion, faultRemoveKey, faultStop, faultAgentStop, faultWeights}

// signalInterval is the time between the signals of a series.
func (a *action) signalInterval() time.Duration {
	return min(max(a.Duration*2/5, minSignalInterval), maxSignalInterval)
}

// schedule gives the same actions for the same seed.
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

// engineSchedule gives the same actions of some of the engines' faults for the same seed.
func engineSchedule(seed uint64, length time.Duration, from []fault) []action {
	random := rand.New(rand.NewPCG(seed, 3))
	var actions []action
	for at := warmUp; at < length-coolDown; at += time.Duration(random.ExpFloat64() * float64(meanFaultInterval)) {
		a := draw(random, from, at)
		actions = append(append(actions, a), maybeRepeat(random, a)...)
	}
	return sortByTime(actions)
}

// maybeRepeat gives the action once more, soon after its beginning, or nothing.
func maybeRepeat(random *rand.Rand, a action) []action {
	if random.Float64() >= repeatProbability {
		return nil
	}
	a.At += a.Duration / 2
	return []action{a}
}

// sortByTime sorts actions by their times.
func sortByTime(actions []action) []action {
	slices.SortStableFunc(actions, func(a, b action) int { return int(a.At - b.At) })
	return actions
}

// drawRollout gives the same drawRollout of weights for the same seed.
func drawRollout(seed uint64) action {
	random := rand.New(rand.NewPCG(seed, 2))
	a := draw(random, []fault{faultRollout}, warmUp+time.Duration(random.Int64N(int64(rolloutWithin))))
	a.Duration = longFault/2 + a.Duration/2
	return a
}

// drawDuringSeries draws faults that overlap with a series of stops, most of them planned work.
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

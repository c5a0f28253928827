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
	faultPause      fault = "pause entry"
	faultKill       fault = "kill entry"
	faultStop       fault = "stop entry"
	faultStopAll    fault = "stop all entries in series"
	faultReload     fault = "reload settings"
	faultBadReload  fault = "reload broken settings"
	faultCrash      fault = "crash runner"
	faultLeave      fault = "runner leaves"
	faultDelay      fault = "delay connections to runner"
	faultReset      fault = "reset connections to runner"
	faultSilence    fault = "silence runner"
	faultOneWay     fault = "cut answers of runner"
	faultStoreDown  fault = "store refuses"
	faultStoreMute  fault = "store is silent for one entry"
	faultForget     fault = "store forgets its history"
	faultRemoveKey  fault = "take a key away"
	faultNewVersion fault = "change the configuration"
	faultAgentPause fault = "pause agent"
	faultAgentKill  fault = "kill agent"
	faultAgentStop  fault = "stop agent"
	faultAgentsStop fault = "stop all agents in series"
	faultAgentMute  fault = "store is silent for one agent"
	faultEngine     fault = "crash engine"
	faultEngineLink fault = "reset connections to engine"
	faultLoseOrders fault = "engine carries orders out late"
	faultWeights    fault = "name new weights"
	// faultRollout is not drawn with the others, so that a seed's other faults are the same with and without it.
	faultRollout fault = "name new weights that no agent loads in time, before engines with a queue"
)

// The faults of engines that load or start again, and of other writers in the store. They are drawn by themselves, for the same reason.
const (
	faultNames        fault = "name weights in quick succession beside configurations"
	faultLoadsAtOnce  fault = "load several engines at once"
	faultRefuse       fault = "engine refuses whatever it reports"
	faultFreeze       fault = "engine stands still"
	faultSlow         fault = "engine runs slow"
	faultAgain        fault = "start engine again under its id"
	faultAgainUntold  fault = "start engine again under its id without telling its start"
	faultBadEntries   fault = "entries of another writer"
	faultSpoiledEntry fault = "another writer spoils an engine's entry"
)

// faultFatal is drawn by itself, too, beside those of fatalFaults.
const faultFatal fault = "request that ends its runners"

// fatalFaults are the faults beside which such a request must be held back all the same.
var fatalFaults = []fault{faultFatal, faultFatal, faultFatal, faultKill, faultPause, faultAgentKill, faultAgentPause, faultCrash, faultEngine}

// faultEvacuate is drawn by itself as well, beside those of evacuationFaults.
const faultEvacuate fault = "evacuate a zone"

// evacuationFaults are the faults beside which nothing may be sent to an evacuated zone all the same.
var evacuationFaults = []fault{
	faultEvacuate, faultEvacuate, faultKill, faultPause, faultStop, faultForget, faultStoreDown, faultStoreMute, faultCrash, faultEngine, faultAgentKill,
}

// The faults of runners that ask for less in their answers alone. They are drawn by themselves as well, beside others of pressureFaults.
const (
	faultLimit       fault = "runner names a limit"
	faultRest        fault = "runner turns requests away and asks for rest"
	faultLeaveUntold fault = "runner says in its answers alone that it leaves"
)

// pressureFaults are the faults beside which runners get no more than they ask for all the same.
var pressureFaults = []fault{
	faultLimit, faultLimit, faultRest, faultRest, faultLeaveUntold, faultKill, faultPause, faultStop, faultAgentKill, faultAgentPause, faultStoreDown, faultStoreMute,
}

// loadFaults are those without which streams would seldom meet loads and refusals, engineFaults all of them.
var (
	loadFaults   = []fault{faultNames, faultLoadsAtOnce, faultRefuse, faultFreeze, faultSlow}
	engineFaults = append([]fault{faultAgain, faultAgainUntold, faultBadEntries, faultSpoiledEntry}, loadFaults...)
)

var faults = []fault{
	faultPause, faultKill, faultStop, faultStopAll, faultReload, faultBadReload, faultCrash, faultLeave, faultDelay, faultReset, faultSilence, faultOneWay,
	faultStoreDown, faultStoreMute, faultForget, faultRemoveKey, faultNewVersion,
	faultAgentPause, faultAgentKill, faultAgentStop, faultAgentsStop, faultAgentMute, faultEngine, faultEngineLink, faultLoseOrders, faultWeights,
}

// action is one fault at one time.
type action struct {
	At    time.Duration
	Fault fault
	// Which picks the process that it concerns, For is how long it lasts where it does.
	Which int
	For   time.Duration
}

const (
	// quietBefore lets everything come up, quietAfter lets it come back before the end.
	quietBefore = time.Second
	quietAfter  = 7 * time.Second
	// meanPause is the mean time between faults, which therefore overlap.
	meanPause  = 600 * time.Millisecond
	shortFault = 200 * time.Millisecond
	longFault  = 2500 * time.Millisecond
	// series is how likely a fault comes again at once, for the same process.
	series = 0.25
	// leastGap and mostGap bound the time between the signals of a series, beside which other faults are drawn as well.
	leastGap     = 100 * time.Millisecond
	mostGap      = time.Second
	besideSeries = 5
	// rolloutWithin is how long after the start a rollout may come.
	rolloutWithin = 3 * time.Second
	besideWithin  = 5 * time.Second
)

// planned are the faults that are work an operator does, of which most of what is drawn beside a series consists.
var planned = []fault{faultReload, faultBadReload, faultNewVersion, faultRemoveKey, faultStop, faultAgentStop, faultWeights}

// gap is the time between the signals of a series.
func (a *action) gap() time.Duration { return min(max(a.For*2/5, leastGap), mostGap) }

// schedule gives the same actions for the same seed.
func schedule(seed uint64, length time.Duration) []action {
	random := rand.New(rand.NewPCG(seed, 1))
	var actions []action
	at := quietBefore
	for at < length-quietAfter {
		a := draw(random, faults, at)
		actions = append(actions, a)
		if a.Fault == faultStopAll || a.Fault == faultAgentsStop {
			actions = append(actions, beside(random, at)...)
		} else {
			actions = append(actions, again(random, a)...)
		}
		at += time.Duration(random.ExpFloat64() * float64(meanPause))
	}
	return inOrder(actions)
}

// engineSchedule gives the same actions of some of the engines' faults for the same seed.
func engineSchedule(seed uint64, length time.Duration, from []fault) []action {
	random := rand.New(rand.NewPCG(seed, 3))
	var actions []action
	for at := quietBefore; at < length-quietAfter; at += time.Duration(random.ExpFloat64() * float64(meanPause)) {
		a := draw(random, from, at)
		actions = append(append(actions, a), again(random, a)...)
	}
	return inOrder(actions)
}

// again gives the action once more, soon after its beginning, or nothing.
func again(random *rand.Rand, a action) []action {
	if random.Float64() >= series {
		return nil
	}
	a.At += a.For / 2
	return []action{a}
}

// inOrder sorts actions by their times.
func inOrder(actions []action) []action {
	slices.SortStableFunc(actions, func(a, b action) int { return int(a.At - b.At) })
	return actions
}

// rollout gives the same rollout of weights for the same seed.
func rollout(seed uint64) action {
	random := rand.New(rand.NewPCG(seed, 2))
	a := draw(random, []fault{faultRollout}, quietBefore+time.Duration(random.Int64N(int64(rolloutWithin))))
	a.For = longFault/2 + a.For/2
	return a
}

// beside draws faults that overlap with a series of stops, most of them planned work.
func beside(random *rand.Rand, at time.Duration) []action {
	var actions []action
	for i := range besideSeries {
		from := planned
		if i == besideSeries-1 {
			from = faults
		}
		actions = append(actions, draw(random, from, at+time.Duration(random.Int64N(int64(besideWithin)))))
	}
	return actions
}

func draw(random *rand.Rand, from []fault, at time.Duration) action {
	return action{
		At: at, Fault: from[random.IntN(len(from))], Which: random.IntN(1 << 16),
		For: shortFault + time.Duration(random.Int64N(int64(longFault-shortFault))),
	}
}

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
	faultAgentMute  fault = "store is silent for one agent"
	faultEngine     fault = "crash engine"
	faultEngineLink fault = "reset connections to engine"
	faultLoseOrders fault = "engine carries orders out late"
	faultWeights    fault = "name new weights"
)

var faults = []fault{
	faultPause, faultKill, faultStop, faultBadReload, faultCrash, faultLeave, faultDelay, faultReset, faultSilence, faultOneWay,
	faultStoreDown, faultStoreMute, faultForget, faultRemoveKey, faultNewVersion,
	faultAgentPause, faultAgentKill, faultAgentStop, faultAgentMute, faultEngine, faultEngineLink, faultLoseOrders, faultWeights,
}

// action is one fault at one time.
type action struct {
	At    time.Duration
	Fault fault
	// Which picks the process that it strikes, For is how long it lasts where it does.
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
)

// schedule gives the same actions for the same seed.
func schedule(seed uint64, length time.Duration) []action {
	random := rand.New(rand.NewPCG(seed, 1))
	var actions []action
	at := quietBefore
	for at < length-quietAfter {
		a := action{
			At: at, Fault: faults[random.IntN(len(faults))], Which: random.IntN(1 << 16),
			For: shortFault + time.Duration(random.Int64N(int64(longFault-shortFault))),
		}
		actions = append(actions, a)
		if random.Float64() < series {
			a.At += a.For / 2
			actions = append(actions, a)
		}
		at += time.Duration(random.ExpFloat64() * float64(meanPause))
	}
	slices.SortStableFunc(actions, func(a, b action) int { return int(a.At - b.At) })
	return actions
}

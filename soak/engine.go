package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// receivedOrder is an order that an engine received.
type receivedOrder struct {
	Engine string
	Order  site.Order
}

// engine runs a model engine and its agent. It runs one engine at a time, and all its runs use the same proxy.
type engine struct {
	agent  *agent
	proxy  *proxy
	events *eventLog
	number int
	// backpressure holds the backpressure signals in the engine's responses.
	backpressure backpressureControl
	spoiler      spoiler
	// crashAndReplace ends the run with the given label and schedules another, unless something else ends that run. It
	// returns once the run's connections are closed, and reports whether it ended the run.
	crashAndReplace func(label string) bool

	// replaceMu is held while the run or its store record is being replaced.
	replaceMu sync.Mutex

	mu                 sync.Mutex
	starts             int
	software           string
	startedAt          int64
	ordersDelayedUntil time.Time
	refusingUntil      time.Time
	slowUntil          time.Time
	queueDelay         time.Duration
	current            *site.Engine
}

// slowFactor is the factor by which a slow engine delays each event.
const slowFactor = 2

// loadTime is how long an engine takes to load new weights.
const loadTime = 300 * time.Millisecond

// name returns the name of the engine, which all its runs share.
func (e *engine) name() string { return fmt.Sprintf("e-%d", e.number) }

// start starts a run with the given weights under a new ID, and reports its start time.
func (e *engine) start(weights uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startLocked(fmt.Sprintf("%s-%d", e.name(), e.starts+1), weights, true)
}

// restart starts a run with the ID and the weights of the last one. It reports its start time only if reportStart is
// true.
func (e *engine) restart(reportStart bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startLocked(e.current.ID, e.current.LoadedVersion(), reportStart)
}

// startLocked starts a run. The caller must hold e.mu.
func (e *engine) startLocked(id string, weights uint64, reportStart bool) {
	e.starts++
	label := e.startLabel(e.starts)
	e.startedAt = max(e.startedAt+1, time.Now().UnixMilli())
	next := &site.Engine{Model: site.Model, Version: weights, LoadTime: loadTime, QueueDelay: e.currentQueueDelay, RefusesRequests: e.refusing}
	next.ID, next.Host = id, serverHost(e.proxy.address())
	if reportStart {
		next.StartUnixMS = e.startedAt
	}
	software := e.software
	e.events.beginRun(label, engineService, software)
	next.Handle = func(w http.ResponseWriter, r *http.Request) {
		started := execution{ID: site.RequestID(r), Runner: label, Zone: zoneOf(e.number), Software: software, Weights: next.LoadedVersion(), After: resumedAfter(r), Fatal: fatalCause(r)}
		if started.Fatal != "" {
			e.events.crashRunner(started, e.crashAndReplace)
		}
		if e.backpressure.handle(e.events, label, w, r) {
			return
		}
		if e.spoiler.handle(e.events, started, w, r) {
			return
		}
		respond(&next.Runner, w, r, func(w http.ResponseWriter, r *http.Request) {
			streamPieces(w, r, e.events.beginExecution(started), software, e.eventInterval(r))
		})
	}
	next.OnOrder = func(o site.Order) bool {
		e.events.recordOrder(receivedOrder{Engine: label, Order: o})
		return e.delaysOrders()
	}
	next.OnDelayedOrder = func(o site.Order) { e.applyOrder(id, o) }
	next.Start()
	e.current = next
	if err := e.proxy.listenFor(next.Address()); err != nil {
		panic(err) // no other process uses the engine's address
	}
}

// startLabel returns a label for one of the engine's runs, which is unique even among runs with the same ID.
func (e *engine) startLabel(run int) string { return fmt.Sprintf("%s-%d", e.name(), run) }

// label returns the label of the current run.
func (e *engine) label() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startLabel(e.starts)
}

// applyOrder passes a delayed order to the run with the given ID, which may have been restarted in the meantime.
func (e *engine) applyOrder(id string, o site.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current.ID == id {
		e.current.AcceptOrder(o)
	}
}

// storeRecord returns the object store record of the current run.
func (e *engine) storeRecord() (id string, spec map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	spec = e.current.RecordAt(e.proxy.address(), "ready")
	spec["zone"], spec["version"] = zoneOf(e.number), e.software
	return e.current.ID, spec
}

// eventInterval returns the time between two events of a response.
func (e *engine) eventInterval(r *http.Request) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	pause := streamDuration(requestKind(r), site.RequestID(r)) / streamEvents
	if time.Now().Before(e.slowUntil) {
		return slowFactor * pause
	}
	return pause
}

// slowFor makes requests that begin within the given time run slowly.
func (e *engine) slowFor(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowUntil = time.Now().Add(d)
}

// startRefusing makes the engine refuse new requests for the given time, whatever its load report says.
func (e *engine) startRefusing(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refusingUntil = time.Now().Add(d)
}

func (e *engine) refusing() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.refusingUntil)
}

// delaysOrders reports whether orders currently get no response.
func (e *engine) delaysOrders() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.ordersDelayedUntil)
}

// delayOrders makes orders get no response for the given time and take effect late.
func (e *engine) delayOrders(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ordersDelayedUntil = time.Now().Add(d)
}

// setQueueDelay sets how long each request waits in the engine's queue.
func (e *engine) setQueueDelay(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queueDelay = d
}

func (e *engine) currentQueueDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queueDelay
}

// idAndWeights returns the ID of the current run and the version of its weights.
func (e *engine) idAndWeights() (id string, weights uint64) {
	e.mu.Lock()
	current := e.current
	e.mu.Unlock()
	return current.ID, current.LoadedVersion()
}

// endRun keeps the current run from beginning any more requests.
func (e *engine) endRun() { e.events.endRun(e.label()) }

// closeRun closes the listener and all connections of the current run.
func (e *engine) closeRun() {
	e.mu.Lock()
	current, label := e.current, e.startLabel(e.starts)
	e.mu.Unlock()
	e.proxy.endProcess(current.Crash)
	e.events.closeRun(label)
}

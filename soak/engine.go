package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// receivedOrder is an order as an engine got it.
type receivedOrder struct {
	Engine string
	Order  site.Order
}

// engine is where a model engine lives, with its agent beside it: one run after another, behind one proxy.
type engine struct {
	agent  *agent
	proxy  *proxy
	events *eventLog
	number int
	// backpressure is what the engine asks for in its answers.
	backpressure backpressureControl
	// crashAndReplace ends the run and starts another soon, unless that is being done; it reports whether it ended it.
	crashAndReplace func() bool

	// replaceMu is held while the run, or its record, is being replaced.
	replaceMu sync.Mutex

	mu                 sync.Mutex
	starts             int
	startedAt          int64
	ordersDelayedUntil time.Time
	refusingUntil      time.Time
	slowUntil          time.Time
	queueDelay         time.Duration
	current            *site.Engine
}

// slowFactor is how many times as long an engine that runs slow takes for each event.
const slowFactor = 2

// loadTime is how long an engine of the soak takes for new weights.
const loadTime = 300 * time.Millisecond

// runnerHost is the address of loopback on which a plain runner lives, where no other process takes its port while it is down.
func runnerHost(number int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 2, byte(number + 1)}) }

// engineHost is the address of loopback on which an engine and its agent live.
func engineHost(number int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 1, byte(number + 1)}) }

// name names the place of the engine, in whatever runs there.
func (e *engine) name() string { return fmt.Sprintf("e-%d", e.number) }

// start begins a new run with the weights under a new id, and tells its start.
func (e *engine) start(weights uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startLocked(fmt.Sprintf("%s-%d", e.name(), e.starts+1), weights, true)
}

// restart begins a new run under the id and with the weights of the last, and tells its start or does not.
func (e *engine) restart(told bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startLocked(e.current.ID, e.current.Weights(), told)
}

// startLocked begins a new run; e.mu is held.
func (e *engine) startLocked(id string, weights uint64, told bool) {
	e.starts++
	label := e.startLabel(e.starts)
	e.startedAt = max(e.startedAt+1, time.Now().UnixMilli())
	one := &site.Engine{Model: site.Model, Version: weights, LoadTime: loadTime, Queue: e.currentQueueDelay, Refuses: e.refusing}
	one.ID = id
	if told {
		one.Born = e.startedAt
	}
	one.Handle = func(w http.ResponseWriter, r *http.Request) {
		begun := execution{ID: site.RequestID(r), Runner: label, Zone: zoneOf(e.number), StartedAt: time.Now(), Weights: one.Weights(), Fatal: fatalName(r)}
		if begun.Fatal != "" {
			e.events.crashRunner(begun, e.crashAndReplace)
		}
		if e.backpressure.handle(e.events, label, w, r) {
			return
		}
		open := e.events.beginExecution(begun)
		streamPieces(w, r, open, e.eventInterval(r))
	}
	one.Ordered = func(o site.Order) bool {
		e.events.recordOrder(receivedOrder{Engine: label, Order: o})
		return e.delaysOrders()
	}
	one.CarryOut = func(o site.Order) { e.applyOrder(id, o) }
	one.Start()
	e.current = one
	if err := e.proxy.listenFor(one.Address()); err != nil {
		panic(err) // nothing else takes the engine's address
	}
}

// startLabel names one of the runs that lived here, also among those with the same id.
func (e *engine) startLabel(run int) string { return fmt.Sprintf("%s-%d", e.name(), run) }

// label names the run that lives here now.
func (e *engine) label() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startLabel(e.starts)
}

// applyOrder gives a late order to the run with the id, which may have started again meanwhile.
func (e *engine) applyOrder(id string, o site.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current.ID == id {
		e.current.Take(o)
	}
}

// storeRecord is what the run that lives here now records in the object store.
func (e *engine) storeRecord() (id string, spec map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	spec = e.current.RecordAt(e.proxy.address(), "ready")
	spec["zone"] = zoneOf(e.number)
	return e.current.ID, spec
}

// eventInterval is how long the engine takes for each event of a request.
func (e *engine) eventInterval(r *http.Request) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	pause := streamDuration(requestKind(r), site.RequestID(r)) / streamEvents
	if time.Now().Before(e.slowUntil) {
		return slowFactor * pause
	}
	return pause
}

// slowFor has what begins within a time run slow.
func (e *engine) slowFor(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowUntil = time.Now().Add(d)
}

// startRefusing has the engine startRefusing what has not begun for a time, whatever its report says.
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

// delaysOrders reports whether orders get no answer now.
func (e *engine) delaysOrders() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.ordersDelayedUntil)
}

// delayOrders has orders get no answer for a time, and be carried out late.
func (e *engine) delayOrders(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ordersDelayedUntil = time.Now().Add(d)
}

// setQueueDelay has each request wait for the time before it begins.
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

// idAndWeights names the idAndWeights that lives here now, and its weights.
func (e *engine) idAndWeights() (id string, weights uint64) {
	e.mu.Lock()
	current := e.current
	e.mu.Unlock()
	return current.ID, current.Weights()
}

// crash ends the run and every connection of it.
func (e *engine) crash() {
	e.mu.Lock()
	current := e.current
	e.mu.Unlock()
	current.End()
	e.proxy.stopListening()
}

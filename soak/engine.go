package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// given is an order as an engine got it.
type given struct {
	Engine string
	Order  site.Order
}

// engine is where a model engine lives, with its agent beside it: one run after another, behind one proxy.
type engine struct {
	agent  *agent
	proxy  *proxy
	ledger *ledger
	number int
	// pressure is what the engine asks for in its answers.
	pressure pressure
	// fatal ends the run and starts another soon, unless that is being done; it reports whether it ended it.
	fatal func() bool

	// replacing is held while the run, or its record, is being replaced.
	replacing sync.Mutex

	mu       sync.Mutex
	runs     int
	born     int64
	losing   time.Time
	refusing time.Time
	slow     time.Time
	queue    time.Duration
	current  *site.Engine
}

// slowBy is how many times as long an engine that runs slow takes for each event.
const slowBy = 2

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
	e.begin(fmt.Sprintf("%s-%d", e.name(), e.runs+1), weights, true)
}

// startAgain begins a new run under the id and with the weights of the last, and tells its start or does not.
func (e *engine) startAgain(told bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.begin(e.current.ID, e.current.LoadedVersion(), told)
}

// begin begins a new run; e.mu is held.
func (e *engine) begin(id string, weights uint64, told bool) {
	e.runs++
	label := e.labelOf(e.runs)
	e.born = max(e.born+1, time.Now().UnixMilli())
	one := &site.Engine{Model: site.Model, Version: weights, LoadTime: loadTime, QueueDelay: e.queueing, RefusesRequests: e.refuses}
	one.ID = id
	if told {
		one.StartUnixMS = e.born
	}
	one.Handle = func(w http.ResponseWriter, r *http.Request) {
		begun := run{ID: site.RequestID(r), Runner: label, Zone: zoneOf(e.number), At: time.Now(), Weights: one.LoadedVersion(), Fatal: fatalOf(r)}
		if begun.Fatal != "" {
			e.ledger.endUnder(begun, e.fatal)
		}
		if e.pressure.take(e.ledger, label, w, r) {
			return
		}
		open := e.ledger.begin(begun)
		streamPieces(w, r, open, e.pause(r))
	}
	one.OnOrder = func(o site.Order) bool {
		e.ledger.order(given{Engine: label, Order: o})
		return e.loses()
	}
	one.OnDelayedOrder = func(o site.Order) { e.carryOut(id, o) }
	one.Start()
	e.current = one
	if err := e.proxy.open(one.Address()); err != nil {
		panic(err) // nothing else takes the engine's address
	}
}

// labelOf names one of the runs that lived here, also among those with the same id.
func (e *engine) labelOf(run int) string { return fmt.Sprintf("%s-%d", e.name(), run) }

// label names the run that lives here now.
func (e *engine) label() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.labelOf(e.runs)
}

// carryOut gives a late order to the run with the id, which may have started again meanwhile.
func (e *engine) carryOut(id string, o site.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current.ID == id {
		e.current.AcceptOrder(o)
	}
}

// record is what the run that lives here now records in the object store.
func (e *engine) record() (id string, spec map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	spec = e.current.RecordAt(e.proxy.address(), "ready")
	spec["zone"] = zoneOf(e.number)
	return e.current.ID, spec
}

// pause is how long the engine takes for each event of a request.
func (e *engine) pause(r *http.Request) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	pause := lasts(kindOf(r), site.RequestID(r)) / pieces
	if time.Now().Before(e.slow) {
		return slowBy * pause
	}
	return pause
}

// slowDown has what begins within a time run slow.
func (e *engine) slowDown(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = time.Now().Add(d)
}

// refuse has the engine refuse what has not begun for a time, whatever its report says.
func (e *engine) refuse(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refusing = time.Now().Add(d)
}

func (e *engine) refuses() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.refusing)
}

// loses reports whether orders get no answer now.
func (e *engine) loses() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.losing)
}

// lose has orders get no answer for a time, and be carried out late.
func (e *engine) lose(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.losing = time.Now().Add(d)
}

// setQueue has each request wait for the time before it begins.
func (e *engine) setQueue(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queue = d
}

func (e *engine) queueing() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queue
}

// run names the run that lives here now, and its weights.
func (e *engine) run() (id string, weights uint64) {
	e.mu.Lock()
	current := e.current
	e.mu.Unlock()
	return current.ID, current.LoadedVersion()
}

// crash ends the run and every connection of it.
func (e *engine) crash() {
	e.mu.Lock()
	current := e.current
	e.mu.Unlock()
	current.Crash()
	e.proxy.shut()
}

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

	// replacing is held while the run is being replaced.
	replacing sync.Mutex

	mu      sync.Mutex
	runs    int
	losing  time.Time
	queue   time.Duration
	current *site.Engine
}

// loadTime is how long an engine of the soak takes for new weights.
const loadTime = 300 * time.Millisecond

// engineHost is the address of loopback on which an engine and its agent live.
func engineHost(number int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 1, byte(number + 1)}) }

// name names the place of the engine, in whatever runs there.
func (e *engine) name() string { return fmt.Sprintf("e-%d", e.number) }

// start begins a new run with the weights, and returns its name.
func (e *engine) start(weights uint64) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs++
	id := fmt.Sprintf("%s-%d", e.name(), e.runs)
	one := &site.Engine{Model: site.Model, Version: weights, LoadTime: loadTime}
	one.ID = id
	one.Queue = e.queueing
	one.Handle = func(w http.ResponseWriter, r *http.Request) {
		streamPieces(w, r, e.ledger, run{ID: site.RequestID(r), Runner: id, At: time.Now(), Weights: one.Weights()})
	}
	one.Ordered = func(o site.Order) bool {
		e.ledger.order(given{Engine: id, Order: o})
		return e.loses()
	}
	one.Start()
	e.current = one
	e.proxy.set(func(x *proxy) { x.to = one.Address() })
	return id
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
	return current.ID, current.Weights()
}

// crash ends the run and every connection of it.
func (e *engine) crash() {
	e.mu.Lock()
	current := e.current
	e.mu.Unlock()
	current.Stop()
	e.proxy.reset()
}

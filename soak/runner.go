package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// ledger is what all runners have run.
type ledger struct {
	mu     sync.Mutex
	runs   []run
	orders []given
}

func (l *ledger) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *ledger) order(o given) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders = append(l.orders, o)
}

// place is where a runner lives: one run after another, behind one proxy.
type place struct {
	proxy  *proxy
	ledger *ledger
	number int

	// strikes is held while the place's run is being replaced.
	strikes sync.Mutex

	mu     sync.Mutex
	runs   int
	runner *site.Runner
}

// id names the run that lives here now.
func (p *place) id() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runner.ID
}

const (
	workTime  = 15 * time.Millisecond
	pieceTime = 30 * time.Millisecond
)

// start begins a new run, and returns its name.
func (p *place) start() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs++
	id := fmt.Sprintf("i-%d-%d", p.number, p.runs)
	p.runner = &site.Runner{ID: id}
	p.runner.Handle = func(w http.ResponseWriter, r *http.Request) { p.handle(id, w, r) }
	p.runner.Start()
	p.proxy.set(func(x *proxy) { x.to = p.runner.Address() })
	return id
}

// crash ends the run and every connection of it.
func (p *place) crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runner.Stop()
	p.proxy.reset()
}

func (p *place) handle(id string, w http.ResponseWriter, r *http.Request) {
	one := run{ID: site.RequestID(r), Runner: id, At: time.Now()}
	if strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/flow/") {
		streamPieces(w, r, p.ledger, one)
		return
	}
	p.ledger.add(one)
	if work(r) {
		site.Answer(w, r, expected(one.ID, kindOnce))
	}
}

// work takes the time of one request; it reports whether the request is still wanted.
func work(r *http.Request) bool {
	select {
	case <-time.After(workTime):
		return true
	case <-r.Context().Done():
		return false
	}
}

// streamPieces runs a request that is answered by events.
func streamPieces(w http.ResponseWriter, r *http.Request, l *ledger, one run) {
	l.add(one)
	if !work(r) {
		return
	}
	site.Seal(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	from, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	for i := from + 1; i <= pieces; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, one.ID, i)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(pieceTime)
	}
}

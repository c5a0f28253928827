package main

import (
	"fmt"
	"hash/fnv"
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

// begin notes that a run has begun; what it returns notes the end.
func (l *ledger) begin(r run) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
	number := len(l.runs) - 1
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.runs[number].Until = time.Now()
	}
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

	// replacing is held while the place's run is being replaced.
	replacing sync.Mutex

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

// name names the place, in whatever runs there.
func (p *place) name() string { return fmt.Sprintf("i-%d", p.number) }

const (
	workTime = 15 * time.Millisecond
	// shortStream, middleStream and longStream bound how long streams last; a stream of the last tenths outlasts the time that
	// the balancer takes to notice a stop.
	shortStream  = 200 * time.Millisecond
	middleStream = 3200 * time.Millisecond
	longStream   = 5500 * time.Millisecond
	// shortTenths and middleTenths are the shares of streams that last up to the first two.
	shortTenths  = 7
	middleTenths = 1
)

// lasts is how long the stream of a request lasts, which follows from its id.
func lasts(id string) time.Duration {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	sum := hash.Sum64()
	within := func(least, most time.Duration) time.Duration { return least + time.Duration(sum/10%uint64(most-least)) }
	switch tenth := sum % 10; {
	case tenth < shortTenths:
		return shortStream
	case tenth < shortTenths+middleTenths:
		return within(shortStream, middleStream)
	default:
		return within(middleStream, longStream)
	}
}

// start begins a new run, and returns its name.
func (p *place) start() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs++
	id := fmt.Sprintf("%s-%d", p.name(), p.runs)
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
	defer p.ledger.begin(one)()
	if wait(r, workTime) {
		site.Answer(w, r, expected(one.ID, kindOnce))
	}
}

// wait takes the time of some work; it reports whether the request is still wanted.
func wait(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// streamPieces runs a request that is answered by events.
func streamPieces(w http.ResponseWriter, r *http.Request, l *ledger, one run) {
	defer l.begin(one)()
	if !wait(r, workTime) {
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
		if http.NewResponseController(w).Flush() != nil || !wait(r, lasts(one.ID)/pieces) {
			return
		}
	}
}

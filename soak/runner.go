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
	// arrivals are what runners that ask for less get, and others.
	arrivals []arrival
}

// begin notes that a run has begun, and returns where the rest of it is noted.
func (l *ledger) begin(r run) *openRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
	return &openRun{ledger: l, number: len(l.runs) - 1}
}

// openRun is a run that has begun, of which the rest is noted later.
type openRun struct {
	ledger *ledger
	number int
}

func (o *openRun) change(do func(r *run)) {
	o.ledger.mu.Lock()
	defer o.ledger.mu.Unlock()
	do(&o.ledger.runs[o.number])
}

// first notes the first event, end the end of the run, and whether its answer was whole then.
func (o *openRun) first() { o.change(func(r *run) { r.First = time.Now() }) }

func (o *openRun) end(whole bool) {
	o.change(func(r *run) { r.Until, r.Whole = time.Now(), whole })
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
	// pressure is what the runner asks for in its answers.
	pressure pressure
	// fatal ends the run and starts another soon, unless that is being done; it reports whether it ended it.
	fatal func() bool

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
	// shortChat and longChat bound the streams that last long enough for loads to meet them.
	shortChat = time.Second
	longChat  = 3 * time.Second
)

// lasts is how long the stream of a request lasts, which follows from its id.
func lasts(k kind, id string) time.Duration {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	sum := hash.Sum64()
	within := func(least, most time.Duration) time.Duration { return least + time.Duration(sum/10%uint64(most-least)) }
	switch tenth := sum % 10; {
	case k == kindChat:
		return within(shortChat, longChat)
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
	if err := p.proxy.open(p.runner.Address()); err != nil {
		panic(err) // nothing else takes the runner's address
	}
	return id
}

// crash ends the run and every connection of it.
func (p *place) crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runner.Crash()
	p.proxy.shut()
}

func (p *place) handle(id string, w http.ResponseWriter, r *http.Request) {
	one := run{ID: site.RequestID(r), Runner: id, Zone: zoneOf(p.number), At: time.Now(), Fatal: fatalOf(r)}
	if one.Fatal != "" {
		p.ledger.endUnder(one, p.fatal)
	}
	if p.pressure.take(p.ledger, id, w, r) {
		return
	}
	if k := kindOf(r); k.streams() {
		streamPieces(w, r, p.ledger.begin(one), lasts(k, one.ID)/pieces)
		return
	}
	open := p.ledger.begin(one)
	wanted := wait(r, workTime)
	if wanted {
		site.WriteResponse(w, r, expected(one.ID, kindOnce))
	}
	open.end(wanted)
}

// kindOf is the kind of a request, which its path begins with.
func kindOf(r *http.Request) kind {
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return kind(first)
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

// streamPieces runs a request that is answered by events, one after each pause.
func streamPieces(w http.ResponseWriter, r *http.Request, open *openRun, pause time.Duration) {
	whole := false
	defer func() { open.end(whole) }()
	if !wait(r, workTime) {
		return
	}
	site.SetSealHeaders(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	from, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	open.first()
	for i := from + 1; i <= pieces; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, site.RequestID(r), i)
		if http.NewResponseController(w).Flush() != nil || !wait(r, pause) {
			return
		}
	}
	whole = true
}

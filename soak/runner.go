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

// eventLog is what all runners have run.
type eventLog struct {
	mu         sync.Mutex
	executions []execution
	orders     []receivedOrder
	// arrivals are what runners that ask for less get, and others.
	arrivals []arrival
}

// beginExecution notes that a run has begun, and returns where the rest of it is noted.
func (l *eventLog) beginExecution(r execution) *openExecution {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, r)
	return &openExecution{log: l, index: len(l.executions) - 1}
}

// openExecution is a run that has begun, of which the rest is noted later.
type openExecution struct {
	log   *eventLog
	index int
}

func (o *openExecution) update(do func(r *execution)) {
	o.log.mu.Lock()
	defer o.log.mu.Unlock()
	do(&o.log.executions[o.index])
}

// recordFirstEvent notes the recordFirstEvent event, end the end of the run, and whether its answer was whole then.
func (o *openExecution) recordFirstEvent() {
	o.update(func(r *execution) { r.FirstEventAt = time.Now() })
}

func (o *openExecution) end(whole bool) {
	o.update(func(r *execution) { r.EndedAt, r.Complete = time.Now(), whole })
}

func (l *eventLog) recordOrder(o receivedOrder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders = append(l.orders, o)
}

// runnerSlot is where a runner lives: one run after another, behind one proxy.
type runnerSlot struct {
	proxy  *proxy
	events *eventLog
	number int
	// backpressure is what the runner asks for in its answers.
	backpressure backpressureControl
	// crashAndReplace ends the run and starts another soon, unless that is being done; it reports whether it ended it.
	crashAndReplace func() bool

	// replaceMu is held while the place's run is being replaced.
	replaceMu sync.Mutex

	mu     sync.Mutex
	starts int
	runner *site.Runner
}

// id names the run that lives here now.
func (p *runnerSlot) id() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runner.ID
}

// name names the place, in whatever runs there.
func (p *runnerSlot) name() string { return fmt.Sprintf("i-%d", p.number) }

const (
	workTime = 15 * time.Millisecond
	// shortStream, middleStream and longStream bound how long streams last; a stream of the last tenths outlasts the time that
	// the balancer takes to notice a stop.
	shortStream  = 200 * time.Millisecond
	mediumStream = 3200 * time.Millisecond
	longStream   = 5500 * time.Millisecond
	// shortStreamTenths and middleTenths are the shares of streams that last up to the first two.
	shortStreamTenths  = 7
	mediumStreamTenths = 1
	// shortChat and longChat bound the streams that last long enough for loads to meet them.
	shortChat = time.Second
	longChat  = 3 * time.Second
)

// streamDuration is how long the stream of a request streamDuration, which follows from its id.
func streamDuration(k kind, id string) time.Duration {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	sum := hash.Sum64()
	within := func(least, most time.Duration) time.Duration { return least + time.Duration(sum/10%uint64(most-least)) }
	switch tenth := sum % 10; {
	case k == kindChat:
		return within(shortChat, longChat)
	case tenth < shortStreamTenths:
		return shortStream
	case tenth < shortStreamTenths+mediumStreamTenths:
		return within(shortStream, mediumStream)
	default:
		return within(mediumStream, longStream)
	}
}

// start begins a new run, and returns its name.
func (p *runnerSlot) start() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts++
	id := fmt.Sprintf("%s-%d", p.name(), p.starts)
	p.runner = &site.Runner{ID: id}
	p.runner.Handle = func(w http.ResponseWriter, r *http.Request) { p.handle(id, w, r) }
	p.runner.Start()
	if err := p.proxy.listenFor(p.runner.Address()); err != nil {
		panic(err) // nothing else takes the runner's address
	}
	return id
}

// crash ends the run and every connection of it.
func (p *runnerSlot) crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runner.End()
	p.proxy.stopListening()
}

func (p *runnerSlot) handle(id string, w http.ResponseWriter, r *http.Request) {
	one := execution{ID: site.RequestID(r), Runner: id, Zone: zoneOf(p.number), StartedAt: time.Now(), Fatal: fatalName(r)}
	if one.Fatal != "" {
		p.events.crashRunner(one, p.crashAndReplace)
	}
	if p.backpressure.handle(p.events, id, w, r) {
		return
	}
	if k := requestKind(r); k.streams() {
		streamPieces(w, r, p.events.beginExecution(one), streamDuration(k, one.ID)/streamEvents)
		return
	}
	open := p.events.beginExecution(one)
	wanted := waitOrCanceled(r, workTime)
	if wanted {
		site.Answer(w, r, expected(one.ID, kindOnce))
	}
	open.end(wanted)
}

// requestKind is the kind of a request, which its path begins with.
func requestKind(r *http.Request) kind {
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return kind(first)
}

// waitOrCanceled takes the time of some work; it reports whether the request is still wanted.
func waitOrCanceled(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// streamPieces runs a request that is answered by events, one after each pause.
func streamPieces(w http.ResponseWriter, r *http.Request, open *openExecution, pause time.Duration) {
	whole := false
	defer func() { open.end(whole) }()
	if !waitOrCanceled(r, workTime) {
		return
	}
	site.Seal(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	from, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	open.recordFirstEvent()
	for i := from + 1; i <= streamEvents; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, site.RequestID(r), i)
		if http.NewResponseController(w).Flush() != nil || !waitOrCanceled(r, pause) {
			return
		}
	}
	whole = true
}

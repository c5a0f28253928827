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

// eventLog records what all runners received and executed.
type eventLog struct {
	mu         sync.Mutex
	executions []execution
	orders     []receivedOrder
	// endedRuns holds the labels of the runs that have crashed, and closedRuns those of the runs whose connections were
	// closed after that.
	endedRuns  map[string]bool
	closedRuns map[string]bool
	// softwareRuns holds the runs and the versions of their software.
	softwareRuns []softwareRun
	// arrivals holds the requests that reached runners, whether or not these sent backpressure signals.
	arrivals []arrival
	// overloadedUntil is until when all runners refuse most requests.
	overloadedUntil time.Time
}

// endRun records that a run has crashed, so that it begins no more executions. Its handlers, which run in this process,
// may still be about to.
func (l *eventLog) endRun(label string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endedRuns == nil {
		l.endedRuns = map[string]bool{}
	}
	l.endedRuns[label] = true
	l.endSoftwareRun(label)
}

// closeRun records that the connections of a crashed run are closed.
func (l *eventLog) closeRun(label string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closedRuns == nil {
		l.closedRuns = map[string]bool{}
	}
	l.closedRuns[label] = true
}

// isClosed reports whether the connections of a crashed run are closed.
func (l *eventLog) isClosed(label string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closedRuns[label]
}

// beginExecution records the start of an execution, and returns a handle for recording the rest of it. If the run has
// crashed, it aborts the handler instead.
func (l *eventLog) beginExecution(r execution) *openExecution {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endedRuns[r.Runner] {
		panic(http.ErrAbortHandler)
	}
	r.StartedAt = time.Now()
	l.executions = append(l.executions, r)
	return &openExecution{log: l, index: len(l.executions) - 1}
}

// openExecution is a handle to an execution that has started.
type openExecution struct {
	log   *eventLog
	index int
}

func (o *openExecution) update(fn func(r *execution)) {
	o.log.mu.Lock()
	defer o.log.mu.Unlock()
	fn(&o.log.executions[o.index])
}

// recordFirstEvent records that the first event is being sent. end records the end of the execution and whether its
// response was complete.
func (o *openExecution) recordFirstEvent() {
	o.update(func(r *execution) { r.FirstEventAt = time.Now() })
}

func (o *openExecution) end(complete bool) {
	o.update(func(r *execution) { r.EndedAt, r.Complete = time.Now(), complete })
}

func (l *eventLog) recordOrder(o receivedOrder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders = append(l.orders, o)
}

// plainRunner runs a runner that is not an engine. It runs one at a time, and all its runs use the same proxy.
type plainRunner struct {
	proxy  *proxy
	events *eventLog
	number int
	// backpressure holds the backpressure signals in the runner's responses.
	backpressure backpressureControl
	spoiler      spoiler
	// crashAndReplace ends the run with the given label and schedules another, unless something else ends that run. It
	// returns once the run's connections are closed, and reports whether it ended the run.
	crashAndReplace func(label string) bool

	// replaceMu is held while the run is being replaced.
	replaceMu sync.Mutex

	mu       sync.Mutex
	starts   int
	software string
	current  *site.Runner
}

// id returns the ID of the current run.
func (p *plainRunner) id() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current.ID
}

// name returns the name of the runner, which all its runs share.
func (p *plainRunner) name() string { return fmt.Sprintf("i-%d", p.number) }

const (
	workTime = 15 * time.Millisecond
	// shortStream, mediumStream and longStream bound the durations of streams. The longest streams outlast the time
	// that the balancer takes to notice that an entry is stopping.
	shortStream  = 200 * time.Millisecond
	mediumStream = 3200 * time.Millisecond
	longStream   = 5500 * time.Millisecond
	// shortStreamTenths is the share of streams that last shortStream, in tenths, and mediumStreamTenths that of
	// streams that last up to mediumStream.
	shortStreamTenths  = 7
	mediumStreamTenths = 1
	// shortChat and longChat bound the durations of chats, which last long enough to overlap with loads of weights.
	shortChat = time.Second
	longChat  = 3 * time.Second
)

// streamDuration returns how long the stream of a request lasts. It depends only on the kind and the ID of the request,
// without the tag of the cluster.
func streamDuration(k kind, id string) time.Duration {
	sum := idHash(id)
	within := func(minimum, maximum time.Duration) time.Duration {
		return minimum + time.Duration(sum/10%uint64(maximum-minimum))
	}
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

// idHash returns a hash of a request's ID without the tag of the cluster.
func idHash(id string) uint64 {
	hash := fnv.New64a()
	name, _, _ := strings.Cut(id, tagSeparator)
	_, _ = hash.Write([]byte(name))
	return hash.Sum64()
}

// start starts a new run and returns its ID.
func (p *plainRunner) start() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts++
	id := fmt.Sprintf("%s-%d", p.name(), p.starts)
	p.current = &site.Runner{ID: id, Host: serverHost(p.proxy.address())}
	software := p.software
	run := p.current
	run.Handle = func(w http.ResponseWriter, r *http.Request) { p.handle(run, software, w, r) }
	p.events.beginRun(id, plainService, software)
	p.current.Start()
	if err := p.proxy.listenFor(p.current.Address()); err != nil {
		panic(err) // no other process uses the runner's address
	}
	return id
}

// endRun keeps the current run from beginning any more requests.
func (p *plainRunner) endRun() { p.events.endRun(p.id()) }

// closeRun closes the listener and all connections of the current run.
func (p *plainRunner) closeRun() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.proxy.endProcess(p.current.Crash)
	p.events.closeRun(p.current.ID)
}

func (p *plainRunner) handle(run *site.Runner, software string, w http.ResponseWriter, r *http.Request) {
	started := execution{ID: site.RequestID(r), Runner: run.ID, Zone: zoneOf(p.number), Software: software, After: resumedAfter(r), Fatal: fatalCause(r)}
	if started.Fatal != "" {
		p.events.crashRunner(started, p.crashAndReplace)
	}
	if p.backpressure.handle(p.events, run.ID, w, r) {
		return
	}
	if p.spoiler.handle(p.events, started, w, r) {
		return
	}
	respond(run, w, r, func(w http.ResponseWriter, r *http.Request) { p.answer(started, w, r) })
}

// resumedAfter returns the last event that the caller of a request has, or zero.
func resumedAfter(r *http.Request) int {
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		return 0
	}
	return last
}

// answer executes a request and writes its response.
func (p *plainRunner) answer(started execution, w http.ResponseWriter, r *http.Request) {
	if k := requestKind(r); k.streams() {
		streamPieces(w, r, p.events.beginExecution(started), started.Software, streamDuration(k, started.ID)/streamEvents)
		return
	}
	open := p.events.beginExecution(started)
	completed := waitOrCanceled(r, workTime)
	if completed {
		site.WriteResponse(w, r, expected(started.ID, kindOnce))
	}
	open.end(completed)
}

// unframedDivisor is the number of responses of which one has neither a length nor chunks.
const unframedDivisor = 4

// respond has the handler write the response to a request. Depending on the request's ID, the response ends with its
// connection.
func respond(run *site.Runner, w http.ResponseWriter, r *http.Request, handle http.HandlerFunc) {
	if idHash(site.RequestID(r))%unframedDivisor != 0 {
		handle(w, r)
		return
	}
	run.ServeUnframed(w, r, handle)
}

// requestKind returns the kind of a request, which is the first segment of its path.
func requestKind(r *http.Request) kind {
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return kind(first)
}

// waitOrCanceled waits for the given time. It returns false if the request is canceled first.
func waitOrCanceled(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// streamPieces answers a request with a stream of events that name the software version, with the given pause after each.
func streamPieces(w http.ResponseWriter, r *http.Request, open *openExecution, software string, pause time.Duration) {
	complete := false
	defer func() { open.end(complete) }()
	if !waitOrCanceled(r, workTime) {
		return
	}
	site.SetSealHeaders(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	open.recordFirstEvent()
	for i := resumedAfter(r) + 1; i <= streamEvents; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d%s%s\n\n", i, site.RequestID(r), i, softwareSeparator, software)
		if http.NewResponseController(w).Flush() != nil || !waitOrCanceled(r, pause) {
			return
		}
	}
	complete = true
}

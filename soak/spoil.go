package main

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// faultSpoil is drawn only together with the other spoilFaults.
const faultSpoil fault = "runner spoils some of its answers"

// spoilFaults are the faults under which nothing that a runner has not sealed may reach a caller or fill an entry's memory.
var spoilFaults = []fault{
	faultSpoil, faultSpoil, faultSpoil, faultSpoil, faultKill, faultPause, faultStop, faultStopAll, faultAgentKill, faultAgentPause, faultCrash, faultEngineCrash, faultReset, faultStoreSilent, faultWeights,
}

const (
	// spoilsOneOf is the number of answers of which a runner spoils one.
	spoilsOneOf = 4
	// maxSpoiledBytes is how much is sent of bytes without end, more than an entry may have memory.
	maxSpoiledBytes = 512 << 20
	// spoiledBlock is the size of one write of them.
	spoiledBlock = 64 << 10
)

// spoiledAnswer is sent in place of an answer. ID stands for the request's ID, and endless is repeated until the connection
// is closed.
type spoiledAnswer struct{ begin, endless string }

var spoiledAnswers = []spoiledAnswer{
	{begin: "HTTP/1.1 200 OK\r\nX-Rillreach-Attempt-Id: ID\r\nContent-Length: 11\r\n\r\nwrong bytes"},
	{begin: "HTTP/1.1 200 OK\r\nX-Rillreach-Attempt-Id: ID\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: wrong\n\n"},
	{begin: "HTTP/1.1 429 Too Many Requests\r\nX-Rillreach-Attempt-Id: ID\r\nContent-Length: 0\r\n\r\n"},
	{begin: "HTTP/1.1 200 OK\r\nX-Rillreach-Attempt-Id: ID\r\n\r\n", endless: "x"},
	{endless: "x"},
	{begin: "HTTP/1.1 200 OK\r\nX-Rillreach-Attempt-Id: ID\r\nName: ", endless: "x"},
	{begin: "HTTP/1.1 200 OK\r\nX-Rillreach-Attempt-Id: ID\r\n", endless: "a:b\r\n"},
	{endless: "HTTP/1.1 100 Continue\r\n\r\n"},
}

// spoiler spoils answers of a runner for some time. Its zero value spoils none.
type spoiler struct {
	mu    sync.Mutex
	until time.Time
}

// spoilFor spoils some answers for the given time.
func (s *spoiler) spoilFor(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = time.Now().Add(d)
}

// handle runs a request whose answer is spoiled, and reports whether it is one.
func (s *spoiler) handle(l *eventLog, started execution, w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	spoils := time.Now().Before(s.until)
	s.mu.Unlock()
	sum := idHash(started.ID + started.Runner)
	if !spoils || sum%spoilsOneOf != 0 {
		return false
	}
	started.Spoiled = true
	open := l.beginExecution(started)
	defer open.end(false)
	if waitOrCanceled(r, workTime) {
		spoiledAnswers[sum/spoilsOneOf%uint64(len(spoiledAnswers))].write(w, r)
	}
	return true
}

// write sends the answer and closes the connection.
func (a spoiledAnswer) write(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // the stand-in's server supports it
	}
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, strings.ReplaceAll(a.begin, "ID", site.RequestID(r)))
	if a.endless == "" {
		return
	}
	block := strings.Repeat(a.endless, spoiledBlock/len(a.endless))
	for sent := 0; sent < maxSpoiledBytes && err == nil; sent += len(block) {
		_, err = io.WriteString(conn, block)
	}
}

// injectSpoil makes a plain runner or an engine spoil some of its answers.
func (c *cluster) injectSpoil(a action, p *plainRunner, n *engine) {
	control, name := &p.spoiler, p.name()
	if a.Target%2 == 1 {
		control, name = &n.spoiler, n.name()
	}
	c.recordRunnerFault(name, a.Duration)
	control.spoilFor(a.Duration)
	c.schedule(a.Duration, func() {})
}

package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/internal/standin/site"
)

const (
	// stopHost, plainRoute and streamRoute are what callers ask while entries stop.
	stopHost    = "shop.example"
	plainRoute  = "plain"
	streamRoute = "flow"
	plainAnswer = "r1 says hello"
	// dialTimeout is how long a new connection may take, wholeFor when a caller gives an answer up; no test gets there.
	dialTimeout    = time.Second
	requestTimeout = 20 * time.Second
	// resetDelay is how long the reset of a connection that was closed with bytes unread may take on the loopback.
	resetDelay = 50 * time.Millisecond
)

// requestResult is what became of one request, as its caller saw it.
type requestResult string

const (
	complete          requestResult = "whole"
	refused           requestResult = "refused"        // 503 with Retry-After, which promises that it has not run
	truncated         requestResult = "cut"            // the head of an answer came, and not all of the rest
	unexpectedAnswer  requestResult = "without a word" // a whole answer of the entry that is neither the runner's nor a promise
	unanswered        requestResult = "unanswered"     // a connection was had and ended before any answer
	dialFailed        requestResult = "unconnected"
	cancelledByCaller requestResult = "hung up" // the caller gave up by itself, as the test told it to
)

// attempt is one request of one caller.
type attempt struct {
	id    string
	entry *stopEntry
	route string
	// reusedConn says that the connection had carried another request before.
	reusedConn bool
	// requestRead says that the entry had read the request when it closed the connection without a word.
	requestRead        bool
	began, sent, ended time.Time
	result             requestResult
	detail             string
}

// attemptLog holds the attempts of a test, and its callers that still run.
type attemptLog struct {
	// events are how many make a stream whole.
	events int
	// stopSending is closed when callers begin nothing more, hangUp when they hang up also on what runs; testOver ends them with a
	// test that has failed before.
	stopSending, hangUp chan struct{}
	testDone            <-chan struct{}

	callers  sync.WaitGroup
	lastID   atomic.Uint64
	mu       sync.Mutex
	attempts []attempt
}

func newAttemptLog(t *testing.T, events int) *attemptLog {
	t.Helper()
	return &attemptLog{events: events, stopSending: make(chan struct{}), hangUp: make(chan struct{}), testDone: t.Context().Done()}
}

func (l *attemptLog) add(a attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
}

// filter are the attempts of which something holds.
func (l *attemptLog) filter(match func(*attempt) bool) []attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []attempt
	for i := range l.attempts {
		if match(&l.attempts[i]) {
			found = append(found, l.attempts[i])
		}
	}
	return found
}

// callerConn is one connection of a caller. There is no client of package http between, which would repeat on its own what failed.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
	used   bool
}

func dial(address string) (*callerConn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// peerReadAll reports that the other side had read all that was sent when it closed the connection. Its system resets a connection
// that is closed with bytes unread, and one that gets bytes after it was closed; only after neither can more be written. A
// reset may come a moment after the end that the reader saw.
func (c *callerConn) peerReadAll(err error) bool {
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		return false
	}
	<-time.After(resetDelay)
	_, err = io.WriteString(c, "\r\n")
	return err == nil
}

// sendRequest sends one request and takes its answer; it reports whether the connection may carry another.
func (l *attemptLog) sendRequest(c *callerConn, a *attempt) (reusable bool) {
	_ = c.SetDeadline(time.Now().Add(requestTimeout))
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-l.hangUp:
			_ = c.SetDeadline(time.Unix(1, 0))
		case <-done:
		}
	}()
	a.reusedConn, c.used, a.sent = c.used, true, time.Now()
	request := fmt.Sprintf("GET /%s/x HTTP/1.1\r\nHost: %s\r\nX-Rillreach-Attempt-Id: %s\r\n\r\n", a.route, stopHost, a.id)
	if _, err := io.WriteString(c, request); err != nil {
		l.recordFailure(a, unanswered, err)
		return false
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		l.recordFailure(a, unanswered, err)
		a.requestRead = c.peerReadAll(err)
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		l.recordFailure(a, truncated, fmt.Errorf("status %d, %d bytes, then %w", resp.StatusCode, len(body), err))
		return false
	}
	a.ended = time.Now()
	a.result, a.detail = l.classify(resp, string(body), a)
	return !resp.Close
}

// recordFailure records a connection that ended too early, unless the caller ended it.
func (l *attemptLog) recordFailure(a *attempt, how requestResult, err error) {
	a.result, a.detail, a.ended = how, err.Error(), time.Now()
	select {
	case <-l.hangUp:
		a.result = cancelledByCaller
	default:
	}
}

// classify says what a complete answer is.
func (l *attemptLog) classify(resp *http.Response, body string, a *attempt) (requestResult, string) {
	detail := fmt.Sprintf("status %d, %d bytes", resp.StatusCode, len(body))
	if resp.StatusCode == http.StatusServiceUnavailable {
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if err == nil && after > 0 {
			return refused, detail
		}
		return unexpectedAnswer, detail + " without Retry-After"
	}
	sealed := resp.Header.Get("X-Rillreach-Response-Seal") != "" && resp.Header.Get("X-Rillreach-Attempt-Id") == a.id
	switch {
	case resp.StatusCode != http.StatusOK || !sealed:
		return unexpectedAnswer, detail
	case body != l.expectedBody(a.route):
		return truncated, detail
	default:
		return complete, detail
	}
}

// expectedBody is the whole answer of a route.
func (l *attemptLog) expectedBody(route string) string {
	if route == plainRoute {
		return plainAnswer
	}
	text := ""
	for id := 1; id <= l.events; id++ {
		text += site.EventText(id)
	}
	return text
}

func (l *attemptLog) newAttempt(to *stopEntry, route string) attempt {
	return attempt{id: fmt.Sprintf("%s-%d", route, l.lastID.Add(1)), entry: to, route: route, began: time.Now()}
}

// sendOnNewConn sends a request on a new connection, a pause after it was taken.
func (l *attemptLog) sendOnNewConn(to *stopEntry, route string, pause time.Duration) {
	a := l.newAttempt(to, route)
	if c := l.connect(&a); c != nil {
		<-time.After(pause)
		l.sendRequest(c, &a)
		_ = c.Close()
	}
	l.add(a)
}

// connect opens a connection for an attempt, or records that there was none.
func (l *attemptLog) connect(a *attempt) *callerConn {
	c, err := dial(a.entry.callerAddress)
	if err != nil {
		a.result, a.detail, a.ended = dialFailed, err.Error(), time.Now()
		return nil
	}
	return c
}

// sendOnNewConns begins a request on a new connection at each tick, and sends it a pause later, until callers begin nothing more.
func (l *attemptLog) sendOnNewConns(tick, pause time.Duration, route string, pick func() *stopEntry) {
	l.callers.Go(func() {
		l.onEachTick(tick, func() {
			l.callers.Go(func() { l.sendOnNewConn(pick(), route, pause) })
		})
	})
}

// sendOnKeepAliveConn sends requests on one connection for as long as the entry leaves it open, and then on the next.
func (l *attemptLog) sendOnKeepAliveConn(tick time.Duration, route string, pick func() *stopEntry) {
	var c *callerConn
	var to *stopEntry
	l.callers.Go(func() {
		l.onEachTick(tick, func() {
			if c == nil {
				to = pick()
			}
			a := l.newAttempt(to, route)
			if c == nil {
				c = l.connect(&a)
			}
			if c != nil && !l.sendRequest(c, &a) {
				_ = c.Close()
				c = nil
			}
			l.add(a)
		})
		if c != nil {
			_ = c.Close()
		}
	})
}

func (l *attemptLog) onEachTick(tick time.Duration, do func()) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-l.stopSending:
			return
		case <-l.testDone:
			return
		case <-ticker.C:
			do()
		}
	}
}

// finish lets callers begin nothing more, and waits for what runs.
func (l *attemptLog) finish() {
	close(l.stopSending)
	l.callers.Wait()
}

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
	// stopHost, plainRoute and streamRoute are the host and the routes that callers use while entries stop.
	stopHost    = "shop.example"
	plainRoute  = "plain"
	streamRoute = "flow"
	plainAnswer = "r1 says hello"
	// dialTimeout and requestTimeout bound a connection attempt and a whole request. No passing test reaches them.
	dialTimeout    = time.Second
	requestTimeout = 20 * time.Second
	// resetDelay is how long the reset of a connection that was closed with unread bytes may take on the loopback.
	resetDelay = 50 * time.Millisecond
)

// requestResult is the result of one request as its caller saw it.
type requestResult string

const (
	complete          requestResult = "complete"
	refused           requestResult = "refused"           // 503 with Retry-After: the request has not run
	truncated         requestResult = "truncated"         // the header arrived, but not the complete body
	unexpectedAnswer  requestResult = "unexpected answer" // neither the runner's answer nor a refusal with Retry-After
	unanswered        requestResult = "unanswered"        // the connection ended before any answer
	dialFailed        requestResult = "connection failed"
	cancelledByCaller requestResult = "cancelled" // the test closed hangUp
)

// attempt is one request of one caller.
type attempt struct {
	id    string
	entry *stopEntry
	route string
	// reusedConn reports that the connection had carried an earlier request.
	reusedConn bool
	// requestRead reports that the entry had read the request when it closed the connection without an answer.
	requestRead        bool
	began, sent, ended time.Time
	result             requestResult
	detail             string
}

// attemptLog records the attempts of a test and tracks its running callers.
type attemptLog struct {
	// events is the number of events in a complete stream.
	events int
	// Closing stopSending keeps callers from starting requests. Closing hangUp also makes them abandon running
	// requests. testDone ends the callers of a test that failed earlier.
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

// filter returns the attempts that match.
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

// callerConn is one connection of a caller. It does not use the client of net/http, which would retry some failed
// requests by itself.
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

// peerReadAll reports whether the peer had read everything that was sent when it closed the connection. The operating
// system of the peer resets a connection that is closed with unread bytes or that receives bytes after it was closed. A
// write therefore still succeeds only if neither has happened. The reset may arrive shortly after the reader sees the
// end of the stream.
func (c *callerConn) peerReadAll(err error) bool {
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		return false
	}
	<-time.After(resetDelay)
	_, err = io.WriteString(c, "\r\n")
	return err == nil
}

// sendRequest sends one request, reads its answer and reports whether the connection can be reused.
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

// recordFailure records a connection that ended early, as cancelled if the caller hung up.
func (l *attemptLog) recordFailure(a *attempt, how requestResult, err error) {
	a.result, a.detail, a.ended = how, err.Error(), time.Now()
	select {
	case <-l.hangUp:
		a.result = cancelledByCaller
	default:
	}
}

// classify returns the result that a complete answer stands for.
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

// expectedBody returns the complete answer of a route.
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

// sendOnNewConn opens a connection, waits for pause and then sends a request on it.
func (l *attemptLog) sendOnNewConn(to *stopEntry, route string, pause time.Duration) {
	a := l.newAttempt(to, route)
	if c := l.connect(&a); c != nil {
		<-time.After(pause)
		l.sendRequest(c, &a)
		_ = c.Close()
	}
	l.add(a)
}

// connect opens a connection for an attempt, or records the failure.
func (l *attemptLog) connect(a *attempt) *callerConn {
	c, err := dial(a.entry.callerAddress)
	if err != nil {
		a.result, a.detail, a.ended = dialFailed, err.Error(), time.Now()
		return nil
	}
	return c
}

// sendOnNewConns opens a connection at each tick and sends a request on it after pause, until stopSending is closed.
func (l *attemptLog) sendOnNewConns(tick, pause time.Duration, route string, pick func() *stopEntry) {
	l.callers.Go(func() {
		l.onEachTick(tick, func() {
			l.callers.Go(func() { l.sendOnNewConn(pick(), route, pause) })
		})
	})
}

// sendOnKeepAliveConn sends requests on one connection for as long as the entry keeps it open, and then on a new one.
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

// finish keeps callers from starting requests and waits for the running ones.
func (l *attemptLog) finish() {
	close(l.stopSending)
	l.callers.Wait()
}

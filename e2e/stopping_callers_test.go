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
	// dialFor is how long a new connection may take, wholeFor when a caller gives an answer up; no test gets there.
	dialFor  = time.Second
	wholeFor = 20 * time.Second
	// resetFor is how long the reset of a connection that was closed with bytes unread may take on the loopback.
	resetFor = 50 * time.Millisecond
)

// ending is what became of one request, as its caller saw it.
type ending string

const (
	whole       ending = "whole"
	refused     ending = "refused"        // 503 with Retry-After, which promises that it has not run
	cutOff      ending = "cut"            // the head of an answer came, and not all of the rest
	noPromise   ending = "without a word" // a whole answer of the entry that is neither the runner's nor a promise
	unanswered  ending = "unanswered"     // a connection was had and ended before any answer
	unconnected ending = "unconnected"
	hungUp      ending = "hung up" // the caller gave up by itself, as the test told it to
)

// attempt is one request of one caller.
type attempt struct {
	id    string
	entry *stopEntry
	route string
	// again says that the connection had carried another request before.
	again bool
	// taken says that the entry had read the request when it closed the connection without a word.
	taken              bool
	began, sent, ended time.Time
	how                ending
	detail             string
}

// ledger holds the attempts of a test, and its callers that still run.
type ledger struct {
	// events are how many make a stream whole.
	events int
	// over is closed when callers begin nothing more, leave when they hang up also on what runs; testOver ends them with a
	// test that has failed before.
	over, leave chan struct{}
	testOver    <-chan struct{}

	callers sync.WaitGroup
	names   atomic.Uint64
	mu      sync.Mutex
	list    []attempt
}

func newLedger(t *testing.T, events int) *ledger {
	t.Helper()
	return &ledger{events: events, over: make(chan struct{}), leave: make(chan struct{}), testOver: t.Context().Done()}
}

func (l *ledger) add(a attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, a)
}

// those are the attempts of which something holds.
func (l *ledger) those(holds func(*attempt) bool) []attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []attempt
	for i := range l.list {
		if holds(&l.list[i]) {
			found = append(found, l.list[i])
		}
	}
	return found
}

// line is one connection of a caller. There is no client of package http between, which would repeat on its own what failed.
type line struct {
	net.Conn
	reader *bufio.Reader
	used   bool
}

func dial(address string) (*line, error) {
	conn, err := net.DialTimeout("tcp", address, dialFor)
	if err != nil {
		return nil, err
	}
	return &line{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// tookAll reports that the other side had read all that was sent when it closed the connection. Its system resets a connection
// that is closed with bytes unread, and one that gets bytes after it was closed; only after neither can more be written. A
// reset may come a moment after the end that the reader saw.
func (c *line) tookAll(err error) bool {
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		return false
	}
	<-time.After(resetFor)
	_, err = io.WriteString(c, "\r\n")
	return err == nil
}

// ask sends one request and takes its answer; it reports whether the connection may carry another.
func (l *ledger) ask(c *line, a *attempt) (stays bool) {
	_ = c.SetDeadline(time.Now().Add(wholeFor))
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-l.leave:
			_ = c.SetDeadline(time.Unix(1, 0))
		case <-done:
		}
	}()
	a.again, c.used, a.sent = c.used, true, time.Now()
	request := fmt.Sprintf("GET /%s/x HTTP/1.1\r\nHost: %s\r\nX-Rillreach-Attempt-Id: %s\r\n\r\n", a.route, stopHost, a.id)
	if _, err := io.WriteString(c, request); err != nil {
		l.broke(a, unanswered, err)
		return false
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		l.broke(a, unanswered, err)
		a.taken = c.tookAll(err)
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		l.broke(a, cutOff, fmt.Errorf("status %d, %d bytes, then %w", resp.StatusCode, len(body), err))
		return false
	}
	a.ended = time.Now()
	a.how, a.detail = l.judge(resp, string(body), a)
	return !resp.Close
}

// broke records a connection that ended too early, unless the caller ended it.
func (l *ledger) broke(a *attempt, how ending, err error) {
	a.how, a.detail, a.ended = how, err.Error(), time.Now()
	select {
	case <-l.leave:
		a.how = hungUp
	default:
	}
}

// judge says what a complete answer is.
func (l *ledger) judge(resp *http.Response, body string, a *attempt) (ending, string) {
	detail := fmt.Sprintf("status %d, %d bytes", resp.StatusCode, len(body))
	if resp.StatusCode == http.StatusServiceUnavailable {
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if err == nil && after > 0 {
			return refused, detail
		}
		return noPromise, detail + " without Retry-After"
	}
	sealed := resp.Header.Get("X-Rillreach-Response-Seal") != "" && resp.Header.Get("X-Rillreach-Attempt-Id") == a.id
	switch {
	case resp.StatusCode != http.StatusOK || !sealed:
		return noPromise, detail
	case body != l.want(a.route):
		return cutOff, detail
	default:
		return whole, detail
	}
}

// want is the whole answer of a route.
func (l *ledger) want(route string) string {
	if route == plainRoute {
		return plainAnswer
	}
	text := ""
	for id := 1; id <= l.events; id++ {
		text += site.EventText(id)
	}
	return text
}

func (l *ledger) attempt(to *stopEntry, route string) attempt {
	return attempt{id: fmt.Sprintf("%s-%d", route, l.names.Add(1)), entry: to, route: route, began: time.Now()}
}

// once sends a request on a new connection, a pause after it was taken.
func (l *ledger) once(to *stopEntry, route string, pause time.Duration) {
	a := l.attempt(to, route)
	if c := l.connect(&a); c != nil {
		<-time.After(pause)
		l.ask(c, &a)
		_ = c.Close()
	}
	l.add(a)
}

// connect opens a connection for an attempt, or records that there was none.
func (l *ledger) connect(a *attempt) *line {
	c, err := dial(a.entry.callers)
	if err != nil {
		a.how, a.detail, a.ended = unconnected, err.Error(), time.Now()
		return nil
	}
	return c
}

// everyNew begins a request on a new connection at each tick, and sends it a pause later, until callers begin nothing more.
func (l *ledger) everyNew(tick, pause time.Duration, route string, pick func() *stopEntry) {
	l.callers.Go(func() {
		l.each(tick, func() {
			l.callers.Go(func() { l.once(pick(), route, pause) })
		})
	})
}

// keep sends requests on one connection for as long as the entry leaves it open, and then on the next.
func (l *ledger) keep(tick time.Duration, route string, pick func() *stopEntry) {
	var c *line
	var to *stopEntry
	l.callers.Go(func() {
		l.each(tick, func() {
			if c == nil {
				to = pick()
			}
			a := l.attempt(to, route)
			if c == nil {
				c = l.connect(&a)
			}
			if c != nil && !l.ask(c, &a) {
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

func (l *ledger) each(tick time.Duration, do func()) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-l.over:
			return
		case <-l.testOver:
			return
		case <-ticker.C:
			do()
		}
	}
}

// end lets callers begin nothing more, and waits for what runs.
func (l *ledger) end() {
	close(l.over)
	l.callers.Wait()
}

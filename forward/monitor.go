package forward

import (
	"context"
	"net/netip"
	"sync"
	"time"
)

// reconnectDelay is the time after which a monitor opens a connection again if the last one has ended or could not be opened. A
// runner with too many connections resets new ones.
const reconnectDelay = 250 * time.Millisecond

// monitor observes the process at an address by a connection of its own, for the sake of responses that end with their
// connections. The end of such a response doesn't tell whether it is complete or the process has ended. A second connection
// that was open before and still is does.
type monitor struct {
	pool *Pool
	to   netip.AddrPort

	mu sync.Mutex
	// maxConns limits the open connections to the runner. Zero means no limit.
	maxConns int
	// conn is nil while there is no connection. connecting is set while one is to be opened, but not before connectAfter.
	conn         *monitorConn
	connecting   bool
	connectAfter time.Time
	followers    map[*Follower]struct{}
	lastUsed     time.Time
}

// Follower observes the process that sends a response.
type Follower struct {
	monitor  *monitor
	response *Response
	// conn was open at some time before the end of the response was known. It is nil if there is no such connection. By then
	// arrivedBefore bytes had arrived on the connection of the response. The monitor's lock guards both.
	conn          *monitorConn
	arrivedBefore int64
}

// Follow observes the process that sends a response until the follower is closed. A positive maxConns limits the open
// connections to the runner.
func (p *Pool) Follow(r *Response, maxConns int) *Follower {
	p.mu.Lock()
	p.initMaps()
	m := p.monitors[r.address]
	if m == nil {
		m = &monitor{pool: p, to: r.address, followers: map[*Follower]struct{}{}}
		p.monitors[r.address] = m
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p.mu.Unlock() // not before, since an unused monitor is removed
	f := &Follower{monitor: m, response: r}
	m.maxConns, m.lastUsed = maxConns, time.Now()
	m.followers[f] = struct{}{}
	if m.conn != nil {
		f.use(m.conn)
	}
	m.connect()
	return f
}

// connect opens a connection in the background if one is needed. m.mu must be held.
func (m *monitor) connect() {
	if m.conn != nil || m.connecting || len(m.followers) == 0 {
		return
	}
	m.connecting = true
	time.AfterFunc(time.Until(m.connectAfter), m.open)
}

// use makes a connection tell of the process. The monitor's lock must be held.
func (f *Follower) use(c *monitorConn) {
	f.conn, f.arrivedBefore = c, f.response.arrivedBytes()
}

// open opens a connection, which is used for the responses that have not ended by then.
func (m *monitor) open() {
	m.mu.Lock()
	maxConns := m.maxConns
	m.mu.Unlock()
	c, err := m.pool.acquire(context.Background(), m.to, maxConns)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connecting, m.connectAfter = false, time.Now().Add(reconnectDelay)
	if err != nil {
		m.connect()
		return
	}
	m.conn = newMonitorConn(c)
	for f := range m.followers {
		if f.response.isEstablished() {
			f.use(m.conn)
		}
	}
	go m.serve(m.conn)
}

// serve reads from a connection until it ends, and has it replaced.
func (m *monitor) serve(c *monitorConn) {
	c.read()
	m.pool.discard(m.to, c.conn)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.conn == c {
		m.conn = nil
		m.connect()
	}
}

// disconnect closes the connection. m.mu must be held.
func (m *monitor) disconnect() {
	if m.conn != nil {
		_ = m.conn.conn.Close() // serve does the rest
		m.conn = nil
	}
}

// reconnect replaces the connection by one to a process that has just started.
func (m *monitor) reconnect() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.disconnect()
	m.connect()
}

// closeUnused closes the connection and returns true if the monitor was not used for the timeout.
func (m *monitor) closeUnused(now time.Time, timeout time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.followers) > 0 || now.Sub(m.lastUsed) < timeout {
		return false
	}
	m.disconnect()
	return true
}

// Close ends the observation.
func (f *Follower) Close() {
	m := f.monitor
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.followers, f)
	m.lastUsed = time.Now()
}

// Inquire begins to find out what becomes of the process that has sent the response, which has been read to its end.
func (f *Follower) Inquire() *Inquiry {
	f.monitor.mu.Lock()
	defer f.monitor.mu.Unlock()
	i := &Inquiry{conn: f.conn, responseEnded: time.Now()}
	if i.conn == nil {
		return i
	}
	opened, r := i.conn.conn.openedAt, f.response
	i.notEarlier = opened.After(r.conn.openedAt)
	i.notLater = opened.Before(r.sentAt) || r.conn.BytesRead() > f.arrivedBefore
	i.lastUsed = i.conn.usedAt()
	return i
}

package forward

import (
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// maxOpenQuestions is how many questions may wait for their answers on one connection. A full runner takes a while to answer,
// and gets them one after the other.
const maxOpenQuestions = 32

// errManyQuestions means that too many questions wait for their answers.
var errManyQuestions = errors.New("too many questions without an answer")

// monitorConn is a connection of a monitor.
type monitorConn struct {
	conn *conn

	mu sync.Mutex
	// open is the number of questions without an answer.
	open     int
	lastUsed time.Time
	// closedAt is when the other side closed the connection, and failed is set once it is unusable for another reason. ended
	// is closed in both cases.
	closedAt time.Time
	failed   bool
	ended    chan struct{}
}

func newMonitorConn(c *conn) *monitorConn {
	return &monitorConn{conn: c, lastUsed: time.Now(), ended: make(chan struct{})}
}

// read reads the answers to the questions until the connection ends.
func (c *monitorConn) read() {
	for {
		head, err := c.conn.readHead(http.MethodGet)
		if err == nil {
			err = skipBody(head)
		}
		if err != nil {
			c.end(err)
			return
		}
		c.handleAnswer()
	}
}

func (c *monitorConn) handleAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUsed = time.Now()
	c.open = max(0, c.open-1)
}

// end records that the connection has ended.
func (c *monitorConn) end(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ClosedByRunner(err) && !errors.Is(err, syscall.ETIMEDOUT) {
		c.closedAt = time.Now()
	} else {
		c.failed = true
	}
	close(c.ended)
}

// ask sends a question. If that fails, the connection ends, unless the error is errManyQuestions.
func (c *monitorConn) ask(question *Request) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open >= maxOpenQuestions {
		return errManyQuestions
	}
	c.open++
	c.lastUsed = time.Now()
	_, err := c.conn.writeRequest(question)
	return err
}

// hasReceived reports whether the other side has received all questions.
func (c *monitorConn) hasReceived() bool {
	acknowledged, err := c.conn.IsAcknowledged()
	if err != nil || !acknowledged {
		return false
	}
	established, err := c.conn.IsEstablished() // nothing counts as unacknowledged once the connection has failed
	return err == nil && established
}

// usedAt returns when data was last sent or received.
func (c *monitorConn) usedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastUsed
}

// state returns when the other side closed the connection, zero if it has not, and whether the connection is unusable for
// another reason.
func (c *monitorConn) state() (closedAt time.Time, failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedAt, c.failed
}

package socket

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrUnacknowledged means that a connection failed before the other side had received all that was written to it.
var ErrUnacknowledged = errors.Wrap(io.ErrUnexpectedEOF, "connection failed before all written data was received")

// acknowledgementPoll is the interval of the checks for acknowledgements, of which the kernel does not notify.
const acknowledgementPoll = 5 * time.Millisecond

// Conn is a connection whose reads return io.EOF only if the other side has ended it in an orderly way. The kernel reports
// the failure of a connection once, to whichever call comes first, and a plain end to all reads after that.
type Conn struct {
	net.Conn

	bytesRead atomic.Int64

	mu sync.Mutex
	// failure is the first failure that another call than a read was told.
	failure error
}

// Read reads data. At the end of the connection it returns the failure that another call was told, if there is one, marked
// as io.ErrUnexpectedEOF.
func (c *Conn) Read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	c.bytesRead.Add(int64(n))
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return n, errors.Mark(c.failure, io.ErrUnexpectedEOF)
	}
	return n, err
}

// BytesRead returns the number of bytes that have been read.
func (c *Conn) BytesRead() int64 { return c.bytesRead.Load() }

// IsAcknowledged reports whether the other side has received all that was written.
func (c *Conn) IsAcknowledged() (bool, error) {
	unacknowledged, err := unacknowledgedBytes(c.Conn)
	return unacknowledged == 0, err
}

// AwaitAcknowledged waits until the other side has received all that was written. It returns an error once the connection
// has failed or was closed.
func (c *Conn) AwaitAcknowledged() error {
	for {
		failed, err := hasFailed(c.Conn) // before the check, after which no more is acknowledged
		if err != nil {
			return err
		}
		acknowledged, err := c.IsAcknowledged()
		switch {
		case err != nil:
			return err
		case acknowledged:
			return nil
		case failed:
			return ErrUnacknowledged
		}
		time.Sleep(acknowledgementPoll)
	}
}

// IsEstablished reports whether neither side has ended the connection, as far as that has arrived. Data may be unread.
func (c *Conn) IsEstablished() (bool, error) { return isEstablished(c.Conn) }

// UnreadBytes returns the number of bytes that have arrived and were not read yet.
func (c *Conn) UnreadBytes() (int, error) { return UnreadBytes(c.Conn) }

// Write writes data.
func (c *Conn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.recordFailure(err)
	}
	return n, err
}

// IsQuiet reports whether the connection is open and has nothing to read. It may be called during Read.
func (c *Conn) IsQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	quiet, err := IsQuiet(c.Conn)
	if err != nil {
		c.recordFailure(err)
	}
	return err == nil && quiet
}

// recordFailure keeps the first failure. The caller must hold the lock.
func (c *Conn) recordFailure(err error) {
	if c.failure == nil {
		c.failure = err
	}
}

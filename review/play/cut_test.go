//go:build review

package play

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// cutLink is the link to a runner: it passes all bytes on, or holds them back while it is cut. What was held back arrives once
// the cut has healed, as what is sent again does.
type cutLink struct {
	listener net.Listener
	to       string

	mu     sync.Mutex
	healed chan struct{}
}

// newCutLink listens at an address and passes on what arrives there.
func newCutLink(at, to string) (*cutLink, error) {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return nil, errors.Wrap(err, "listen for a link")
	}
	c := &cutLink{listener: l, to: to}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.pass(conn)
		}
	}()
	return c, nil
}

// pass passes one connection on. If nothing listens at the other end, it is reset.
func (c *cutLink) pass(near net.Conn) {
	c.await()
	far, err := net.DialTimeout("tcp", c.to, time.Second)
	if err != nil {
		_ = near.(*net.TCPConn).SetLinger(0)
		_ = near.Close()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.copy(far, near) })
	wg.Go(func() { c.copy(near, far) })
	wg.Wait()
	_ = near.Close()
	_ = far.Close()
}

// copy passes the bytes of one direction on, and their end.
func (c *cutLink) copy(to, from net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		c.await()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

// await waits while the link is cut.
func (c *cutLink) await() {
	c.mu.Lock()
	healed := c.healed
	c.mu.Unlock()
	if healed != nil {
		<-healed
	}
}

// cut cuts the link until the returned function is called.
func (c *cutLink) cut() (heal func()) {
	healed := make(chan struct{})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.healed = healed
	return func() {
		c.mu.Lock()
		c.healed = nil
		c.mu.Unlock()
		close(healed)
	}
}

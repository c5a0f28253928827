package site

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

const (
	// fillTimeout is how long a connection attempt may take until the queue of a silent address counts as full.
	fillTimeout = 50 * time.Millisecond
	// fillConns is the number of connections that fill the shortest queue.
	fillConns = 4
)

// Link is the way to a runner. While it is silent, connections carry nothing and new ones get no answer, as if the runner's
// machine had lost power or were cut off.
type Link struct {
	address netip.AddrPort
	to      netip.AddrPort

	mu sync.Mutex
	// silence is closed when the silence ends, nil while there is none. fillers fill the queue meanwhile.
	silence  chan struct{}
	fillers  []io.Closer
	listener net.Listener
	conns    map[*net.TCPConn]struct{}
}

// NewLink returns a link to an address. It is closed by Close.
func NewLink(to netip.AddrPort) (*Link, error) {
	l := &Link{to: to, conns: map[*net.TCPConn]struct{}{}}
	return l, l.listen("127.0.0.1:0")
}

// Address returns the address at which the runner is reached by the link.
func (l *Link) Address() netip.AddrPort { return l.address }

// listen accepts connections at an address.
func (l *Link) listen(address string) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	l.listener, l.address = listener, netip.MustParseAddrPort(listener.Addr().String())
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(conn.(*net.TCPConn))
		}
	}()
	return nil
}

// carry carries a connection.
func (l *Link) carry(near *net.TCPConn) {
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", l.to.String())
	if err != nil {
		resetConn(near)
		return
	}
	far := conn.(*net.TCPConn)
	l.mu.Lock()
	l.conns[near], l.conns[far] = struct{}{}, struct{}{}
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { l.copy(far, near) })
	wg.Go(func() { l.copy(near, far) })
	wg.Wait()
	l.mu.Lock()
	delete(l.conns, near)
	delete(l.conns, far)
	l.mu.Unlock()
	_ = near.Close()
	_ = far.Close()
}

// copy carries one direction of a connection.
func (l *Link) copy(to, from *net.TCPConn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		l.await()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

// await waits until the link is not silent.
func (l *Link) await() {
	l.mu.Lock()
	silence := l.silence
	l.mu.Unlock()
	if silence != nil {
		<-silence
	}
}

// Silence makes the link silent. It does nothing if the link is.
func (l *Link) Silence() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silence != nil {
		return nil
	}
	l.silence = make(chan struct{})
	_ = l.listener.Close()
	fillers, err := fillQueue(l.address)
	l.fillers = fillers
	return err
}

// Restore ends a silence. If the runner's machine has started anew, it resets the connections of before.
func (l *Link) Restore(restarted bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silence == nil {
		return nil
	}
	for _, f := range l.fillers {
		_ = f.Close()
	}
	if restarted {
		for conn := range l.conns {
			resetConn(conn)
		}
	}
	close(l.silence)
	l.silence = nil
	return l.listen(l.address.String())
}

// Close closes the link and its connections.
func (l *Link) Close() {
	_ = l.Restore(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
	for conn := range l.conns {
		_ = conn.Close()
	}
}

func resetConn(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// socketCloser closes a socket.
type socketCloser int

// Close closes the socket.
func (s socketCloser) Close() error { return syscall.Close(int(s)) }

// fillQueue makes connection attempts to an address get no answer, since its queue of connections is full.
func fillQueue(address netip.AddrPort) ([]io.Closer, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	closers := []io.Closer{socketCloser(fd)}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return closers, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()}); err != nil {
		return closers, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return closers, err
	}
	for range fillConns {
		conn, err := (&net.Dialer{Timeout: fillTimeout}).DialContext(context.Background(), "tcp", address.String())
		if err != nil {
			return closers, nil
		}
		closers = append(closers, conn)
	}
	return closers, nil
}

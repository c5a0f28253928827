// Package socket reads and sets properties of TCP sockets that package net does not expose.
package socket

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// SetUserTimeout sets how long sent data may remain unacknowledged before the connection is closed. It does nothing if
// the connection is not a socket.
func SetUserTimeout(conn any, timeout time.Duration) error {
	err := control(conn, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Wrap(err, "set TCP user timeout")
}

// UnreadBytes returns the number of bytes that have arrived on a connection and were not read yet. It is zero if the
// connection is not a socket.
func UnreadBytes(conn any) (int, error) {
	unread := 0
	err := control(conn, func(fd int) error {
		var err error
		unread, err = unix.IoctlGetInt(fd, unix.TIOCINQ)
		return err
	})
	return unread, errors.Wrap(err, "get number of unread bytes")
}

// unacknowledgedBytes returns the number of bytes written to a connection that the other side has not acknowledged. It is
// zero if the connection is not a socket.
func unacknowledgedBytes(conn any) (int, error) {
	unacknowledged := 0
	err := control(conn, func(fd int) error {
		var err error
		unacknowledged, err = unix.IoctlGetInt(fd, unix.TIOCOUTQ)
		return err
	})
	return unacknowledged, errors.Wrap(err, "get number of unacknowledged bytes")
}

// hasFailed reports whether a connection was reset or has timed out, which is known also after its error was reported. It
// is false if the connection is not a socket.
func hasFailed(conn any) (bool, error) {
	failed := false
	err := control(conn, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		failed = err == nil && info.State == unix.BPF_TCP_CLOSE
		return err
	})
	return failed, errors.Wrap(err, "get state of connection")
}

// isEstablished reports whether neither side of a connection has ended it, also while data is unread. It is true if the
// connection is not a socket.
func isEstablished(conn any) (bool, error) {
	established := true
	err := control(conn, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		established = err == nil && info.State == unix.BPF_TCP_ESTABLISHED
		return err
	})
	return established, errors.Wrap(err, "get state of connection")
}

// IsQuiet reports whether a connection is open and has nothing to read. It is true if the connection is not a socket. It
// returns the error of a connection that has failed, which no other call is told then.
func IsQuiet(conn any) (bool, error) {
	quiet := true
	err := control(conn, func(fd int) error {
		readable, err := peek(fd)
		quiet = !readable
		return err
	})
	return quiet, errors.Wrap(err, "peek at connection")
}

// ErrNoSocket means that a connection is not a socket.
var ErrNoSocket = errors.New("connection is not a socket")

// AwaitReadable waits until a read from the connection would return at once, or until the connection's read deadline.
func AwaitReadable(conn any) error {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return ErrNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "access socket")
	}
	err = raw.Read(func(fd uintptr) bool {
		readable, err := peek(int(fd))
		return readable || err != nil // the error follows when the data is read, or the connection ends there
	})
	return errors.Wrap(err, "wait for data")
}

// peek reports whether a socket has data to read or has reached the end of its data. It returns the error of a socket that
// has failed.
func peek(fd int) (readable bool, err error) {
	var buf [1]byte
	for {
		_, _, err := unix.Recvfrom(fd, buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return false, nil
		default:
			return err == nil, err
		}
	}
}

// HasPendingConn reports whether a listener has connections that were not accepted yet. It is false if the listener is
// not a socket.
func HasPendingConn(listener any) (bool, error) {
	pending := false
	err := control(listener, func(fd int) error {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		_, err := unix.Poll(fds, 0)
		pending = err == nil && fds[0].Revents&unix.POLLIN != 0
		return err
	})
	return pending, errors.Wrap(err, "poll listener")
}

// control calls fn with the file descriptor of a socket.
func control(conn any, fn func(fd int) error) error {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "access socket")
	}
	var fnErr error
	if err := raw.Control(func(fd uintptr) { fnErr = fn(int(fd)) }); err != nil {
		return errors.Wrap(err, "access socket")
	}
	return fnErr
}

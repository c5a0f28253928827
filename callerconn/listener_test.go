package callerconn

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// lateConn is a connection whose reads return a while after they have taken the data.
type lateConn struct {
	*net.TCPConn
	taken func()
}

func (c *lateConn) Read(buf []byte) (int, error) {
	n, err := c.TCPConn.Read(buf)
	c.taken()
	return n, err
}

// connect returns both ends of a connection.
func connect(t *testing.T) (client net.Conn, server *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { assert.NoError(t, listener.Close()) }()
	client, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return client, accepted.(*net.TCPConn)
}

// Guards against closing a connection as idle whose request has been read and is not recorded yet.
func TestIdleCloserClosesConnectionBeingRead(t *testing.T) {
	hour := func() time.Duration { return time.Hour }
	k := &IdleCloser{IdleTimeout: hour, HeadTimeout: hour}
	client, server := connect(t)
	closed := make(chan int, 1)
	conn := &trackedConn{idleConns: k, Conn: &lateConn{TCPConn: server, taken: func() {
		go func() { closed <- k.CloseIdle() }()
		time.Sleep(20 * time.Millisecond) // in which connections that are taken for idle are closed
	}}}
	k.ConnState(conn, http.StateIdle)
	_, err := io.WriteString(client, "GET")
	require.NoError(t, err)
	buf := make([]byte, 8)
	n, err := conn.Read(buf)
	require.NoError(t, err)
	assert.Equal(t, "GET", string(buf[:n]))
	assert.Equal(t, 1, <-closed, "the request counts as incomplete")
	_, err = io.WriteString(conn, "answer")
	assert.NoError(t, err)
}

func TestTrackedConn(t *testing.T) {
	hour := func() time.Duration { return time.Hour }
	begin := func(t *testing.T) (*trackedConn, net.Conn) {
		t.Helper()
		k := &IdleCloser{IdleTimeout: hour, HeadTimeout: hour}
		client, server := connect(t)
		conn := &trackedConn{idleConns: k, Conn: server}
		k.ConnState(conn, http.StateIdle)
		return conn, client
	}
	read := func(conn net.Conn) error {
		_, err := conn.Read(make([]byte, 8))
		return err
	}
	t.Run("a read ends at its deadline with an error of package net", func(t *testing.T) {
		conn, _ := begin(t)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Millisecond)))
		timeout, ok := read(conn).(net.Error) //nolint:errorlint // as package http checks it
		require.True(t, ok)
		assert.True(t, timeout.Timeout())
	})
	t.Run("a read that waits ends when the connection is closed", func(t *testing.T) {
		conn, _ := begin(t)
		time.AfterFunc(time.Millisecond, func() { _ = conn.Close() })
		assert.ErrorIs(t, read(conn), net.ErrClosed)
	})
	t.Run("the end of the stream", func(t *testing.T) {
		conn, client := begin(t)
		require.NoError(t, client.Close())
		assert.Equal(t, io.EOF, read(conn))
	})
	t.Run("a read that waits does not keep others from being closed", func(t *testing.T) {
		conn, _ := begin(t)
		ended := make(chan error, 1)
		go func() { ended <- read(conn) }()
		assert.Zero(t, conn.idleConns.CloseIdle())
		assert.ErrorIs(t, <-ended, net.ErrClosed)
	})
}

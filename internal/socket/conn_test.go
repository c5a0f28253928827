package socket

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// connPair returns the two ends of a connection.
func connPair(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	server, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return &Conn{Conn: client}, server.(*net.TCPConn)
}

func TestConn(t *testing.T) {
	t.Run("an orderly end is io.EOF", func(t *testing.T) {
		c, server := connPair(t)
		require.NoError(t, server.Close())
		eventually(t, func() bool { return !c.IsQuiet() })
		_, err := c.Read(make([]byte, 1))
		assert.Equal(t, io.EOF, err)
	})
	for name, use := range map[string]func(*Conn) bool{
		"a write": func(c *Conn) bool { _, err := c.Write([]byte("x")); return err != nil },
		"a peek":  func(c *Conn) bool { return !c.IsQuiet() },
	} {
		t.Run("a reset that "+name+" was told is no orderly end", func(t *testing.T) {
			c, server := connPair(t)
			require.NoError(t, server.SetLinger(0))
			require.NoError(t, server.Close())
			eventually(t, func() bool { return use(c) })
			_, err := c.Read(make([]byte, 1))
			require.ErrorIs(t, err, syscall.ECONNRESET)
			assert.True(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
		})
	}
	t.Run("an end before a write that fails is no orderly end", func(t *testing.T) {
		c, server := connPair(t)
		require.NoError(t, server.Close())
		eventually(t, func() bool { _, err := c.Write([]byte("x")); return err != nil })
		_, err := c.Read(make([]byte, 1))
		assert.True(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
	})
	t.Run("data that was received is acknowledged", func(t *testing.T) {
		c, _ := connPair(t)
		_, err := c.Write([]byte("x"))
		require.NoError(t, err)
		assert.NoError(t, c.AwaitAcknowledged())
	})
	t.Run("data that was not received when the connection failed is not", func(t *testing.T) {
		c, server := connPair(t)
		go func() { _, _ = c.Write(make([]byte, 16<<20)) }()
		eventually(t, func() bool { acknowledged, err := c.IsAcknowledged(); return err == nil && !acknowledged })
		require.NoError(t, server.SetLinger(0))
		require.NoError(t, server.Close())
		assert.ErrorIs(t, c.AwaitAcknowledged(), ErrUnacknowledged)
	})
}

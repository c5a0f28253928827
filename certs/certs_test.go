package certs

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
)

func authority(t *testing.T) *Authority {
	t.Helper()
	a, err := NewAuthority(time.Hour)
	require.NoError(t, err)
	return a
}

func source(t *testing.T, a *Authority, role rillreach.Role) *Source {
	t.Helper()
	pair, err := a.Issue(role, time.Hour)
	require.NoError(t, err)
	return &Source{Certificate: string(pair.Certificate), Key: string(pair.Key), Authority: string(a.Certificate)}
}

// shake shakes hands between two sources, and returns what each side found.
func shake(t *testing.T, client, server *Source) (error, error) {
	t.Helper()
	clientConfig, err := client.TLSConfig()
	require.NoError(t, err)
	serverConfig, err := server.TLSConfig()
	require.NoError(t, err)
	listener, err := tls.Listen("tcp", "127.0.0.1:0", serverConfig)
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	found := make(chan error, 1)
	go func() { found <- acceptOne(listener) }()
	conn, err := tls.Dial("tcp", listener.Addr().String(), clientConfig)
	if err == nil {
		_ = conn.Close()
	}
	return err, <-found
}

func acceptOne(listener net.Listener) error {
	conn, err := listener.Accept()
	if err != nil {
		return err
	}
	err = conn.(*tls.Conn).Handshake()
	_ = conn.Close()
	return err
}

func TestHandshake(t *testing.T) {
	fleet, other := authority(t), authority(t)
	t.Run("two of one fleet know each other", func(t *testing.T) {
		clientErr, serverErr := shake(t, source(t, fleet, rillreach.RoleEntry), source(t, fleet, rillreach.RoleAgent))
		assert.NoError(t, clientErr)
		assert.NoError(t, serverErr)
	})
	t.Run("one of another fleet is refused by both", func(t *testing.T) {
		clientErr, _ := shake(t, source(t, fleet, rillreach.RoleEntry), source(t, other, rillreach.RoleAgent))
		require.Error(t, clientErr)
		_, serverErr := shake(t, source(t, other, rillreach.RoleEntry), source(t, fleet, rillreach.RoleAgent))
		assert.Error(t, serverErr)
	})
}

func TestSource(t *testing.T) {
	t.Run("a file that changes is read again", func(t *testing.T) {
		a := authority(t)
		dir := t.TempDir()
		s := source(t, a, rillreach.RoleEntry)
		file := filepath.Join(dir, "cert.pem")
		key := filepath.Join(dir, "key.pem")
		require.NoError(t, os.WriteFile(file, []byte(s.Certificate), 0o600))
		require.NoError(t, os.WriteFile(key, []byte(s.Key), 0o600))
		s.Certificate, s.Key = file, key
		before, err := s.certificate()
		require.NoError(t, err)
		next := source(t, a, rillreach.RoleEntry)
		require.NoError(t, os.WriteFile(file, []byte(next.Certificate), 0o600))
		require.NoError(t, os.WriteFile(key, []byte(next.Key), 0o600))
		require.NoError(t, os.Chtimes(file, time.Now(), time.Now().Add(time.Minute)))
		s.checked = time.Time{}
		after, err := s.certificate()
		require.NoError(t, err)
		assert.NotEqual(t, before.Certificate, after.Certificate)
	})
	t.Run("a file that is spoiled leaves the last good one in force", func(t *testing.T) {
		s := source(t, authority(t), rillreach.RoleEntry)
		before, err := s.certificate()
		require.NoError(t, err)
		s.Certificate, s.checked, s.stamp = "-----BEGIN nothing", time.Time{}, [3]time.Time{time.Now()}
		after, err := s.certificate()
		require.NoError(t, err)
		assert.Equal(t, before.Certificate, after.Certificate)
	})
	t.Run("what cannot be loaded at the start is an error", func(t *testing.T) {
		_, err := (&Source{Certificate: "no such file"}).TLSConfig()
		assert.Error(t, err)
	})
	t.Run("a certificate says its role", func(t *testing.T) {
		c, err := source(t, authority(t), rillreach.RoleAgent).certificate()
		require.NoError(t, err)
		parsed, err := x509.ParseCertificate(c.Certificate[0])
		require.NoError(t, err)
		assert.Equal(t, []string{"agent"}, parsed.Subject.OrganizationalUnit)
	})
}

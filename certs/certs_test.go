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

func newAuthority(t *testing.T) *Authority {
	t.Helper()
	a, err := NewAuthority(time.Hour)
	require.NoError(t, err)
	return a
}

func newSource(t *testing.T, a *Authority, role rillreach.Role) *Source {
	t.Helper()
	pair, err := a.Issue(role, time.Hour)
	require.NoError(t, err)
	return &Source{Certificate: string(pair.Certificate), Key: string(pair.Key), Authority: string(a.Certificate)}
}

// handshake performs a TLS handshake between two sources and returns the errors of the client and the server.
func handshake(t *testing.T, client, server *Source) (error, error) {
	t.Helper()
	clientConfig, err := client.TLSConfig()
	require.NoError(t, err)
	serverConfig, err := server.TLSConfig()
	require.NoError(t, err)
	listener, err := tls.Listen("tcp", "127.0.0.1:0", serverConfig)
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	serverErr := make(chan error, 1)
	go func() { serverErr <- acceptOne(listener) }()
	conn, err := tls.Dial("tcp", listener.Addr().String(), clientConfig)
	if err == nil {
		_ = conn.Close()
	}
	return err, <-serverErr
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

func TestHandshakeRequiresSameAuthority(t *testing.T) {
	own, other := newAuthority(t), newAuthority(t)
	t.Run("same authority is accepted", func(t *testing.T) {
		clientErr, serverErr := handshake(t, newSource(t, own, rillreach.RoleEntry), newSource(t, own, rillreach.RoleAgent))
		assert.NoError(t, clientErr)
		assert.NoError(t, serverErr)
	})
	t.Run("other authority is rejected by client and server", func(t *testing.T) {
		clientErr, _ := handshake(t, newSource(t, own, rillreach.RoleEntry), newSource(t, other, rillreach.RoleAgent))
		require.Error(t, clientErr)
		_, serverErr := handshake(t, newSource(t, other, rillreach.RoleEntry), newSource(t, own, rillreach.RoleAgent))
		assert.Error(t, serverErr)
	})
}

func TestSourceReload(t *testing.T) {
	t.Run("changed file is reloaded", func(t *testing.T) {
		a := newAuthority(t)
		dir := t.TempDir()
		s := newSource(t, a, rillreach.RoleEntry)
		file := filepath.Join(dir, "cert.pem")
		key := filepath.Join(dir, "key.pem")
		require.NoError(t, os.WriteFile(file, []byte(s.Certificate), 0o600))
		require.NoError(t, os.WriteFile(key, []byte(s.Key), 0o600))
		s.Certificate, s.Key = file, key
		before, err := s.certificate()
		require.NoError(t, err)
		next := newSource(t, a, rillreach.RoleEntry)
		require.NoError(t, os.WriteFile(file, []byte(next.Certificate), 0o600))
		require.NoError(t, os.WriteFile(key, []byte(next.Key), 0o600))
		require.NoError(t, os.Chtimes(file, time.Now(), time.Now().Add(time.Minute)))
		s.lastCheck = time.Time{}
		after, err := s.certificate()
		require.NoError(t, err)
		assert.NotEqual(t, before.Certificate, after.Certificate)
	})
	t.Run("failed reload keeps the previous certificate", func(t *testing.T) {
		s := newSource(t, newAuthority(t), rillreach.RoleEntry)
		before, err := s.certificate()
		require.NoError(t, err)
		s.Certificate, s.lastCheck, s.modTimes = "-----BEGIN nothing", time.Time{}, [3]time.Time{time.Now()}
		after, err := s.certificate()
		require.NoError(t, err)
		assert.Equal(t, before.Certificate, after.Certificate)
	})
	t.Run("failed first load is an error", func(t *testing.T) {
		_, err := (&Source{Certificate: "no such file"}).TLSConfig()
		assert.Error(t, err)
	})
	t.Run("organizational unit is the role", func(t *testing.T) {
		c, err := newSource(t, newAuthority(t), rillreach.RoleAgent).certificate()
		require.NoError(t, err)
		parsed, err := x509.ParseCertificate(c.Certificate[0])
		require.NoError(t, err)
		assert.Equal(t, []string{"agent"}, parsed.Subject.OrganizationalUnit)
	})
}

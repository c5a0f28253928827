package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// checkInterval is the minimum time between two checks whether the files have changed.
const checkInterval = time.Second

// Source provides the certificate of a process. Each exported field is PEM text or the path of a PEM file, which is
// reloaded when its modification time changes.
type Source struct {
	Certificate string
	Key         string
	Authority   string

	mu          sync.Mutex
	lastCheck   time.Time
	modTimes    [3]time.Time
	credentials *credentials
}

// credentials is the loaded certificate with its key, and the pool with the fleet's authority.
type credentials struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// TLSConfig returns a configuration for mutual TLS between the processes of a fleet, for clients and servers.
func (s *Source) TLSConfig() (*tls.Config, error) {
	if _, err := s.current(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		// Peers are identified by the fleet's authority and their role, not by host name, so the standard verification
		// can't be used. The verify method checks the authority.
		InsecureSkipVerify:   true, //nolint:gosec // see above
		VerifyConnection:     s.verify,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.certificate() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.certificate() },
	}, nil
}

func (s *Source) certificate() (*tls.Certificate, error) {
	c, err := s.current()
	if err != nil {
		return nil, err
	}
	return &c.certificate, nil
}

// verify checks the peer's certificate against the current certificate of the fleet's authority.
func (s *Source) verify(state tls.ConnectionState) error {
	c, err := s.current()
	if err != nil {
		return err
	}
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer has no certificate")
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: c.authority, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "verify certificate of peer")
}

// current returns the loaded credentials, and reloads them if a file has changed. If reloading fails, for example
// because a file can't be read or the key doesn't match the certificate, the previous credentials stay in use.
func (s *Source) current() (*credentials, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.credentials != nil && now.Sub(s.lastCheck) < checkInterval {
		return s.credentials, nil
	}
	s.lastCheck = now
	modTimes := s.readModTimes()
	if s.credentials != nil && modTimes == s.modTimes {
		return s.credentials, nil
	}
	fresh, err := s.load()
	if err != nil && s.credentials == nil {
		return nil, err
	}
	if err == nil {
		s.credentials, s.modTimes = fresh, modTimes
	}
	return s.credentials, nil
}

// readModTimes returns the modification times of the files. Entries for PEM text and unreadable files stay zero.
func (s *Source) readModTimes() [3]time.Time {
	var modTimes [3]time.Time
	for i, field := range []string{s.Certificate, s.Key, s.Authority} {
		if info, err := os.Stat(field); err == nil && !isPEM(field) {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

func (s *Source) load() (*credentials, error) {
	var parts [3][]byte
	for i, field := range []string{s.Certificate, s.Key, s.Authority} {
		data, err := readPEM(field)
		if err != nil {
			return nil, err
		}
		parts[i] = data
	}
	certificate, err := tls.X509KeyPair(parts[0], parts[1])
	if err != nil {
		return nil, errors.Wrap(err, "load certificate and key")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(parts[2]) {
		return nil, errors.New("load certificate authority: no valid PEM certificate found")
	}
	return &credentials{certificate: certificate, authority: pool}, nil
}

func isPEM(field string) bool { return strings.Contains(field, "-----BEGIN") }

func readPEM(field string) ([]byte, error) {
	if isPEM(field) {
		return []byte(field), nil
	}
	data, err := os.ReadFile(field)
	return data, errors.Wrap(err, "read PEM file")
}

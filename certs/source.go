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

// checkEvery is the least time between two looks at whether the files have changed.
const checkEvery = time.Second

// Source is where a process's certificate comes from: each field is PEM, or the path of a PEM file that is read again
// when it has changed.
type Source struct {
	Certificate string
	Key         string
	Authority   string

	mu      sync.Mutex
	checked time.Time
	stamp   [3]time.Time
	loaded  *loaded
}

type loaded struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// TLSConfig makes the configuration with which both sides of a connection prove that they belong to the fleet.
func (s *Source) TLSConfig() (*tls.Config, error) {
	if _, err := s.current(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		// A peer is known by the fleet's authority and by its role, not by the name of a host; verify does both.
		InsecureSkipVerify:   true, //nolint:gosec // see above
		VerifyConnection:     s.verify,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.certificate() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.certificate() },
	}, nil
}

func (s *Source) certificate() (*tls.Certificate, error) {
	l, err := s.current()
	if err != nil {
		return nil, err
	}
	return &l.certificate, nil
}

// verify checks the other side's certificate against the fleet's authority as it is now.
func (s *Source) verify(state tls.ConnectionState) error {
	l, err := s.current()
	if err != nil {
		return err
	}
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer has no certificate")
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: l.authority, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "verify peer's certificate")
}

// current returns what is loaded, and loads it again if a file has changed; files that cannot be read or do not fit
// together leave in force what was loaded before.
func (s *Source) current() (*loaded, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.loaded != nil && now.Sub(s.checked) < checkEvery {
		return s.loaded, nil
	}
	s.checked = now
	stamp := s.stamps()
	if s.loaded != nil && stamp == s.stamp {
		return s.loaded, nil
	}
	fresh, err := s.load()
	if err != nil && s.loaded == nil {
		return nil, err
	}
	if err == nil {
		s.loaded, s.stamp = fresh, stamp
	}
	return s.loaded, nil
}

func (s *Source) stamps() [3]time.Time {
	var stamps [3]time.Time
	for i, field := range []string{s.Certificate, s.Key, s.Authority} {
		if info, err := os.Stat(field); err == nil && !isPEM(field) {
			stamps[i] = info.ModTime()
		}
	}
	return stamps
}

func (s *Source) load() (*loaded, error) {
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
		return nil, errors.New("load authority: no certificate in it")
	}
	return &loaded{certificate: certificate, authority: pool}, nil
}

func isPEM(field string) bool { return strings.Contains(field, "-----BEGIN") }

func readPEM(field string) ([]byte, error) {
	if isPEM(field) {
		return []byte(field), nil
	}
	data, err := os.ReadFile(field)
	return data, errors.Wrap(err, "read PEM file")
}

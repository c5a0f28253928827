package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach"
)

const (
	pemTypeCertificate = "CERTIFICATE"
	pemTypeKey         = "EC PRIVATE KEY"
	authorityName      = "rillreach fleet"
	// maxClockSkew is subtracted from the start of validity, because clocks of other processes may be behind.
	maxClockSkew = time.Hour
	// serialBits is the length of random serial numbers.
	serialBits = 120
)

// KeyPair is a PEM-encoded certificate and its private key.
type KeyPair struct {
	Certificate []byte
	Key         []byte
}

// Authority is the certificate authority of one fleet.
type Authority struct {
	KeyPair

	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority creates an authority with a self-signed certificate that is valid for the given time.
func NewAuthority(lifetime time.Duration) (*Authority, error) {
	template, err := newTemplate(pkix.Name{CommonName: authorityName}, lifetime)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key of certificate authority")
	}
	pair, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return &Authority{KeyPair: pair, certificate: template, key: key}, nil
}

// Issue creates a key and a certificate for a role.
func (a *Authority) Issue(role rillreach.Role, lifetime time.Duration) (KeyPair, error) {
	name := pkix.Name{CommonName: string(role), OrganizationalUnit: []string{string(role)}}
	template, err := newTemplate(name, lifetime)
	if err != nil {
		return KeyPair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "generate key")
	}
	return sign(template, a.certificate, key, a.key)
}

func newTemplate(name pkix.Name, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: name, NotBefore: now.Add(-maxClockSkew), NotAfter: now.Add(lifetime),
	}, nil
}

func sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (KeyPair, error) {
	certificate, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "sign certificate")
	}
	encoded, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "encode key")
	}
	return KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: pemTypeCertificate, Bytes: certificate}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: pemTypeKey, Bytes: encoded}),
	}, nil
}

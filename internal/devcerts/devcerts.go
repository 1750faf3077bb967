// Package devcerts creates certificates for tests and experiments: a certificate
// authority, a certificate for the processes of a fleet and one that agents
// present to callers. They are not for production use.
package devcerts

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"crocusnotch/internal/wire"
)

// CallerServerName is the DNS name in the certificate that agents present to callers.
const CallerServerName = "service.crocusnotch.internal"

// Names of the files that Write creates.
const (
	FileCA          = "ca.pem"
	FileProcessCert = "process.pem"
	FileProcessKey  = "process-key.pem"
	FileCallersCert = "callers.pem"
	FileCallersKey  = "callers-key.pem"
)

const (
	lifetime   = 30 * 24 * time.Hour
	clockSkew  = time.Hour
	serialBits = 120
	certMode   = 0o644
	keyMode    = 0o600
	dirMode    = 0o755
)

// Set is a certificate authority and the certificates that it signed.
type Set struct {
	CA      *x509.Certificate
	Process tls.Certificate
	Callers tls.Certificate
}

// New creates a certificate authority and two certificates signed by it.
func New(now time.Time) (*Set, error) {
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	template := newTemplate(now, "crocusnotch trial authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &caKey.PublicKey, caKey)
	if err != nil {
		return nil, errors.Wrap(err, "create certificate authority")
	}
	ca, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse certificate authority")
	}
	process, err := issue(now, ca, caKey, wire.FleetServerName)
	if err != nil {
		return nil, err
	}
	callers, err := issue(now, ca, caKey, CallerServerName)
	if err != nil {
		return nil, err
	}
	return &Set{CA: ca, Process: process, Callers: callers}, nil
}

func newTemplate(now time.Time, name string) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		panic(err) // crypto/rand does not fail
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(lifetime),
	}
}

// issue creates a key and a certificate for the DNS name, signed by the authority.
func issue(now time.Time, ca *x509.Certificate, caKey *ecdsa.PrivateKey, name string) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "generate key")
	}
	template := newTemplate(now, name)
	template.DNSNames = []string{name}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, ca, &key.PublicKey, caKey)
	if err != nil {
		return tls.Certificate{}, errors.Wrapf(err, "create certificate for %s", name)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// Pool returns a pool with the certificate authority.
func (s *Set) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(s.CA)
	return pool
}

// MutualTLS returns the certificates for the processes of the fleet.
func (s *Set) MutualTLS() *wire.MutualTLS { return wire.NewMutualTLS(s.Process, s.Pool()) }

// ClientTLS returns the TLS configuration of a caller.
func (s *Set) ClientTLS() *tls.Config {
	return &tls.Config{RootCAs: s.Pool(), ServerName: CallerServerName, MinVersion: tls.VersionTLS13}
}

// Write writes the certificates and their keys to dir as PEM files.
func (s *Set) Write(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return errors.Wrap(err, "write certificates")
	}
	ca := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: s.CA.Raw})
	if err := os.WriteFile(filepath.Join(dir, FileCA), ca, certMode); err != nil {
		return errors.Wrap(err, "write certificates")
	}
	if err := writePair(dir, FileProcessCert, FileProcessKey, s.Process); err != nil {
		return err
	}
	return writePair(dir, FileCallersCert, FileCallersKey, s.Callers)
}

func writePair(dir, certName, keyName string, c tls.Certificate) error {
	cert := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.Certificate[0]})
	if err := os.WriteFile(filepath.Join(dir, certName), cert, certMode); err != nil {
		return errors.Wrap(err, "write certificate")
	}
	der, err := x509.MarshalPKCS8PrivateKey(c.PrivateKey)
	if err != nil {
		return errors.Wrap(err, "encode key")
	}
	key := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der})
	if err := os.WriteFile(filepath.Join(dir, keyName), key, keyMode); err != nil {
		return errors.Wrap(err, "write key")
	}
	return nil
}

package wire

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/go-faster/errors"
)

// TLSFiles contains the paths of a process's PEM files: its certificate, its
// private key and the certificate authority of the fleet.
type TLSFiles struct {
	Cert string `json:"cert" validate:"required"`
	Key  string `json:"key" validate:"required"`
	CA   string `json:"ca" validate:"required"`
}

// FleetServerName is the DNS name in every certificate of the fleet.
const FleetServerName = "fleet.crocusnotch.internal"

// MutualTLS holds the certificates for mutual TLS connections between processes
// of the fleet.
type MutualTLS struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// LoadMutualTLS reads the PEM files.
func LoadMutualTLS(f TLSFiles) (*MutualTLS, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, errors.Wrap(err, "load certificate")
	}
	ca, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, errors.Wrap(err, "load certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, errors.Errorf("load certificate authority: %s has no certificate", f.CA)
	}
	return NewMutualTLS(cert, pool), nil
}

// NewMutualTLS returns a MutualTLS with parsed certificates.
func NewMutualTLS(cert tls.Certificate, pool *x509.CertPool) *MutualTLS {
	return &MutualTLS{cert: cert, pool: pool}
}

// Server returns the configuration of a listener that requires client
// certificates of the fleet.
func (m *MutualTLS) Server(protocols ...string) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{m.cert},
		ClientCAs:    m.pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   protocols,
	}
}

// Client returns the configuration of a connection to another process of the
// fleet.
func (m *MutualTLS) Client(protocols ...string) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{m.cert},
		RootCAs:      m.pool,
		ServerName:   FleetServerName,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   protocols,
	}
}

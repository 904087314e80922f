package labkeys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"time"

	"github.com/cockroachdb/errors"
)

const selfSignedLifetime = 10 * 365 * 24 * time.Hour // a process never outlives its certificate

// SelfSignedIdentity is a self-signed identity for deployments that hand out no keys. It encrypts but does not authenticate:
// only the deployment's network keeps strangers out.
type SelfSignedIdentity struct {
	Name string

	certificate tls.Certificate
}

// Generate makes the key and certificate.
func (e *SelfSignedIdentity) Generate() error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Newf("generate key: %w", err)
	}

	t, err := certificateTemplate(e.Name, selfSignedLifetime)
	if err != nil {
		return err
	}

	// Peers' clocks may differ by any amount, and the certificate proves nothing about time.
	t.NotBefore = time.Unix(0, 0)
	t.Subject.OrganizationalUnit = []string{string(RoleInstance)}

	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return errors.Newf("sign certificate: %w", err)
	}

	e.certificate = tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}

	return nil
}

// TLS returns a configuration for both ends that accepts any certificate.
func (e *SelfSignedIdentity) TLS(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         protocols,
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true,
		Certificates:       []tls.Certificate{e.certificate},
	}
}

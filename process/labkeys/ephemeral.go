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

const selfSignedLifetime = 10 * 365 * 24 * time.Hour // longer than any process runs

// SelfSignedIdentity is an identity for deployments without key distribution. Its connections are encrypted but not
// authenticated, so the deployment must restrict access by its network.
type SelfSignedIdentity struct {
	Name string

	certificate tls.Certificate
}

// Generate creates the key and the certificate.
func (e *SelfSignedIdentity) Generate() error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Newf("generate key: %w", err)
	}

	t, err := certificateTemplate(e.Name, selfSignedLifetime)
	if err != nil {
		return err
	}

	// The clocks of peers may differ by any amount, so the certificate is valid from 1970 on.
	t.NotBefore = time.Unix(0, 0)
	t.Subject.OrganizationalUnit = []string{string(RoleInstance)}

	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return errors.Newf("sign certificate: %w", err)
	}

	e.certificate = tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}

	return nil
}

// TLS returns a client and server configuration that accepts any certificate.
func (e *SelfSignedIdentity) TLS(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         protocols,
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true,
		Certificates:       []tls.Certificate{e.certificate},
		// The hybrid post-quantum key exchange, the default, doubles the size of a handshake. It would protect nothing here,
		// since the peers are not authenticated.
		CurvePreferences: []tls.CurveID{tls.X25519},
	}
}

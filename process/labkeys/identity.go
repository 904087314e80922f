package labkeys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// reloadInterval is the maximum time until a process uses a rotated certificate.
const reloadInterval = 2 * time.Second

// Identity is the certificate of an instance and the authorities that it trusts. The files are reread when they change.
type Identity struct {
	Folder string
	Name   string

	mutex       sync.Mutex
	checkedAt   time.Time
	modifiedAt  [3]time.Time
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// Load reads the files, so that a missing or invalid file is reported when the process starts.
func (i *Identity) Load() error {
	_, _, err := i.currentCredentials()

	return err
}

// TLS returns a client and server configuration that accepts only peers with a certificate of the deployment.
func (i *Identity) TLS(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		ClientAuth: tls.RequireAnyClientCert,
		// Peers are addressed by IP address, so the host name in the certificate can't be checked. InsecureSkipVerify
		// turns off this check and the check of the certificate chain; verify checks the chain instead.
		InsecureSkipVerify: true,
		VerifyConnection:   i.verify,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			c, _, err := i.currentCredentials()

			return c, err
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			c, _, err := i.currentCredentials()

			return c, err
		},
	}
}

// PeerName returns the name in the peer's certificate of a verified connection.
func PeerName(state tls.ConnectionState) lab.InstanceID {
	if len(state.PeerCertificates) == 0 {
		return ""
	}

	return lab.InstanceID(state.PeerCertificates[0].Subject.CommonName)
}

// PeerRole returns the role in the peer's certificate of a verified connection.
func PeerRole(state tls.ConnectionState) Role {
	if len(state.PeerCertificates) == 0 || len(state.PeerCertificates[0].Subject.OrganizationalUnit) == 0 {
		return ""
	}

	return Role(state.PeerCertificates[0].Subject.OrganizationalUnit[0])
}

func (i *Identity) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer has no certificate")
	}

	_, authorities, err := i.currentCredentials()
	if err != nil {
		return err
	}

	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:     authorities,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return errors.Newf("verify peer certificate: %w", err)
	}

	return nil
}

func (i *Identity) currentCredentials() (*tls.Certificate, *x509.CertPool, error) {
	i.mutex.Lock()
	defer i.mutex.Unlock()

	if i.certificate != nil && time.Since(i.checkedAt) < reloadInterval {
		return i.certificate, i.authorities, nil
	}

	modified, err := i.modificationTimes()
	if err == nil && (i.certificate == nil || modified != i.modifiedAt) {
		err = i.readFiles(modified)
	}

	if err != nil && i.certificate == nil {
		return nil, nil, err
	}

	// During a rotation the certificate file and the key file may briefly not match; the earlier certificate is then
	// used until the next check.
	i.checkedAt = time.Now()

	return i.certificate, i.authorities, nil
}

func (i *Identity) files() [3]string {
	return [3]string{
		filepath.Join(i.Folder, i.Name+".crt"),
		filepath.Join(i.Folder, i.Name+".key"),
		filepath.Join(i.Folder, caFile),
	}
}

func (i *Identity) modificationTimes() ([3]time.Time, error) {
	var t [3]time.Time

	for n, f := range i.files() {
		s, err := os.Stat(f)
		if err != nil {
			return t, errors.Newf("read modification time of key file: %w", err)
		}

		t[n] = s.ModTime()
	}

	return t, nil
}

func (i *Identity) readFiles(modified [3]time.Time) error {
	f := i.files()

	certificate, err := tls.LoadX509KeyPair(f[0], f[1])
	if err != nil {
		return errors.Newf("load certificate of %s: %w", i.Name, err)
	}

	b, err := os.ReadFile(f[2])
	if err != nil {
		return errors.Newf("read authorities: %w", err)
	}

	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return errors.Newf("no certificate in %s", f[2])
	}

	i.certificate, i.authorities, i.modifiedAt = &certificate, pool, modified

	return nil
}

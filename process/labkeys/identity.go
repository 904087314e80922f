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

// reloadInterval bounds how long a rotated certificate takes to be used without a restart.
const reloadInterval = 2 * time.Second

// Identity is an instance's certificate and the authorities that it trusts, reread when the files change.
type Identity struct {
	Folder string
	Name   string

	mutex       sync.Mutex
	checkedAt   time.Time
	modifiedAt  [3]time.Time
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// Load reads the files once, so that a missing or broken one is reported at start.
func (i *Identity) Load() error {
	_, _, err := i.currentCredentials()

	return err
}

// TLS returns a configuration for both ends that accepts only peers with a certificate of the deployment.
func (i *Identity) TLS(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		ClientAuth: tls.RequireAnyClientCert,
		// Peers are reached by IP address and known by certificate name; verify checks the chain in place of the
		// host name check that this setting turns off.
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

// PeerName returns the name in a verified connection's certificate.
func PeerName(state tls.ConnectionState) lab.InstanceID {
	if len(state.PeerCertificates) == 0 {
		return ""
	}

	return lab.InstanceID(state.PeerCertificates[0].Subject.CommonName)
}

// PeerRole returns the role in a verified connection's certificate.
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

	// A rotation in progress may leave the pair of files inconsistent for a moment; the earlier certificate serves on.
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
			return t, errors.Newf("look up key file: %w", err)
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

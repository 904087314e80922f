package labkeys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	authorityLifetime = 10 * 365 * 24 * time.Hour
	instanceLifetime  = 365 * 24 * time.Hour
	clockSkew         = 5 * time.Minute // tolerated clock difference; certificates are backdated by this time
	tokenKeyBytes     = 32
	serialBits        = 120

	caFile    = "ca.crt"
	caKeyFile = "ca.key"
	tokenFile = "token.key"

	privateMode = 0o600
	publicMode  = 0o644
	folderMode  = 0o700
)

// Authority is the certificate authority of a deployment. It stores its keys and the issued certificates in Folder.
type Authority struct {
	Folder string
}

// Init creates the authority's certificate and the token key. It fails if the folder already has an authority.
func (a *Authority) Init() error {
	if _, err := os.Stat(a.path(caKeyFile)); err == nil {
		return errors.Newf("keys folder %s already has an authority", a.Folder)
	}

	if err := os.MkdirAll(a.Folder, folderMode); err != nil {
		return errors.Newf("create keys folder: %w", err)
	}

	if err := a.newAuthority(nil); err != nil {
		return err
	}

	return a.newTokenKey(nil)
}

// Issue creates a certificate with the role for the named instance or operator and writes it to NAME.crt and NAME.key.
// It replaces existing files.
func (a *Authority) Issue(name string, role Role) error {
	ca, caKey, err := a.loadAuthority()
	if err != nil {
		return err
	}

	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Newf("generate instance key: %w", err)
	}

	template, err := certificateTemplate(name, instanceLifetime)
	if err != nil {
		return err
	}

	template.Subject.OrganizationalUnit = []string{string(role)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}

	der, err := x509.CreateCertificate(rand.Reader, template, ca, &key.PublicKey, caKey)
	if err != nil {
		return errors.Newf("sign certificate of %s: %w", name, err)
	}

	if err := a.writeKey(name+".key", key); err != nil {
		return err
	}

	return a.replaceFile(name+".crt", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), publicMode)
}

// Rotate creates a new authority certificate and a new token key. The old ones are accepted until Retire is called.
func (a *Authority) Rotate() error {
	old, err := os.ReadFile(a.path(caFile))
	if err != nil {
		return errors.Newf("read authorities: %w", err)
	}

	if err := a.newAuthority(old); err != nil {
		return err
	}

	oldToken, err := os.ReadFile(a.path(tokenFile))
	if err != nil {
		return errors.Newf("read token key: %w", err)
	}

	return a.newTokenKey(oldToken)
}

// Retire removes all authority certificates and token keys but the newest.
func (a *Authority) Retire() error {
	b, err := os.ReadFile(a.path(caFile))
	if err != nil {
		return errors.Newf("read authorities: %w", err)
	}

	first, _ := pem.Decode(b)
	if first == nil {
		return errors.Newf("no certificate in %s", caFile)
	}

	if err := a.replaceFile(caFile, pem.EncodeToMemory(first), publicMode); err != nil {
		return err
	}

	keys, err := TokenKeys(a.Folder)
	if err != nil {
		return err
	}

	return a.replaceFile(tokenFile, []byte(hex.EncodeToString(keys[0])+"\n"), privateMode)
}

func (a *Authority) path(file string) string {
	return filepath.Join(a.Folder, file)
}

func (a *Authority) newAuthority(older []byte) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Newf("generate authority key: %w", err)
	}

	template, err := certificateTemplate("laburnumlock authority", authorityLifetime)
	if err != nil {
		return err
	}

	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign

	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return errors.Newf("sign authority: %w", err)
	}

	if err := a.writeKey(caKeyFile, key); err != nil {
		return err
	}

	newest := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})

	return a.replaceFile(caFile, append(newest, older...), publicMode)
}

func (a *Authority) newTokenKey(older []byte) error {
	b := make([]byte, tokenKeyBytes)
	if _, err := rand.Read(b); err != nil {
		return errors.Newf("generate token key: %w", err)
	}

	return a.replaceFile(tokenFile, append([]byte(hex.EncodeToString(b)+"\n"), older...), privateMode)
}

func (a *Authority) loadAuthority() (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certificate, err := readFirstPEMBlock(a.path(caFile))
	if err != nil {
		return nil, nil, err
	}

	ca, err := x509.ParseCertificate(certificate)
	if err != nil {
		return nil, nil, errors.Newf("parse authority: %w", err)
	}

	key, err := readFirstPEMBlock(a.path(caKeyFile))
	if err != nil {
		return nil, nil, err
	}

	caKey, err := x509.ParseECPrivateKey(key)
	if err != nil {
		return nil, nil, errors.Newf("parse authority key: %w", err)
	}

	return ca, caKey, nil
}

func (a *Authority) writeKey(file string, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.Newf("encode key: %w", err)
	}

	return a.replaceFile(file, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der}), privateMode)
}

// replaceFile replaces a file atomically, so that a process that reloads it never reads a partly written file.
func (a *Authority) replaceFile(file string, content []byte, mode os.FileMode) error {
	temporary := a.path(file + ".new")
	if err := os.WriteFile(temporary, content, mode); err != nil {
		return errors.Newf("write %s: %w", file, err)
	}

	if err := os.Rename(temporary, a.path(file)); err != nil {
		return errors.Newf("replace %s: %w", file, err)
	}

	return nil
}

func certificateTemplate(name string, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Newf("generate serial number: %w", err)
	}

	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name, Organization: []string{"laburnumlock"}},
		NotBefore:    time.Now().Add(-clockSkew),
		NotAfter:     time.Now().Add(lifetime),
	}, nil
}

func readFirstPEMBlock(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Newf("read key file: %w", err)
	}

	block, _ := pem.Decode(b)
	if block == nil {
		return nil, errors.Newf("no PEM block in %s", path)
	}

	return block.Bytes, nil
}

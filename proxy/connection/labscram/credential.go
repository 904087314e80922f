package labscram

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/cockroachdb/errors"
	"github.com/xdg-go/scram"

	"laburnumlock.dev/lab"
)

// Iterations is the PBKDF2 iteration count of new credentials. It is PostgreSQL's default.
const Iterations = 4096

const saltSize = 16 // bytes, as in PostgreSQL

// NewCredential derives a credential from a password and a random salt.
func NewCredential(password string) (lab.Credential, error) {
	salt := make([]byte, saltSize)
	if _, err := rand.Read(salt); err != nil {
		return lab.Credential{}, errors.Newf("read random salt: %w", err)
	}

	return DeriveCredential(password, salt, Iterations)
}

// DeriveCredential derives a credential from a password, a salt and an iteration count.
func DeriveCredential(password string, salt []byte, iterations int) (lab.Credential, error) {
	c, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		// As in PostgreSQL and its clients, a password that SASLprep rejects is used unchanged.
		c, err = scram.SHA256.NewClientUnprepped("", password, "")
	}

	if err != nil {
		return lab.Credential{}, errors.Newf("prepare password: %w", err)
	}

	stored, err := c.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: iterations})
	if err != nil {
		return lab.Credential{}, errors.Newf("derive credential: %w", err)
	}

	return lab.Credential{
		Iterations: iterations,
		Salt:       salt,
		StoredKey:  stored.StoredKey,
		ServerKey:  stored.ServerKey,
	}, nil
}

// DecoyCredential returns a credential that no password matches, for the authentication of an unknown user. The salt is
// the same in every attempt for the same user, so that a client can't distinguish an unknown user from a wrong
// password.
func DecoyCredential(secret []byte, user string) lab.Credential {
	derive := func(label string) []byte {
		m := hmac.New(sha256.New, secret)
		_, _ = m.Write([]byte(label))
		_, _ = m.Write([]byte(user))

		return m.Sum(nil)
	}

	return lab.Credential{
		Iterations: Iterations,
		Salt:       derive("salt")[:saltSize],
		StoredKey:  derive("stored"),
		ServerKey:  derive("server"),
	}
}

package labscram

import (
	"github.com/cockroachdb/errors"
	"github.com/xdg-go/scram"

	"laburnumlock.dev/lab"
)

// Mechanism is the SASL mechanism offered to clients.
const Mechanism = "SCRAM-SHA-256"

// ErrAuthenticationFailed is returned when a client message is invalid or its proof does not match the credential.
var ErrAuthenticationFailed = errors.New("password authentication failed")

// Exchange is the server side of one SCRAM authentication.
type Exchange struct {
	conversation *scram.ServerConversation
}

// NewExchange starts an authentication against a credential.
func NewExchange(credential lab.Credential) (*Exchange, error) {
	s, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return scram.StoredCredentials{
			KeyFactors: scram.KeyFactors{Salt: string(credential.Salt), Iters: credential.Iterations},
			StoredKey:  credential.StoredKey,
			ServerKey:  credential.ServerKey,
		}, nil
	})
	if err != nil {
		return nil, errors.Newf("create scram server: %w", err)
	}

	return &Exchange{conversation: s.NewConversation()}, nil
}

// Step handles one message of the client and returns the response. It returns done after the last message of a
// successful exchange.
func (e *Exchange) Step(message string) (response string, done bool, err error) {
	response, err = e.conversation.Step(message)
	if err != nil {
		return "", false, errors.Newf("%w: %s", ErrAuthenticationFailed, err.Error())
	}

	return response, e.conversation.Done() && e.conversation.Valid(), nil
}

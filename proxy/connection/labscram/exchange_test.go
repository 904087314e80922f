package labscram_test

import (
	"strings"
	"testing"

	"github.com/xdg-go/scram"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labscram"
)

// runExchange authenticates a client with a password. It returns the server's first message and the result of the
// exchange.
func runExchange(t *testing.T, c lab.Credential, password string) (challenge string, done bool, err error) {
	t.Helper()

	client, err := scram.SHA256.NewClient("", password, "")
	assert.NilError(t, err)

	conversation := client.NewConversation()
	first, err := conversation.Step("")
	assert.NilError(t, err)

	e, err := labscram.NewExchange(c)
	assert.NilError(t, err)

	challenge, done, err = e.Step(first)
	assert.NilError(t, err)
	assert.Equal(t, done, false)

	proof, err := conversation.Step(challenge)
	assert.NilError(t, err)

	response, done, err := e.Step(proof)
	if err == nil {
		_, clientErr := conversation.Step(response)
		assert.NilError(t, clientErr)
	}

	return challenge, done, err
}

// TestExchange guards against accepting a wrong password and against revealing which users exist.
func TestExchange(t *testing.T) {
	c, err := labscram.NewCredential("secret")
	assert.NilError(t, err)

	t.Run("right password", func(t *testing.T) {
		_, done, err := runExchange(t, c, "secret")
		assert.NilError(t, err)
		assert.Equal(t, done, true)
	})
	t.Run("wrong password", func(t *testing.T) {
		_, done, err := runExchange(t, c, "Secret")
		assert.ErrorIs(t, err, labscram.ErrAuthenticationFailed)
		assert.Equal(t, done, false)
	})
	t.Run("unknown user", func(t *testing.T) {
		d := labscram.DecoyCredential([]byte("key"), "nobody")
		one, done, err := runExchange(t, d, "secret")
		assert.ErrorIs(t, err, labscram.ErrAuthenticationFailed)
		assert.Equal(t, done, false)

		known, _, _ := runExchange(t, c, "wrong")
		again, _, _ := runExchange(t, labscram.DecoyCredential([]byte("key"), "nobody"), "secret")
		other, _, _ := runExchange(t, labscram.DecoyCredential([]byte("key"), "somebody"), "secret")
		salt := func(m string) string { return strings.SplitN(m, ",", 2)[1] }

		assert.Equal(t, len(salt(one)), len(salt(known)))
		assert.Equal(t, salt(one), salt(again))
		assert.Assert(t, salt(one) != salt(other))
	})
}

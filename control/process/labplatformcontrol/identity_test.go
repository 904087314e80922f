package labplatformcontrol

import (
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labrandom"
)

func open(t *testing.T, folder string, newDeployment bool) *identity {
	t.Helper()

	i, err := openIdentity(folder, "10.0.0.1:7440", newDeployment, labrandom.NewSeeded(1))
	assert.NilError(t, err)

	return i
}

func TestIdentity(t *testing.T) {
	const address = lab.InstanceID("10.0.0.1:7440")

	t.Run("initial voter keeps its id", func(t *testing.T) {
		f := t.TempDir()
		assert.Equal(t, open(t, f, true).id, address)

		i := open(t, f, false)
		assert.Assert(t, i.id == address && i.initialVoter && !i.fresh)
	})

	t.Run("joining instance gets an id of its own", func(t *testing.T) {
		f := t.TempDir()
		i := open(t, f, false)
		assert.Assert(t, i.id != address && !i.initialVoter && i.fresh)
		assert.Equal(t, open(t, f, true).id, i.id)
	})

	// Guards against a removed initial voter that bootstraps the group again with its old id and an empty journal. An
	// initial voter can be removed while its process is suspended. Afterwards its settings still say that the
	// deployment starts for the first time. The scenario rantavahti-rota-grown trouble-1 showed this.
	t.Run("removed initial voter never bootstraps again", func(t *testing.T) {
		f := t.TempDir()
		assert.NilError(t, open(t, f, true).discard())

		i := open(t, f, true)
		assert.Assert(t, i.id != address && !i.initialVoter)
	})
}

package labinstance

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against refusing a founder that the others overtook while it still asked, and against admitting its name again
// after its disk was lost.
func TestFoundingAnswer(t *testing.T) {
	var f founding
	_, err := f.answer("c", 1, false, false)
	assert.ErrorIs(t, err, errNotReady, "a peer that has not read its journal cannot tell")

	f.ask(true)
	assertGroup(t, &f, 1, false, false)
	f.ask(false)
	assertGroup(t, &f, 1, true, false) // overtaken, same life
	assertGroup(t, &f, 2, true, true)  // a later life lost what the first one wrote
}

func assertGroup(t *testing.T, f *founding, incarnation uint64, started, want bool) {
	t.Helper()
	a, err := f.answer("c", incarnation, started, started)
	assert.NilError(t, err)
	assert.Equal(t, a.Group, want)
}

package labinstance

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against refusing a founder that the others overtook while it still asked, and against admitting its name again
// after its disk was lost.
func TestFoundingAnswer(t *testing.T) {
	var b bootstrap
	_, err := b.respond("c", 1, false, false)
	assert.ErrorIs(t, err, errNotReady, "a peer that has not read its journal cannot tell")

	b.setAskingPeers(true)
	assertGroup(t, &b, 1, false, false)
	b.setAskingPeers(false)
	assertGroup(t, &b, 1, true, false) // overtaken, same life
	assertGroup(t, &b, 2, true, true)  // a later life lost what the first one wrote
}

func assertGroup(t *testing.T, b *bootstrap, incarnation uint64, started, want bool) {
	t.Helper()
	a, err := b.respond("c", incarnation, started, started)
	assert.NilError(t, err)
	assert.Equal(t, a.GroupExists, want)
}

package labinstance

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against refusing an instance whose peers started the group while it was still asking them, and against
// admitting an instance of the same name again after its disk was lost.
func TestBootstrapResponse(t *testing.T) {
	var b bootstrap
	_, err := b.respond("c", 1, false, false)
	assert.ErrorIs(t, err, errNotReady, "a peer that has not read its journal can't know whether the group exists")

	b.setAskingPeers(true)
	assertGroup(t, &b, 1, false, false)
	b.setAskingPeers(false)
	assertGroup(t, &b, 1, true, false) // the same incarnation asks again after the group has started
	assertGroup(t, &b, 2, true, true)  // a later incarnation has lost what the first one wrote
}

func assertGroup(t *testing.T, b *bootstrap, incarnation uint64, started, want bool) {
	t.Helper()
	a, err := b.respond("c", incarnation, started, started)
	assert.NilError(t, err)
	assert.Equal(t, a.GroupExists, want)
}

package labupstream

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// Guards against sending the text of the position query with every probe, and against executing the prepared position
// query after DISCARD ALL has dropped it.
func TestPositionQueryIsPreparedOnce(t *testing.T) {
	f := newFakeUpstream(t)
	c := f.dial(t)

	probe := func(parses int32) {
		t.Helper()

		p, err := c.Probe(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, p.Received, lab.WALPosition{Term: 3, Offset: 1<<32 | 0xB})
		assert.Equal(t, f.positionParses.Load(), parses)
	}

	probe(1)
	probe(1)

	read := simpleBatch("Q")
	read.ReadOnly = true
	_, result, err := runBatch(t, c, read)
	assert.NilError(t, err)
	assert.Equal(t, result.HasPosition, true)
	assert.Equal(t, f.positionParses.Load(), int32(1))

	change := simpleBatch("SET x")
	change.ChangesSession = true
	_, _, err = runBatch(t, c, change)
	assert.NilError(t, err)
	assert.NilError(t, c.Reset(context.Background()))
	probe(2)
}

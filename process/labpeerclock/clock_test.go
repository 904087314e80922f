package labpeerclock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestBounds draws the difference of two clocks and the delays of two exchanges. A position that an observer requested
// must never look younger to another proxy than it is: a read would then miss commits.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, name))
		}

		// Times on the peer's clock; the local clock differs by offset.
		offset := span("offset") - span("negative offset")
		sent := span("sent")
		received := sent + span("way to the peer")
		answered := received + span("wait at the peer")
		arrived := answered + span("way back")

		var c Clock

		c.RecordExchange(1, sent-offset, received, answered, arrived-offset)

		at := span("time")

		peer, ok := c.ToPeer(at - offset)
		assert.Assert(t, ok)
		assert.Assert(t, peer <= at && peer >= at-(arrived-answered))

		local, ok := c.ToLocal(at)
		assert.Assert(t, ok)
		assert.Assert(t, local <= at-offset && local >= at-offset-(received-sent))
	})
}

func TestNoExchange(t *testing.T) {
	var c Clock

	_, ok := c.ToLocal(time.Second)
	assert.Assert(t, !ok)

	_, ok = c.ToPeer(time.Second)
	assert.Assert(t, !ok)
}

package lableaderclock

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

		// Times on the leader's clock; the local clock differs by offset.
		offset := span("offset") - span("negative offset")
		sent := span("sent")
		received := sent + span("way to the leader")
		answered := received + span("wait at the leader")
		arrived := answered + span("way back")

		var c Clock

		c.RecordExchange(1, sent-offset, received, answered, arrived-offset)

		at := span("time")

		leader, ok := c.ToLeader(1, at-offset)
		assert.Assert(t, ok)
		assert.Assert(t, leader <= at && leader >= at-(arrived-answered))

		local, ok := c.ToLocal(1, at)
		assert.Assert(t, ok)
		assert.Assert(t, local <= at-offset && local >= at-offset-(received-sent))
	})
}

func TestEpoch(t *testing.T) {
	var c Clock

	_, ok := c.ToLocal(0, time.Second)
	assert.Assert(t, !ok, "nothing was exchanged")

	c.RecordExchange(1, 0, 0, 0, 0)

	_, ok = c.ToLocal(2, time.Second)
	assert.Assert(t, !ok, "another leader has another clock")

	_, ok = c.ToLeader(2, time.Second)
	assert.Assert(t, !ok, "another leader has another clock")
}

package labbounds

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

func position(service string, number uint64) lab.AcknowledgedPosition {
	return lab.AcknowledgedPosition{Service: service, Position: lab.CommitPosition{Term: 1, Number: number}}
}

func TestSender(t *testing.T) {
	const process, epoch = 7, 3

	s, other := position("s", 5), position("t", 2)
	all := []lab.AcknowledgedPosition{s, other}

	start := func() *Sender {
		var n Sender

		n.RecordResponse(process, epoch, n.Changed(nil))
		n.RecordResponse(process, epoch, n.Changed(all))

		return &n
	}
	assertSent := func(t *testing.T, n *Sender, all, want []lab.AcknowledgedPosition) {
		t.Helper()

		got := n.Changed(all)
		assert.Assert(t, slices.Equal(got, want), "%v", got)
	}

	t.Run("nothing again", func(t *testing.T) {
		assertSent(t, start(), all, nil)
	})

	t.Run("changes", func(t *testing.T) {
		assertSent(t, start(), []lab.AcknowledgedPosition{position("s", 6), other}, []lab.AcknowledgedPosition{position("s", 6)})
	})

	t.Run("again without a response", func(t *testing.T) {
		n := start()
		changed := []lab.AcknowledgedPosition{position("s", 6), other}
		n.Changed(changed)
		assertSent(t, n, changed, []lab.AcknowledgedPosition{position("s", 6)})
	})

	t.Run("all to a new leader", func(t *testing.T) {
		n := start()
		n.RecordResponse(process, epoch+1, nil)
		assertSent(t, n, all, all)
	})

	t.Run("all to a process that has started again", func(t *testing.T) {
		n := start()
		n.RecordResponse(process+1, epoch, nil)
		assertSent(t, n, all, all)
	})

	t.Run("what a request carried before the leader changed", func(t *testing.T) {
		n := start()
		n.RecordResponse(process, epoch+1, n.Changed([]lab.AcknowledgedPosition{position("s", 6)}))
		assertSent(t, n, []lab.AcknowledgedPosition{position("s", 6)}, []lab.AcknowledgedPosition{position("s", 6)})
	})

	t.Run("all to another process", func(t *testing.T) {
		n := start()
		n.Reset()
		assertSent(t, n, all, all)
	})

	t.Run("a service that is gone is forgotten", func(t *testing.T) {
		n := start()
		n.Changed([]lab.AcknowledgedPosition{s})
		assert.Equal(t, len(n.learned), 1)
		assertSent(t, n, all, []lab.AcknowledgedPosition{other})
	})
}

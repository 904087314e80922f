package labforward

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// Guards against a frame decoder that panics on invalid data or changes the contents of a frame.
func FuzzReadFrame(f *testing.F) {
	for _, seed := range []frame{
		{Kind: kindBatch, RequestID: 1, Batch: &lab.MessageBatch{Messages: []byte("Q"), Statements: []lab.PreparedStatement{{Name: "s"}}}},
		{Kind: kindResponse, Data: []byte("data")},
		{Kind: kindResult, Result: &lab.BatchResult{Status: 'I'}},
		{Kind: kindFailure, Outcome: lab.OutcomeNotRun, Reason: lab.ReasonConnectionLost, Text: "text"},
	} {
		out, err := encodeFrame(seed)
		assert.NilError(f, err)
		f.Add(out)
	}

	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, _, err := readFrame(bytes.NewReader(data))
		if err != nil {
			return
		}

		out, err := encodeFrame(decoded)
		assert.NilError(t, err)

		repeated, _, err := readFrame(bytes.NewReader(out))
		assert.NilError(t, err)
		assert.Equal(t, repeated.Kind, decoded.Kind)
		assert.Equal(t, repeated.RequestID, decoded.RequestID)
		assert.Assert(t, bytes.Equal(repeated.Data, decoded.Data))
	})
}

// Guards against reads that delay writes or control traffic on the region link, and against exceeding the link's rate.
func TestBucket(t *testing.T) {
	b := newBucket(1000, 0)
	assert.Assert(t, b.trySend(0, TrafficRead, 520))

	read := &sendWaiter{size: 100, granted: make(chan struct{})}
	write := &sendWaiter{size: 1000, granted: make(chan struct{})}
	granted := func(s *sendWaiter) bool {
		select {
		case <-s.granted:
			return true
		default:
			return false
		}
	}

	assert.Assert(t, !b.trySend(0, TrafficRead, 100))
	b.queues[TrafficRead] = append(b.queues[TrafficRead], read)
	assert.Assert(t, !b.trySend(0, TrafficWrite, 1000))
	b.queues[TrafficWrite] = append(b.queues[TrafficWrite], write)

	t.Run("control passes", func(t *testing.T) {
		assert.Assert(t, b.trySend(0, TrafficControl, 100))
		assert.Equal(t, b.untilAvailable(0).Round(time.Millisecond), 600*time.Millisecond)
	})
	t.Run("write before an earlier read", func(t *testing.T) {
		assert.Assert(t, !b.trySend(610*time.Millisecond, TrafficRead, 1), "a read overtook waiting traffic")
		b.grantWaiting(610 * time.Millisecond)
		assert.Assert(t, granted(write))
		assert.Assert(t, !granted(read))
	})
	t.Run("read after the write's tokens are refilled", func(t *testing.T) {
		b.grantWaiting(1500 * time.Millisecond)
		assert.Assert(t, !granted(read))
		b.grantWaiting(1620 * time.Millisecond)
		assert.Assert(t, granted(read))
		assert.Assert(t, !b.hasPending())
	})
}

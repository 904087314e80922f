package labforward

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// Guards against a frame decoder that panics on, or changes, what a peer sends.
func FuzzReadFrame(f *testing.F) {
	for _, seed := range []frame{
		{Kind: kindUnit, RequestID: 1, Unit: &lab.MessageBatch{Messages: []byte("Q"), Statements: []lab.PreparedStatement{{Name: "s"}}}},
		{Kind: kindAnswer, Data: []byte("data")},
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

		again, _, err := readFrame(bytes.NewReader(out))
		assert.NilError(t, err)
		assert.Equal(t, again.Kind, decoded.Kind)
		assert.Equal(t, again.RequestID, decoded.RequestID)
		assert.Assert(t, bytes.Equal(again.Data, decoded.Data))
	})
}

// Guards against bulk reads that delay writes or control on the region link, and against exceeding its rate.
func TestBucket(t *testing.T) {
	b := newBucket(1000, 0)
	assert.Assert(t, b.take(0, TrafficRead, 520))

	read := &spender{size: 100, granted: make(chan struct{})}
	write := &spender{size: 1000, granted: make(chan struct{})}
	granted := func(s *spender) bool {
		select {
		case <-s.granted:
			return true
		default:
			return false
		}
	}

	assert.Assert(t, !b.take(0, TrafficRead, 100))
	b.queues[TrafficRead] = append(b.queues[TrafficRead], read)
	assert.Assert(t, !b.take(0, TrafficWrite, 1000))
	b.queues[TrafficWrite] = append(b.queues[TrafficWrite], write)

	t.Run("control passes", func(t *testing.T) {
		assert.Assert(t, b.take(0, TrafficControl, 100))
		assert.Equal(t, b.delay(0).Round(time.Millisecond), 600*time.Millisecond)
	})
	t.Run("write before an earlier read", func(t *testing.T) {
		assert.Assert(t, !b.take(610*time.Millisecond, TrafficRead, 1), "a read passed waiting traffic")
		b.grant(610 * time.Millisecond)
		assert.Assert(t, granted(write))
		assert.Assert(t, !granted(read))
	})
	t.Run("read after the write's bytes were paid", func(t *testing.T) {
		b.grant(1500 * time.Millisecond)
		assert.Assert(t, !granted(read))
		b.grant(1620 * time.Millisecond)
		assert.Assert(t, granted(read))
		assert.Assert(t, !b.pending())
	})
}

package labtransport

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against allocating memory for the length in a frame header when the data does not follow.
func TestFalseLength(t *testing.T) {
	allocated := testing.AllocsPerRun(1, func() {
		_, err := readFrame(bytes.NewReader([]byte{0x03, 0xFF, 0xFF, 0xFF, 1}))
		assert.ErrorContains(t, err, "read frame body")
	})
	assert.Assert(t, allocated < 100)

	_, err := readFrame(bytes.NewReader([]byte{0xFF, 0xFF, 0xFF, 0xFF}))
	assert.ErrorContains(t, err, "exceeds the limit")
}

// Guards against data from a peer that crashes the process.
func FuzzFrame(f *testing.F) {
	b, err := appendFrame(nil, preamble{Method: "ping", RequestID: 7})
	assert.NilError(f, err)
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		var (
			p preamble
			s responseStatus
		)

		_ = decodeFrame(bytes.NewReader(b), &p)
		_ = decodeFrame(bytes.NewReader(b), &s)
	})
}

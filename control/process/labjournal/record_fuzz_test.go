package labjournal

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a decoder that panics on arbitrary bytes or accepts bytes that encodeRecord does not produce.
func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte{})
	f.Add(encodeRecord(1, []byte("payload")))
	f.Add(append(encodeRecord(2, nil), 1, 2, 3))

	f.Fuzz(func(t *testing.T, b []byte) {
		s, p, err := decodeRecord(b)
		if err == nil {
			assert.Assert(t, bytes.HasPrefix(b, encodeRecord(s, p)))
		}

		s, p, err = decodeRecord(encodeRecord(7, b))
		assert.NilError(t, err)
		assert.Equal(t, s, uint64(7))
		assert.Assert(t, bytes.Equal(p, b))
	})
}

// Guards against a panic or an endless loop on arbitrary file content and on valid records with arbitrary payloads.
func FuzzScan(f *testing.F) {
	f.Add([]byte{}, []byte{})
	f.Add([]byte{tagBase, 0x80}, []byte{tagEntries, 0x91, 0x80})

	f.Fuzz(func(_ *testing.T, first, second []byte) {
		j := &Journal{}
		_, _ = j.scan(first)
		_, _ = j.scan(append(encodeRecord(1, first), encodeRecord(2, second)...))
	})
}

package labpack

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against data that changes in a round trip, truncated input that is accepted, and decompression without limit.
func TestPack(t *testing.T) {
	in := bytes.Repeat([]byte(`{"name":"route","timeoutMs":800},`), 1000)

	p, err := Pack(in)
	assert.NilError(t, err)
	assert.Assert(t, len(p) < len(in)/10)

	out, err := Unpack(p)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(out, in))

	_, err = Unpack(p[:len(p)/2])
	assert.ErrorContains(t, err, "decompress")

	p, err = Pack(make([]byte, MaxSize+1))
	assert.NilError(t, err)

	_, err = Unpack(p)
	assert.ErrorContains(t, err, "over")
}

package labreceivebuffer

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// TestBuffer guards against lost or reordered bytes, and against memory that is kept or isn't counted.
func TestBuffer(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))

	for range 50 {
		var (
			b        Buffer
			expected []byte
		)

		for i := range 100 {
			data := bytes.Repeat([]byte{byte(i)}, random.IntN(300))
			b.Append(data)

			expected = append(expected, data...)

			if random.IntN(3) == 0 {
				b.Join()
			}

			n := random.IntN(len(b.First()) + 1)
			if n > 0 {
				assert.Assert(t, bytes.Equal(b.First()[:n], expected[:n]))
				b.Discard(n)

				expected = expected[n:]
			}

			assert.Equal(t, b.Len(), len(expected))
			assert.Assert(t, b.Capacity() >= b.Len())
		}

		for b.Join() {
		}

		assert.Assert(t, bytes.Equal(b.First(), expected))

		if b.Len() > 0 {
			b.Discard(b.Len())
		}

		assert.Equal(t, b.Capacity(), 0)
	}
}

// TestCapacity guards against small pieces that take far more memory than they have bytes.
func TestCapacity(t *testing.T) {
	for _, size := range []int{1, 100, 16 << 10} {
		var b Buffer
		for b.Len() < 128<<10 {
			b.Append(make([]byte, size))
		}

		assert.Assert(t, b.Capacity() <= b.Len()+chunkBytes, "%d bytes for %d", b.Capacity(), b.Len())
		assert.Assert(t, len(b.chunks) < 30)
	}
}

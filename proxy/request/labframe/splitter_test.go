package labframe_test

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab/proxy/request/labframe"
)

// Guards against messages that are lost, merged or changed when the stream arrives in parts of any size.
func TestSplitter(t *testing.T) {
	stream := labframe.Append(nil, 'Q', []byte("select 1"), []byte{0})
	stream = labframe.Append(stream, 'S')
	stream = labframe.Append(stream, 'P', make([]byte, 300))

	for size := 1; size <= len(stream); size++ {
		var s labframe.Splitter

		var got []byte

		for offset := 0; offset < len(stream); offset += size {
			s.Write(stream[offset:min(offset+size, len(stream))])

			for {
				f, ok, err := s.Next(1000)
				assert.NilError(t, err)

				if !ok {
					break
				}

				got = append(got, f.Raw...)
			}
		}

		assert.DeepEqual(t, got, stream)
		assert.Equal(t, s.Buffered(), 0)
	}
}

// Guards against large buffers and wrong message boundaries when a client sends an invalid length field.
func TestLimits(t *testing.T) {
	refuses := func(tooLarge bool, data ...byte) func(*testing.T) {
		return func(t *testing.T) {
			var s labframe.Splitter

			s.Write(data)

			_, _, err := s.Next(100)

			var l *labframe.LengthError
			assert.Assert(t, errors.As(err, &l), "%v", err)
			assert.Equal(t, l.TooLarge(), tooLarge)
		}
	}

	t.Run("too short", refuses(false, 'Q', 0, 0, 0, 3))
	t.Run("negative", refuses(false, 'Q', 0xff, 0xff, 0xff, 0xff))
	t.Run("over the limit", refuses(true, 'Q', 0, 0, 0, 101))
	t.Run("startup", func(t *testing.T) {
		var s labframe.Splitter

		s.Write([]byte{0, 1, 0, 0})

		_, _, err := s.NextStartup(labframe.StartupLimit)
		assert.ErrorContains(t, err, "the limit is 10240")
	})
}

func FuzzSplitter(f *testing.F) {
	f.Add([]byte{'Q', 0, 0, 0, 5, 0, 'S', 0, 0, 0, 4}, 3)
	f.Add([]byte{0, 0, 0, 0, 5, 1}, 1) // type 0 is not a startup packet
	f.Fuzz(func(t *testing.T, data []byte, partSize int) {
		var whole, parts labframe.Splitter

		whole.Write(data)

		for rest := data; len(rest) > 0; {
			n := min(max(partSize%7, 1), len(rest))
			parts.Write(rest[:n])
			rest = rest[n:]
		}

		for {
			a, ok, err := whole.Next(64)
			b, ok2, err2 := parts.Next(64)
			assert.Equal(t, ok, ok2)
			assert.Equal(t, err == nil, err2 == nil)
			assert.Assert(t, bytes.Equal(a.Raw, b.Raw))

			if !ok {
				return
			}

			assert.Assert(t, len(a.Raw) >= labframe.HeaderSize && len(a.Body()) == len(a.Raw)-labframe.HeaderSize)
		}
	})
}

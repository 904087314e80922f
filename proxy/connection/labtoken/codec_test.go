package labtoken_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labtoken"
)

func history(string) lab.TermHistory {
	return lab.TermHistory{{Term: 1, Offset: 0}, {Term: 2, Offset: 100}}
}

func raised(t labtoken.Token, database string, term lab.PrimaryTerm, offset uint64) labtoken.Token {
	t, _ = t.Raise(database, lab.WALPosition{Term: term, Offset: offset}, history(database))

	return t
}

// Guards against forged, truncated or foreign tokens being taken for a floor, and against losing floors on rotation.
func TestCodec(t *testing.T) {
	token := raised(raised(labtoken.New("s1"), "a", 1, 70), "b", 2, 1<<40)
	c := labtoken.Codec{Keys: [][]byte{[]byte("new"), []byte("old")}}
	text := c.Encode(token)

	t.Run("round trip", func(t *testing.T) {
		got, err := c.Decode(text)
		assert.NilError(t, err)
		assert.Equal(t, got.Session(), "s1")
		assert.Equal(t, got.Floor("a"), lab.WALPosition{Term: 1, Offset: 70})
		assert.Equal(t, got.Floor("b"), lab.WALPosition{Term: 2, Offset: 1 << 40})
		assert.Equal(t, got.Floor("c"), lab.WALPosition{})
	})
	t.Run("rotation", func(t *testing.T) {
		old := labtoken.Codec{Keys: [][]byte{[]byte("old")}}
		_, err := c.Decode(old.Encode(token))
		assert.NilError(t, err)
		_, err = old.Decode(text)
		assert.ErrorIs(t, err, labtoken.ErrSignature)
	})
	t.Run("every changed character is refused", func(t *testing.T) {
		for i := range text {
			b := []byte(text)
			b[i] ^= 1
			_, err := c.Decode(string(b))
			assert.Assert(t, err != nil, "character %d", i)
		}
	})
	t.Run("truncated", func(t *testing.T) {
		for i := range text {
			_, err := c.Decode(text[:i])
			assert.Assert(t, err != nil, "length %d", i)
		}
	})
	t.Run("version", func(t *testing.T) {
		_, err := c.Decode("Ag" + text[2:])
		assert.ErrorIs(t, err, labtoken.ErrVersion)
	})
	t.Run("malformed", func(t *testing.T) {
		_, err := c.Decode("no token!")
		assert.ErrorIs(t, err, labtoken.ErrMalformed)
	})
}

// Guards against a floor that goes back, also when a failover has cut off the tail of its term.
func TestMerge(t *testing.T) {
	floor := func(have, add lab.WALPosition, want lab.WALPosition) func(*testing.T) {
		return func(t *testing.T) {
			a := raised(labtoken.New("s"), "d", have.Term, have.Offset)
			b := raised(labtoken.New("s"), "d", add.Term, add.Offset)
			assert.Equal(t, a.Merge(b, history).Floor("d"), want)
		}
	}
	p := func(term lab.PrimaryTerm, offset uint64) lab.WALPosition {
		return lab.WALPosition{Term: term, Offset: offset}
	}

	t.Run("higher", floor(p(1, 50), p(1, 60), p(1, 60)))
	t.Run("lower", floor(p(1, 60), p(1, 50), p(1, 60)))
	t.Run("new term", floor(p(1, 90), p(2, 110), p(2, 110)))
	t.Run("abandoned tail", floor(p(1, 500), p(2, 110), p(2, 110)))
	t.Run("none", floor(p(2, 110), lab.WALPosition{}, p(2, 110)))
	t.Run("unchanged", func(t *testing.T) {
		_, changed := raised(labtoken.New("s"), "d", 1, 50).Raise("d", p(1, 50), nil)
		assert.Equal(t, changed, false)
	})
}

func FuzzDecode(f *testing.F) {
	c := labtoken.Codec{Keys: [][]byte{[]byte("key")}}
	f.Add(c.Encode(raised(labtoken.New("s"), "d", 1, 50)))
	f.Fuzz(func(t *testing.T, text string) {
		if token, err := c.Decode(text); err == nil {
			assert.Equal(t, c.Encode(token), text)
		}
	})
}

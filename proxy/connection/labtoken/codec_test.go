package labtoken_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labtoken"
)

func termHistory(string) lab.TermHistory {
	return lab.TermHistory{{Term: 1, Offset: 0}, {Term: 2, Offset: 100}}
}

func withMinPosition(t labtoken.Token, database string, term lab.PrimaryTerm, offset uint64) labtoken.Token {
	t, _ = t.Raise(database, lab.WALPosition{Term: term, Offset: offset}, termHistory(database))

	return t
}

// TestCodec guards against accepting tokens that are modified, truncated or signed with an unknown key, and against
// rejecting tokens signed with an older key after a key rotation.
func TestCodec(t *testing.T) {
	token := withMinPosition(withMinPosition(labtoken.New("s1"), "a", 1, 70), "b", 2, 1<<40)
	c := labtoken.Codec{Keys: [][]byte{[]byte("new"), []byte("old")}}
	text := c.Encode(token)

	t.Run("round trip", func(t *testing.T) {
		got, err := c.Decode(text)
		assert.NilError(t, err)
		assert.Equal(t, got.SessionID(), "s1")
		assert.Equal(t, got.MinPosition("a"), lab.WALPosition{Term: 1, Offset: 70})
		assert.Equal(t, got.MinPosition("b"), lab.WALPosition{Term: 2, Offset: 1 << 40})
		assert.Equal(t, got.MinPosition("c"), lab.WALPosition{})
	})
	t.Run("rotation", func(t *testing.T) {
		old := labtoken.Codec{Keys: [][]byte{[]byte("old")}}
		_, err := c.Decode(old.Encode(token))
		assert.NilError(t, err)
		_, err = old.Decode(text)
		assert.ErrorIs(t, err, labtoken.ErrSignature)
	})
	t.Run("modified character", func(t *testing.T) {
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

// TestMerge guards against lowering a minimum position, and against keeping a minimum position that lies in WAL that a
// failover has abandoned.
func TestMerge(t *testing.T) {
	merged := func(current, other lab.WALPosition, want lab.WALPosition) func(*testing.T) {
		return func(t *testing.T) {
			a := withMinPosition(labtoken.New("s"), "d", current.Term, current.Offset)
			b := withMinPosition(labtoken.New("s"), "d", other.Term, other.Offset)
			assert.Equal(t, a.Merge(b, termHistory).MinPosition("d"), want)
		}
	}
	p := func(term lab.PrimaryTerm, offset uint64) lab.WALPosition {
		return lab.WALPosition{Term: term, Offset: offset}
	}

	t.Run("higher", merged(p(1, 50), p(1, 60), p(1, 60)))
	t.Run("lower", merged(p(1, 60), p(1, 50), p(1, 60)))
	t.Run("new term", merged(p(1, 90), p(2, 110), p(2, 110)))
	t.Run("abandoned tail", merged(p(1, 500), p(2, 110), p(2, 110)))
	t.Run("no position", merged(p(2, 110), lab.WALPosition{}, p(2, 110)))
	t.Run("unchanged", func(t *testing.T) {
		_, changed := withMinPosition(labtoken.New("s"), "d", 1, 50).Raise("d", p(1, 50), nil)
		assert.Equal(t, changed, false)
	})
}

func FuzzDecode(f *testing.F) {
	c := labtoken.Codec{Keys: [][]byte{[]byte("key")}}
	f.Add(c.Encode(withMinPosition(labtoken.New("s"), "d", 1, 50)))
	f.Fuzz(func(t *testing.T, text string) {
		if token, err := c.Decode(text); err == nil {
			assert.Equal(t, c.Encode(token), text)
		}
	})
}

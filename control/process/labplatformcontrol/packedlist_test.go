package labplatformcontrol

import (
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab/process/labpack"
)

// Guards against compressing a list again for each of 80 proxies that request the same revision.
func TestPackedList(t *testing.T) {
	var l packedList

	made := 0
	build := func() any {
		made++

		return []string{"a", "b"}
	}

	for range 80 {
		b, err := l.get(1, 5, build)
		assert.NilError(t, err)

		var got []string

		assert.NilError(t, labpack.Decode(b, &got))
		assert.DeepEqual(t, got, []string{"a", "b"})
	}

	assert.Equal(t, made, 1)

	for _, c := range []struct{ epoch, revision uint64 }{{1, 6}, {2, 6}} {
		_, err := l.get(c.epoch, c.revision, build)
		assert.NilError(t, err)
	}

	assert.Equal(t, made, 3)
}

// Guards against changes that a proxy gets although it has another list.
func TestPackedChanges(t *testing.T) {
	var c packedChanges

	assertChanges := func(epoch, from, to uint64, build, want string) {
		t.Helper()

		b, err := c.get(epoch, from, to, build)
		assert.NilError(t, err)

		var got string

		assert.NilError(t, labpack.Decode(b, &got))
		assert.Equal(t, got, want)
	}

	assertChanges(1, 4, 5, "a", "a")
	assertChanges(1, 4, 5, "not built again", "a")
	assertChanges(1, 3, 5, "b", "b")
	assertChanges(1, 4, 6, "c", "c")
	assertChanges(2, 4, 6, "d", "d")
}

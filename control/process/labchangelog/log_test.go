package labchangelog

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// assertSince compares the names since a revision. Without names, the revision must be unknown.
func assertSince(t *testing.T, l *Log, revision uint64, want ...string) {
	t.Helper()

	got, ok := l.Since(revision)
	assert.Equal(t, ok, want != nil)
	assert.DeepEqual(t, got, want)
}

// Guards against changes that are left out, which the receivers of a list would never learn.
func TestLog(t *testing.T) {
	var l Log

	l.Add("b")
	l.Add("a")

	first := l.Revision()

	got, ok := l.Since(first)
	assert.Assert(t, ok && len(got) == 0)

	l.Add("c")
	l.Add("c")
	assertSince(t, &l, first, "c")
	assertSince(t, &l, 0, "a", "b", "c")
	assertSince(t, &l, l.Revision()+1)

	l.Reset()
	assertSince(t, &l, first)

	start := l.Revision()

	for n := range 2*maxNames + 1 {
		l.Add(strconv.Itoa(n))
	}

	assertSince(t, &l, start)

	got, ok = l.Since(l.Revision() - maxNames)
	assert.Assert(t, ok && len(got) == maxNames)
}

package lablog_test

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab/process/lablog"
)

// Guards against values, such as those with spaces, that break the key=value form of a line.
func TestLine(t *testing.T) {
	var b bytes.Buffer

	l, err := lablog.New(&b, "info", "proxy-1")
	assert.NilError(t, err)
	l.Info().Str("reason", "two words").Int("count", 3).Msg("started")

	s := b.String()
	assert.Equal(t, strings.Count(s, "\n"), 1)

	for _, part := range []string{"level=info", "event=started", "instance=proxy-1", `reason="two words"`, "count=3"} {
		assert.Assert(t, strings.Contains(s, part), s)
	}
}

// Guards against a misspelt level that is silently replaced by a default.
func TestUnknownLevel(t *testing.T) {
	_, err := lablog.New(&bytes.Buffer{}, "loud", "x")
	assert.ErrorContains(t, err, "loud")
}

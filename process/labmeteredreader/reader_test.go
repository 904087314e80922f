package labmeteredreader

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab/process/labclock"
	"laburnumlock.dev/lab/process/labmemorybudget"
)

// TestReader guards against large messages that are not counted, or stay counted after they were used.
func TestReader(t *testing.T) {
	for _, c := range []struct {
		name    string
		size    int
		counted bool
		evicted bool
	}{{"ordinary", uncountedBytes, false, false}, {"large", 100 << 10, true, false}, {"too large", 1 << 20, true, true}} {
		t.Run(c.name, func(t *testing.T) {
			b := &labmemorybudget.Budget{Limit: 1 << 20, Clock: labclock.New()}
			evicted := false
			r := Reader{Source: strings.NewReader(strings.Repeat("x", c.size)), Memory: b, Evict: func() { evicted = true }}

			_, err := io.Copy(io.Discard, &r)
			assert.NilError(t, err)
			assert.Equal(t, evicted, c.evicted)
			assert.Equal(t, b.Used() >= int64(c.size), c.counted)
			r.Reset()
			assert.Equal(t, b.Used(), int64(0))
		})
	}
}

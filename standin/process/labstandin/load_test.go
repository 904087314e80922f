package labstandin_test

import (
	"sync/atomic"
	"testing"
)

// BenchmarkSelect measures the time that the stand-in server itself needs per statement. This time limits the load that
// tests can offer.
func BenchmarkSelect(b *testing.B) {
	g, ctx := startGroup(b, nil)

	var next atomic.Int64

	b.SetParallelism(1)
	b.RunParallel(func(p *testing.PB) {
		c, err := dial(ctx, g, string(rune('a'+next.Add(1)%3)), "secret")
		if err != nil {
			b.Error(err)
			return
		}

		for p.Next() {
			if _, err := c.Exec(ctx, "SELECT value FROM notes WHERE key = 'k'"); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

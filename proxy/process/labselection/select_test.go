package labselection

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSelect(t *testing.T) {
	near := Option{Member: "near", SameZone: true, SameRegion: true, HasConnection: true}
	next := Option{Member: "next", SameRegion: true, HasConnection: true}
	far := Option{Member: "far", HasConnection: true}

	with := func(o Option, change func(*Option)) Option {
		change(&o)

		return o
	}

	for _, c := range []struct {
		name string
		in   []Option
		want string
	}{
		{"low load: the nearest", []Option{far, next, near}, "near"},
		{"busy: the next nearest", []Option{far, next, with(near, func(o *Option) { o.InProgress = 2 })}, "next"},
		{"refused recently", []Option{far, next, with(near, func(o *Option) { o.Penalty = 400 * time.Millisecond })}, "next"},
		{
			"transactions hold the connections", []Option{far, with(next, func(o *Option) { o.HasConnection = false }), near}, "near",
		},
		{"replica before the primary", []Option{next, with(near, func(o *Option) { o.Primary = true })}, "next"},
		{"near primary before another region", []Option{far, with(near, func(o *Option) { o.Primary = true })}, "near"},
		{"all penalised: one is still selected", []Option{with(far, func(o *Option) { o.Penalty = time.Second })}, "far"},
		{"no options", nil, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := Select(c.in, 0)
			if c.want == "" {
				assert.Equal(t, i, -1)

				return
			}

			assert.Equal(t, c.in[i].Member, c.want)
		})
	}
}

// measured returns the option with a latency that was measured with the given weight, where 20 ms are normal.
func measured(o Option, weight float64, latency time.Duration) Option {
	o.Weight, o.Slowdown, o.Execution = weight, float64(latency)/float64(20*time.Millisecond), 20*time.Millisecond

	return o
}

func TestSelectMeasured(t *testing.T) {
	near := Option{Member: "near", SameZone: true, SameRegion: true, HasConnection: true}
	next := Option{Member: "next", SameRegion: true, HasConnection: true}
	far := Option{Member: "far", HasConnection: true}
	ejected, trial := near, near
	ejected.Ejected, trial.Ejected, trial.Trial = true, true, true
	share := func(in ...Option) float64 {
		n := 0
		for i := range uint64(1000) {
			if in[Select(in, i<<54)].Member == "near" {
				n++
			}
		}

		return float64(n) / 1000
	}

	t.Run("as fast as the others", func(t *testing.T) {
		assert.Equal(t, share(measured(near, 0.8, 20*time.Millisecond), next), 1.0)
	})

	// Load: a member is 8 times slower for 6 s.
	t.Run("slow member", func(t *testing.T) {
		assert.Equal(t, share(measured(near, 0.8, 160*time.Millisecond), next, far), 0.0)
	})

	// Guards against judging by one slow statement: with a small weight, the prior decides.
	t.Run("few samples", func(t *testing.T) {
		assert.Equal(t, share(measured(near, 0.02, 160*time.Millisecond), next), 1.0)
	})

	// Guards against hundreds of proxies that all move to the same member at once.
	t.Run("in step", func(t *testing.T) {
		s := share(measured(near, 0.8, 29*time.Millisecond), next)
		assert.Assert(t, s > 0.4 && s < 0.7, "%v of the reads stay", s)
	})

	t.Run("queue at a slow member", func(t *testing.T) {
		near := near
		near.InProgress = 1
		assert.Equal(t, share(measured(near, 1, 20*time.Millisecond), far), 1.0)
		assert.Equal(t, share(measured(near, 1, 60*time.Millisecond), far), 0.0)
	})

	t.Run("ejected member", func(t *testing.T) {
		assert.Equal(t, share(ejected, far), 0.0)
		assert.Equal(t, share(ejected), 1.0, "better than none")
		assert.Equal(t, share(trial, next), 1.0)
	})
}

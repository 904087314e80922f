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

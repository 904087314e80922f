package labslope_test

import (
	"context"
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab/bench/process/labslope"
)

// TestMain runs Clients instead of the tests if the measurement "callers" has started the test program as its client
// process.
func TestMain(m *testing.M) {
	if len(os.Args) < 4 || os.Args[1] != labslope.ClientCommand {
		os.Exit(m.Run())
	}

	c := &labslope.Clients{Address: os.Args[3], In: os.Stdin, Out: os.Stdout}
	if err := c.Run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func measure(t *testing.T, name string, points ...int) *labslope.Report {
	t.Helper()

	r, err := (&labslope.Measurement{Name: name, Points: points}).Run(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(r.Lines), len(r.Columns))

	for _, p := range r.Points {
		assert.Equal(t, len(p.Values), len(r.Columns))
	}

	return r
}

// Guards against measurements that fail or report nothing, since apart from this test they are only run by hand.
// Heartbeats and statements are omitted because they run too long; changes use the same fleet as heartbeats.
func TestMeasurements(t *testing.T) {
	t.Run("routes", func(t *testing.T) {
		r := measure(t, "routes", 20, 10)
		assert.Equal(t, r.Points[0].Size, 10.0, "points are in ascending order")
		assert.Assert(t, r.Lines[1].Slope > 100, "encoded bytes per database: %v", r.Lines[1])
	})
	t.Run("restart", func(t *testing.T) {
		assert.Equal(t, len(measure(t, "restart", 150).Points), 1)
	})
	t.Run("changes", func(t *testing.T) {
		r := measure(t, "changes", 10)
		assert.Assert(t, r.Points[0].Values[2] > 1000, "bytes of a change to 10 proxies: %v", r.Points[0])
	})
	t.Run("callers", func(t *testing.T) {
		r := measure(t, "callers", 5, 20)
		assert.Equal(t, len(r.Points), 3, "the points include one without connections")
		assert.Assert(t, r.Points[2].Values[0] > r.Points[0].Values[0], "heap without and with connections: %v", r.Points)
	})
}

// Guards against a run with an unknown measurement or an invalid point.
func TestInvalid(t *testing.T) {
	fails := func(want, name string, points ...int) func(*testing.T) {
		return func(t *testing.T) {
			_, err := (&labslope.Measurement{Name: name, Points: points}).Run(context.Background())
			assert.ErrorContains(t, err, want)
		}
	}

	t.Run("unknown name", fails("no measurement", "none"))
	t.Run("point of zero", fails("not positive", "routes", 0))
}

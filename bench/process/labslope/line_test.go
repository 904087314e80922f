package labslope_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab/bench/process/labslope"
)

func assertNear(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) < 1e-9, "got %v, want %v", got, want)
}

// Guards against a wrong fit, since the number of machines is planned from the slopes.
func TestFit(t *testing.T) {
	t.Run("exact line", func(t *testing.T) {
		l := labslope.Fit([]float64{1, 2, 4}, []float64{5, 7, 11})
		assertNear(t, l.Intercept, 3)
		assertNear(t, l.Slope, 2)
		assertNear(t, l.ResidualPct, 0)
	})
	t.Run("scattered points", func(t *testing.T) {
		l := labslope.Fit([]float64{0, 1, 2}, []float64{0, 3, 3})
		assertNear(t, l.Intercept, 0.5)
		assertNear(t, l.Slope, 1.5)
		assertNear(t, l.ResidualPct, 100.0/3)
	})
	t.Run("one point", func(t *testing.T) {
		assert.Equal(t, labslope.Fit([]float64{3}, []float64{4}), labslope.Line{Intercept: 4})
	})
	t.Run("none", func(t *testing.T) {
		assert.Equal(t, labslope.Fit(nil, nil), labslope.Line{})
	})
}

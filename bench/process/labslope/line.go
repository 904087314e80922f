package labslope

import "math"

// Line is a straight line fitted to points by least squares.
type Line struct {
	Intercept   float64 `json:"intercept"`
	Slope       float64 `json:"slope"`
	ResidualPct float64 `json:"residual_pct"` // largest vertical distance of a point from the line, in % of the point's y
}

// Fit returns the line fitted to the points (x, y). Its slope is 0 if all points have the same x.
func Fit(x, y []float64) Line {
	n := float64(len(x))
	if n == 0 {
		return Line{}
	}

	var meanX, meanY, squares, products float64

	for i := range x {
		meanX += x[i] / n
		meanY += y[i] / n
	}

	for i := range x {
		squares += (x[i] - meanX) * (x[i] - meanX)
		products += (x[i] - meanX) * (y[i] - meanY)
	}

	l := Line{Intercept: meanY}
	if squares > 0 {
		l.Slope = products / squares
		l.Intercept = meanY - l.Slope*meanX
	}

	for i := range x {
		if y[i] != 0 {
			l.ResidualPct = math.Max(l.ResidualPct, 100*math.Abs((y[i]-l.Intercept-l.Slope*x[i])/y[i]))
		}
	}

	return l
}

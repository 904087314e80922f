package labslope

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
)

// Measurement selects a measurement by name. Exported fields are set before Run.
type Measurement struct {
	Name   string
	Points []int // sizes to measure at; empty for the default sizes of the measurement
}

type measurementKind struct {
	points []int // default sizes to measure at
	run    func(ctx context.Context, points []int, r *Report) error
}

func measurementKinds() map[string]measurementKind {
	return map[string]measurementKind{
		"callers":    {[]int{500, 2000, 5000, 10000}, measureConnections},
		"heartbeats": {[]int{10, 50, 200, 830}, measureHeartbeats},
		"changes":    {[]int{10, 50, 200, 830}, measureChanges},
		"restart":    {[]int{700, 3000, 10000}, measureRestart},
		"statements": {[]int{8, 16, 32}, measureStatements},
		"routes":     {[]int{100, 500, 1500}, measureLocalCatalogs},
	}
}

// Names returns the names of all measurements.
func Names() []string {
	var names []string
	for n := range measurementKinds() {
		names = append(names, n)
	}

	slices.Sort(names)

	return names
}

// Run measures at every point in ascending order and fits a line to each column.
func (m *Measurement) Run(ctx context.Context) (*Report, error) {
	k, ok := measurementKinds()[m.Name]
	if !ok {
		return nil, errors.Newf("no measurement is named %q", m.Name)
	}

	points := slices.Clone(m.Points)
	if len(points) == 0 {
		points = k.points
	}

	slices.Sort(points)

	if points[0] <= 0 {
		return nil, errors.Newf("point %d is not positive", points[0])
	}

	r := &Report{Name: m.Name, LoadBefore: loadAverage()}
	if err := k.run(ctx, points, r); err != nil {
		return nil, errors.Newf("measure %s: %w", m.Name, err)
	}

	r.LoadAfter = loadAverage()
	r.fit()

	return r, nil
}

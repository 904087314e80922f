package labslope

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Point holds the values measured at one size, in the order of the report's columns.
type Point struct {
	Size   float64   `json:"size"`
	Values []float64 `json:"values"`
}

// Report holds the results of one measurement.
type Report struct {
	Name    string   `json:"name"`
	Unit    string   `json:"unit"`    // kind of things that the sizes count, for example proxies
	Columns []string `json:"columns"` // names of the values, each with its unit
	Points  []Point  `json:"points"`
	Lines   []Line   `json:"lines"` // lines fitted to the points, one for each column
	Notes   []string `json:"notes"`
	// LoadBefore and LoadAfter are the machine's load averages over 1, 5 and 15 minutes, read before and after the
	// measurement. They show whether other work on the machine may have distorted the measured times.
	LoadBefore string `json:"load_before"`
	LoadAfter  string `json:"load_after"`
}

func (r *Report) addPoint(size int, values ...float64) {
	r.Points = append(r.Points, Point{Size: float64(size), Values: values})
}

func (r *Report) addNote(format string, a ...any) {
	r.Notes = append(r.Notes, fmt.Sprintf(format, a...))
}

// fit fits a line to each column.
func (r *Report) fit() {
	r.Lines = nil

	for c := range r.Columns {
		var x, y []float64

		for _, p := range r.Points {
			x, y = append(x, p.Size), append(y, p.Values[c])
		}

		r.Lines = append(r.Lines, Fit(x, y))
	}
}

// Print writes the report as a table and as one line of JSON.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(name string, values []string) {
		_, _ = fmt.Fprintf(t, "%s\t%s\t\n", name, strings.Join(values, "\t"))
	}

	row(r.Unit, r.Columns)

	for _, p := range r.Points {
		row(formatNumber(p.Size), formatValues(len(p.Values), func(c int) float64 { return p.Values[c] }))
	}

	row("intercept", formatValues(len(r.Lines), func(c int) float64 { return r.Lines[c].Intercept }))
	row("slope", formatValues(len(r.Lines), func(c int) float64 { return r.Lines[c].Slope }))
	row("residual %", formatValues(len(r.Lines), func(c int) float64 { return r.Lines[c].ResidualPct }))

	if err := t.Flush(); err != nil {
		return errors.Newf("write table: %w", err)
	}

	for _, n := range r.Notes {
		_, _ = fmt.Fprintln(w, n)
	}

	_, _ = fmt.Fprintf(w, "load average before %s, after %s\n", r.LoadBefore, r.LoadAfter)

	if err := json.NewEncoder(w).Encode(r); err != nil {
		return errors.Newf("write report: %w", err)
	}

	return nil
}

func formatValues(count int, value func(int) float64) []string {
	all := make([]string, count)
	for i := range all {
		all[i] = formatNumber(value(i))
	}

	return all
}

// formatNumber formats a value with four significant digits. It rounds a value whose magnitude is 1000 or more to a
// whole number.
func formatNumber(v float64) string {
	if v >= 1000 || v <= -1000 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}

	return strconv.FormatFloat(v, 'g', 4, 64)
}

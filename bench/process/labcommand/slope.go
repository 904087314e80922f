package labcommand

import (
	"context"
	"os"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab/bench/process/labslope"
)

func (c *Command) addSlope(a *kingpin.Application) {
	k := a.Command("slope", "Measures one cost at several sizes, fits a line, and prints the report as a table and as one line of JSON.")
	name := k.Arg("name", strings.Join(labslope.Names(), ", ")+".").Required().Enum(labslope.Names()...)
	profile := k.Flag("cpu-profile", "File for a CPU profile of the run.").String()
	points := k.Flag("points", "Sizes to measure at, separated by commas.").String()

	c.actions[k.FullCommand()] = func(ctx context.Context) error {
		sizes, err := parsePoints(*points)
		if err != nil {
			return err
		}

		stop, err := startProfile(*profile)
		if err != nil {
			return err
		}

		defer stop()

		r, err := (&labslope.Measurement{Name: *name, Points: sizes}).Run(ctx)
		if err != nil {
			return err
		}

		return r.Print(c.Out)
	}
}

func (c *Command) addSlopeClients(a *kingpin.Application) {
	k := a.Command(labslope.ClientCommand, "Opens the connections that \"slope callers\" measures.").Hidden()
	address := k.Flag("address", "Address of the client listener.").Required().String()

	c.actions[k.FullCommand()] = func(ctx context.Context) error {
		return (&labslope.Clients{Address: *address, In: os.Stdin, Out: c.Out}).Run(ctx)
	}
}

func parsePoints(text string) ([]int, error) {
	var points []int

	for p := range strings.SplitSeq(text, ",") {
		if p = strings.TrimSpace(p); p == "" {
			continue
		}

		n, err := strconv.Atoi(p)
		if err != nil {
			return nil, errors.Newf("parse size in points: %w", err)
		}

		points = append(points, n)
	}

	return points, nil
}

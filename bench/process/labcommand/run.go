package labcommand

import (
	"context"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab/bench/process/labscenario"
	"laburnumlock.dev/lab/process/lablog"
	"laburnumlock.dev/lab/version/labsettings"
)

func (c *Command) addRun(a *kingpin.Application) {
	k := a.Command("run", "Runs a scenario and prints the report as a table and as one line of JSON.")
	scenario := k.Flag("scenario", "Name of the scenario.").Required().Enum(labscenario.Names()...)
	seed := k.Flag("seed", "Seed of the load.").Default("1").Uint64()
	file := k.Flag("deployment", "Deployment file.").Default("samples/rantavahti.json").ExistingFile()
	duration := k.Flag("duration", "Time under load.").Default("10s").Duration()
	bounds := k.Flag("bounds", "Exit with an error when the run misses a bound that the users' targets set.").Bool()
	trace := k.Flag("trace", "File for the trace with the recorded history.").String()
	profile := k.Flag("cpu-profile", "File for a CPU profile of the run.").String()
	level := k.Flag("log-level", "Log level: debug, info, warn or error.").Default("error").String()

	c.actions[k.FullCommand()] = func(ctx context.Context) error {
		d, err := labsettings.LoadDeployment(*file)
		if err != nil {
			return err
		}

		l, err := lablog.New(c.Err, *level, "bench")
		if err != nil {
			return err
		}

		stop, err := startProfile(*profile)
		if err != nil {
			return err
		}

		defer stop()

		s := &labscenario.Scenario{Name: *scenario, Settings: d, Seed: *seed, Duration: *duration, Trace: *trace, Logger: l}

		r, err := s.Run(ctx)
		if err != nil {
			return err
		}

		if err := r.Print(c.Out); err != nil {
			return err
		}

		if !r.Passed() {
			return ErrViolation
		}

		if missed := r.MissedBounds(); *bounds && len(missed) > 0 {
			return errors.Newf("bounds missed: %s", strings.Join(missed, "; "))
		}

		return nil
	}
}

package labcommand

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
)

// Command runs one command line; Out and Err are set before Run.
type Command struct {
	Out io.Writer
	Err io.Writer

	actions map[string]func(ctx context.Context) error
}

// ErrViolation is returned when a run broke an invariant or a limit.
var ErrViolation = errors.New("an invariant or limit was broken")

// Run parses the arguments and executes the command they name.
func (c *Command) Run(ctx context.Context, arguments []string) error {
	c.actions = map[string]func(ctx context.Context) error{}

	a := kingpin.New("laburnumbench", "Measures laburnumlock against stand-in upstreams.")
	a.UsageWriter(c.Out)
	a.ErrorWriter(c.Err)
	a.HelpFlag.Short('h')

	c.addRun(a)
	c.addStandin(a)
	c.addSlope(a)
	c.addSlopeClients(a)

	name, err := a.Parse(arguments)
	if err != nil {
		return errors.Newf("parse command line: %w", err)
	}

	return c.actions[name](ctx)
}

package labcommand

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
)

// Command runs one command line. Out and Err are set before Run.
type Command struct {
	Out io.Writer // receives reports and help texts
	Err io.Writer // receives usage errors and the log

	actions map[string]func(ctx context.Context) error // functions that run the commands, by command name
}

// ErrViolation is returned if a run violated an invariant or exceeded a limit of a member.
var ErrViolation = errors.New("the run violated an invariant or exceeded a limit of a member")

// Run parses the arguments and runs the command that they name.
func (c *Command) Run(ctx context.Context, arguments []string) error {
	c.actions = map[string]func(ctx context.Context) error{}

	a := kingpin.New("laburnumbench", "Measures laburnumlock against stand-in servers.")
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

package labcommand

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab/request/laboperator"
)

// Command runs one command line; Out and Err are set before Run.
type Command struct {
	Out io.Writer
	Err io.Writer

	actions map[string]func(ctx context.Context) error
}

// Run parses the arguments and executes the command that they name.
func (c *Command) Run(ctx context.Context, arguments []string) error {
	c.actions = map[string]func(ctx context.Context) error{}

	a := kingpin.New("laburnumctl", "Operates a laburnumlock deployment.")
	a.UsageWriter(c.Out)
	a.ErrorWriter(c.Err)
	a.HelpFlag.Short('h')

	cf := addConnection(a)
	c.addDemo(a)
	c.addStatus(a, cf)
	c.addObjects(a, cf, "template", laboperator.KindTemplate)
	c.addObjects(a, cf, "organisation", laboperator.KindOrganisation)
	c.addAudit(a, cf)
	c.addControl(a, cf)
	c.addKeys(a)
	c.addSettings(a)
	c.addCredential(a)

	name, err := a.Parse(arguments)
	if err != nil {
		return errors.Newf("parse command line: %w", err)
	}

	return c.actions[name](ctx)
}

func (c *Command) register(clause *kingpin.CmdClause, action func(ctx context.Context) error) {
	c.actions[clause.FullCommand()] = action
}

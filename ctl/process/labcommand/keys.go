package labcommand

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab/process/labkeys"
)

func (c *Command) addKeys(a *kingpin.Application) {
	k := a.Command("keys", "Creates and renews the certificates of a deployment.")
	folder := k.Flag("folder", "Keys folder.").Default("keys").String()

	c.register(k.Command("init", "Creates the authority and the session token key."), func(context.Context) error {
		return c.printLine((&labkeys.Authority{Folder: *folder}).Init(), "authority created in %s", *folder)
	})

	issue := k.Command("issue", "Issues or renews the certificate of an instance or operator.")
	role := issue.Flag("role", "instance or operator.").Default("instance").Enum("instance", "operator")
	name := issue.Arg("name", "Name of the instance or operator.").Required().String()

	c.register(issue, func(context.Context) error {
		return c.printLine((&labkeys.Authority{Folder: *folder}).Issue(*name, labkeys.Role(*role)),
			"certificate of %s issued", *name)
	})

	rotate := k.Command("rotate", "Creates a new authority and token key; the old ones stay valid until retire.")
	c.register(rotate, func(context.Context) error {
		return c.printLine((&labkeys.Authority{Folder: *folder}).Rotate(),
			"authority rotated: copy %s/ca.crt and token.key to all instances, issue their certificates anew, then run retire",
			*folder)
	})

	c.register(k.Command("retire", "Drops all but the newest authority and token key."), func(context.Context) error {
		return c.printLine((&labkeys.Authority{Folder: *folder}).Retire(), "older authorities and token keys dropped")
	})
}

// printLine prints a formatted line if err is nil, and otherwise returns err.
func (c *Command) printLine(err error, format string, a ...any) error {
	if err != nil {
		return err
	}

	if _, err := fmt.Fprintf(c.Out, format+"\n", a...); err != nil {
		return errors.Newf("write output: %w", err)
	}

	return nil
}

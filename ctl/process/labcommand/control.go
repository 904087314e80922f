package labcommand

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"laburnumlock.dev/lab/request/laboperator"
)

// addAttempts is the number of requests that add an instance. Each request waits up to 3.5 s until the new instance has
// caught up, so the instance has about a minute for it.
const addAttempts = 16

func (c *Command) addControl(a *kingpin.Application, cf *connectionFlags) {
	k := a.Command("control", "Reads and changes the group of control instances.")

	c.register(k.Command("list", "Shows voters, learners, leader and applied index."), func(ctx context.Context) error {
		return c.printControlGroup(cf, func(o *laboperator.Client) (laboperator.ControlGroup, error) {
			return o.Control(ctx)
		})
	})

	add := k.Command("add", "Adds an instance that runs with \"join\": true, and makes it a voter once it has caught up.")
	name := add.Arg("name", "New instance name, never used before.").Required().String()
	process := add.Flag("process-address", "IP address and port of its transport.").Required().String()
	operator := add.Flag("operator-address", "IP address and port of its operators' API.").Required().String()

	c.register(add, func(ctx context.Context) error {
		return c.printControlGroup(cf, func(o *laboperator.Client) (laboperator.ControlGroup, error) {
			o.Attempts = addAttempts

			return o.AddControl(ctx, *name, laboperator.ControlAddresses{Process: *process, Operator: *operator})
		})
	})

	remove := k.Command("remove", "Removes an instance from the group; its name can't be used again.")
	removed := remove.Arg("name", "Instance name.").Required().String()

	c.register(remove, func(ctx context.Context) error {
		return c.printControlGroup(cf, func(o *laboperator.Client) (laboperator.ControlGroup, error) {
			return o.RemoveControl(ctx, *removed)
		})
	})
}

func (c *Command) printControlGroup(
	cf *connectionFlags, call func(o *laboperator.Client) (laboperator.ControlGroup, error),
) error {
	client, err := cf.client()
	if err != nil {
		return err
	}

	g, err := call(client)
	if err != nil {
		return err
	}

	return c.printJSON(g)
}

package labcommand

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"laburnumlock.dev/lab/ctl/process/labdemo"
	"laburnumlock.dev/lab/process/lablog"
)

func (c *Command) addDemo(a *kingpin.Application) {
	k := a.Command("demo", "Runs a deployment of 3 control instances, 3 proxies and 3 stand-in upstreams in this process.")
	check := k.Flag("check", "Drive the deployment through failures under load, print one JSON line and exit.").Bool()
	seed := k.Flag("seed", "Seed of the check's load.").Default("1").Uint64()
	folder := k.Flag("data-folder", "Folder for keys and journals; each run uses a new folder below it.").Default("data").String()
	trace := k.Flag("trace", "File for the recorded history of the check.").String()
	level := k.Flag("log-level", "debug, info, warn or error.").Default("error").String()

	c.register(k, func(ctx context.Context) error {
		l, err := lablog.New(c.Err, *level, "demo")
		if err != nil {
			return err
		}

		d := &labdemo.Demo{Out: c.Out, Folder: *folder, Seed: *seed, Trace: *trace, Logger: l}
		if *check {
			return d.Check(ctx)
		}

		return d.Serve(ctx)
	})
}

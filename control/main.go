package main

import (
	"context"
	"os"

	"laburnumlock.dev/lab/control/process/labinstance"
	"laburnumlock.dev/lab/process/lablog"
	"laburnumlock.dev/lab/process/labprogram"
	"laburnumlock.dev/lab/version/labsettings"
)

func main() {
	p := &labprogram.Program{
		Name: "laburnumlock-control",
		Help: "Keeps the configuration and decides on leases, placements and promotions.",
		Check: func(file string) error {
			_, err := labsettings.LoadControl(file)

			return err
		},
		Start: start,
	}
	os.Exit(p.Main())
}

func start(ctx context.Context, file string) error {
	s, err := labsettings.LoadControl(file)
	if err != nil {
		return err
	}

	l, err := lablog.New(os.Stderr, s.LogLevel, s.Instance)
	if err != nil {
		return err
	}

	i := &labinstance.Instance{Settings: s, Logger: l}
	if err := i.Listen(ctx); err != nil {
		return err
	}

	return i.Run(ctx)
}

package main

import (
	"context"
	"os"

	"laburnumlock.dev/lab/process/lablog"
	"laburnumlock.dev/lab/process/labprogram"
	"laburnumlock.dev/lab/proxy/process/labproxy"
	"laburnumlock.dev/lab/version/labsettings"
)

func main() {
	p := &labprogram.Program{
		Name: "laburnumlock-proxy",
		Help: "Accepts PostgreSQL clients and forwards their transactions with session consistency.",
		Check: func(file string) error {
			_, err := labsettings.LoadProxy(file)

			return err
		},
		Start: start,
	}
	os.Exit(p.Main())
}

func start(ctx context.Context, file string) error {
	s, err := labsettings.LoadProxy(file)
	if err != nil {
		return err
	}

	l, err := lablog.New(os.Stderr, s.LogLevel, s.Instance)
	if err != nil {
		return err
	}

	p := &labproxy.Proxy{Settings: s, Logger: l}
	if err := p.Listen(ctx); err != nil {
		return err
	}

	return p.Run(ctx)
}

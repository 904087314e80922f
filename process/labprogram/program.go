package labprogram

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
)

// Program is a daemon with its command line. Its fields must be set before Main or Run is called.
type Program struct {
	Name  string
	Help  string
	Check func(file string) error                      // checks a settings file
	Start func(ctx context.Context, file string) error // runs until the context ends, then stops gracefully
}

// Main runs the command line in os.Args and returns the exit status.
func (p *Program) Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()

	if err := p.Run(ctx, os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)

		return 1
	}

	return 0
}

// Run executes the command line given by arguments and writes its output to out.
func (p *Program) Run(ctx context.Context, arguments []string, out io.Writer) error {
	a := kingpin.New(p.Name, p.Help)
	a.UsageWriter(out)
	a.HelpFlag.Short('h')

	file := a.Flag("settings", "Settings file in JSON.").Short('s').Required().ExistingFile()
	a.Command("run", "Runs until SIGINT or SIGTERM, then stops gracefully.").Default()
	check := a.Command("check", "Checks the settings file and exits.")

	command, err := a.Parse(arguments)
	if err != nil {
		return errors.Newf("parse command line: %w", err)
	}

	if command == check.FullCommand() {
		return p.check(*file, out)
	}

	return p.Start(ctx, *file)
}

func (p *Program) check(file string, out io.Writer) error {
	if err := p.Check(file); err != nil {
		return err
	}

	if _, err := fmt.Fprintf(out, "%s is valid\n", file); err != nil {
		return errors.Newf("write output: %w", err)
	}

	return nil
}

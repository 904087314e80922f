package labcommand

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab/proxy/connection/labscram"
)

func (c *Command) addCredential(a *kingpin.Application) {
	k := a.Command("credential", "Reads a password from standard input and prints its SCRAM-SHA-256 verifier as JSON.")

	c.register(k, func(context.Context) error {
		line, err := bufio.NewReader(os.Stdin).ReadString('\n')
		if err != nil && line == "" {
			return errors.Newf("read password: %w", err)
		}

		v, err := labscram.NewCredential(strings.TrimRight(line, "\r\n"))
		if err != nil {
			return err
		}

		return c.printJSON(v)
	})
}

// printJSON writes a value as indented JSON.
func (c *Command) printJSON(value any) error {
	e := json.NewEncoder(c.Out)
	e.SetIndent("", "  ")

	if err := e.Encode(value); err != nil {
		return errors.Newf("write output: %w", err)
	}

	return nil
}

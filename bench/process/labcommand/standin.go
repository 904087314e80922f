package labcommand

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab/bench/process/labdeployment"
	"laburnumlock.dev/lab/version/labsettings"
)

func (c *Command) addStandin(a *kingpin.Application) {
	k := a.Command("standin", "Runs the stand-in servers of one database until interrupted. SIGUSR1 kills the primary.")
	file := k.Flag("deployment", "Deployment file.").Required().ExistingFile()
	database := k.Flag("database", "Name of the database.").Required().String()
	announce := k.Flag("announce", "Base URL to which the members are announced; may be repeated.").Required().Strings()
	user := k.Flag("user", "User as which the proxies and control instances log in.").Default("laburnumlock").String()
	password := k.Flag("password", "Password of that user.").Required().String()
	lag := k.Flag("lag", "Replication lag.").Default("20ms").Duration()
	cost := k.Flag("statement-cost", "Time that each statement takes.").Default("1ms").Duration()

	c.actions[k.FullCommand()] = func(ctx context.Context) error {
		d, err := labsettings.LoadDeployment(*file)
		if err != nil {
			return err
		}

		g := labdeployment.NewGroup(d, *database, 0)
		g.User, g.Password, g.AnnounceURLs, g.StatementCost = *user, *password, *announce, *cost

		for i := range g.Members {
			g.Members[i].Lag = *lag
		}

		killed := make(chan os.Signal, 1)
		signal.Notify(killed, syscall.SIGUSR1)

		go func() {
			for range killed {
				g.Primary().Kill()
			}
		}()

		if err := g.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
			return errors.Newf("run stand-in servers: %w", err)
		}

		return nil
	}
}

package labcommand

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"laburnumlock.dev/lab/version/labsettings"
)

func (c *Command) addSettings(a *kingpin.Application) {
	check := a.Command("check", "Checks a settings file and prints the position of each error.")
	kind := check.Arg("kind", "proxy, control or deployment.").Required().Enum("proxy", "control", "deployment")
	file := check.Arg("file", "Settings file.").Required().ExistingFile()

	c.register(check, func(context.Context) error {
		return c.printLine(checkFile(*kind, *file), "%s is a valid %s file", *file, *kind)
	})
}

func checkFile(kind, file string) error {
	var err error

	switch kind {
	case "proxy":
		_, err = labsettings.LoadProxy(file)
	case "control":
		_, err = labsettings.LoadControl(file)
	default:
		_, err = labsettings.LoadDeployment(file)
	}

	return err
}

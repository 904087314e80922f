package labdemo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/bench/process/labdeployment"
	"laburnumlock.dev/lab/version/labsettings"
)

// Names and delays of the demo's deployment.
const (
	Organisation = "rantavahti"
	Password     = "beach"
	Database     = "rota-core"
	readClass    = "rota_board"
	template     = "rota"

	replicationLag = 20 * time.Millisecond
	statementCost  = time.Millisecond
)

// Demo is a deployment of 3 control instances, 3 proxies and one database with 3 stand-in members. Its exported fields
// are set before use.
type Demo struct {
	Out io.Writer
	// Folder is where each run creates a data folder, which it removes at the end. If Folder is empty, the data folder is
	// created in the system's temporary folder.
	Folder string
	Seed   uint64
	Trace  string // file for the recorded history of a check, empty for none
	Logger zerolog.Logger
}

// Serve starts the deployment, prints its addresses and serves until the context ends.
func (d *Demo) Serve(ctx context.Context) error {
	deployment, cleanup, err := d.start(ctx)
	if err != nil {
		return err
	}

	defer cleanup()

	if err := d.printAddresses(deployment); err != nil {
		return err
	}

	<-ctx.Done()
	_, _ = fmt.Fprintln(d.Out, "stopping")

	return deployment.Stop()
}

func (d *Demo) start(ctx context.Context) (*labdeployment.Deployment, func(), error) {
	folder, cleanup, err := d.createFolder()
	if err != nil {
		return nil, nil, err
	}

	deployment := &labdeployment.Deployment{
		Settings: settings(), Folder: folder, Password: Password, Logger: d.Logger, Lag: replicationLag,
		StatementCost: statementCost,
	}

	if err := deployment.Start(ctx); err != nil {
		err = errors.Newf("start deployment: %w", errors.CombineErrors(err, deployment.Stop()))

		cleanup()

		return nil, nil, err
	}

	return deployment, cleanup, nil
}

// createFolder creates the data folder of this run in d.Folder. The returned function removes the data folder.
func (d *Demo) createFolder() (string, func(), error) {
	if d.Folder != "" {
		if err := os.MkdirAll(d.Folder, 0o750); err != nil {
			return "", nil, errors.Newf("create data folder: %w", err)
		}
	}

	f, err := os.MkdirTemp(d.Folder, "demo-")
	if err != nil {
		return "", nil, errors.Newf("create run folder: %w", err)
	}

	return f, func() { _ = os.RemoveAll(f) }, nil
}

func (d *Demo) printAddresses(deployment *labdeployment.Deployment) error {
	var b strings.Builder

	for _, a := range deployment.ClientAddresses() {
		fmt.Fprintf(&b, "callers    postgres://%s:%s@%s/%s?sslmode=disable\n", Organisation, Password, a, Database)
	}

	for _, a := range deployment.OperatorAddresses() {
		fmt.Fprintf(&b, "operators  https://%s\n", a)
	}

	fmt.Fprintf(&b, "operate    go run ./ctl --keys %s --control %s status\n",
		filepath.Join(deployment.Folder, "keys"), strings.Join(deployment.OperatorAddresses(), ","))

	if _, err := io.WriteString(d.Out, b.String()); err != nil {
		return errors.Newf("write addresses: %w", err)
	}

	return nil
}

func settings() *labsettings.Deployment {
	zones := []string{"hanko", "kotka", "oulu"}

	return &labsettings.Deployment{
		Name: "demo",
		Zones: []labsettings.Zone{
			{Name: "hanko", Region: "gulf-coast"},
			{Name: "kotka", Region: "gulf-coast"},
			{Name: "oulu", Region: "bothnia"},
		},
		RegionLinkBits: 30_000_000,
		ProxyZones:     zones,
		ControlZones:   zones,
		DatabaseGroup:  labsettings.DatabaseGroup{Databases: []string{Database}, MemberZones: zones, Slots: 3, Connections: 25},
		Organisation:   Organisation,
		Template:       template,
		Parameters: lab.Parameters{
			ReadClasses:  []lab.ReadClass{{Name: readClass, MaxStalenessMS: 2000}},
			DrainGraceMS: 4000, ReadDeadlineMS: 5000, WriteDeadlineMS: 15_000, DeferrableDeadlineMS: 60_000, QueueLimit: 400, Weight: 1,
			IdempotencyRetentionMS: 86_400_000, ResultLimitBytes: 4 << 20,
		},
	}
}

package labdeployment

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"laburnumlock.dev/lab/process/labkeys"
	"laburnumlock.dev/lab/request/laboperator"
	"laburnumlock.dev/lab/standin/process/labstandin"
	"laburnumlock.dev/lab/version/labsettings"
)

const (
	anyPort           = "127.0.0.1:0"
	operatorName      = "operator"
	upstreamUser      = "laburnumlock"
	upstreamPassword  = "upstream"
	readyTimeout      = 20 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

// Deployment is a running deployment; exported fields are set before Start.
type Deployment struct {
	Settings *labsettings.Deployment
	Folder   string // data folder: keys, settings and the control instances' journals
	Password string // of the organisation's callers
	Logger   zerolog.Logger
	// ConnectionCost, StatementCost and Lag shape the stand-in upstreams.
	ConnectionCost time.Duration
	StatementCost  time.Duration
	Lag            time.Duration

	controlNodes []*node
	proxyNodes   []*node
	groups       map[string]*labstandin.Group
	operator     *laboperator.Client
}

// Start brings everything up and returns when every database can be written to.
func (d *Deployment) Start(ctx context.Context) error {
	if err := d.makeKeys(); err != nil {
		return err
	}

	if err := d.writePassword(); err != nil {
		return err
	}

	if err := d.startControls(ctx); err != nil {
		return err
	}

	if err := d.startProxies(ctx); err != nil {
		return err
	}

	if err := d.startGroups(ctx); err != nil {
		return err
	}

	if err := d.Configure(ctx); err != nil {
		return err
	}

	return d.WaitReady(ctx)
}

// Stop ends proxies gracefully, then control and the stand-ins.
func (d *Deployment) Stop() error {
	var failures []error

	for _, n := range append(append([]*node{}, d.proxyNodes...), d.controlNodes...) {
		failures = append(failures, n.stop())
	}

	for _, g := range d.groups {
		g.Stop()
	}

	return errors.Join(failures...)
}

// Group returns the stand-in of a database.
func (d *Deployment) Group(database string) *labstandin.Group {
	return d.groups[database]
}

// Operator returns a client of the operators' API.
func (d *Deployment) Operator() *laboperator.Client {
	return d.operator
}

// ClientAddresses returns the proxies' addresses for callers.
func (d *Deployment) ClientAddresses() []string {
	return addresses(d.proxyNodes, func(n *node) string { return n.proxy.ClientAddress() })
}

// OperatorAddresses returns the control instances' addresses for operators.
func (d *Deployment) OperatorAddresses() []string {
	return addresses(d.controlNodes, func(n *node) string { return n.control.OperatorAddress() })
}

// RestartProxy stops a proxy gracefully and starts it again at the same addresses.
func (d *Deployment) RestartProxy(ctx context.Context, number int) error {
	return d.proxyNodes[number].restart(ctx)
}

// KillProxy ends a proxy at once: sessions and transactions are cut and duties are not handed over.
func (d *Deployment) KillProxy(number int) error {
	n := d.proxyNodes[number]
	n.proxy.Settings.DrainSeconds = 0

	return n.stop()
}

// RestartControl stops a control instance and starts it again from its journal.
func (d *Deployment) RestartControl(ctx context.Context, number int) error {
	return d.controlNodes[number].restart(ctx)
}

// Leader returns the number of the leading control instance, -1 when none leads.
func (d *Deployment) Leader() int {
	for i, n := range d.controlNodes {
		if n.control.Leading() {
			return i
		}
	}

	return -1
}

func addresses(nodes []*node, address func(*node) string) []string {
	all := make([]string, 0, len(nodes))
	for _, n := range nodes {
		all = append(all, address(n))
	}

	return all
}

func (d *Deployment) makeKeys() error {
	a := &labkeys.Authority{Folder: d.keysFolder()}
	if err := a.Init(); err != nil {
		return errors.Newf("make keys: %w", err)
	}

	if err := a.Issue(operatorName, labkeys.RoleOperator); err != nil {
		return errors.Newf("make operator key: %w", err)
	}

	for _, name := range append(d.instanceNames("control", d.Settings.ControlZones), d.instanceNames("proxy", d.Settings.ProxyZones)...) {
		if err := a.Issue(name, labkeys.RoleInstance); err != nil {
			return errors.Newf("make key of %s: %w", name, err)
		}
	}

	return nil
}

func (d *Deployment) keysFolder() string {
	return filepath.Join(d.Folder, "keys")
}

func (d *Deployment) instanceNames(role string, zones []string) []string {
	names := make([]string, 0, len(zones))
	for i, z := range zones {
		names = append(names, fmt.Sprintf("%s-%s-%d", role, z, i+1))
	}

	return names
}

// WaitReady polls until an upstream of each database takes writes through each proxy.
func (d *Deployment) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()

	for _, n := range d.proxyNodes {
		for !n.ready(d.Settings.DatabaseGroup.Databases) {
			select {
			case <-time.After(readyPollInterval):
			case <-ctx.Done():
				return errors.Newf("deployment is not ready at %s: %w", n.name, ctx.Err())
			}
		}
	}

	return nil
}

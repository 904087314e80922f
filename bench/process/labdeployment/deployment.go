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

// Deployment runs control instances, proxies and stand-in servers. Exported fields are set before Start.
type Deployment struct {
	Settings       *labsettings.Deployment
	Folder         string // data folder for keys, the upstream password and the data of control instances
	Password       string // password of the organisation's clients
	Logger         zerolog.Logger
	ConnectionCost time.Duration // time that a stand-in server takes to accept a connection
	StatementCost  time.Duration // time that a stand-in server takes to execute a statement
	Lag            time.Duration // time from a commit on the primary until a replica has received the change

	controlNodes []*node
	proxyNodes   []*node
	groups       map[string]*labstandin.Group
	operator     *laboperator.Client
}

// Start starts and configures the deployment. It returns when every proxy is ready to serve every database.
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

// Stop stops the proxies gracefully, then the control instances, then the stand-in servers.
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

// Group returns the stand-in servers of a database.
func (d *Deployment) Group(database string) *labstandin.Group {
	return d.groups[database]
}

// Operator returns a client of the operators' API.
func (d *Deployment) Operator() *laboperator.Client {
	return d.operator
}

// ClientAddresses returns the addresses of the proxies' client listeners.
func (d *Deployment) ClientAddresses() []string {
	return addresses(d.proxyNodes, func(n *node) string { return n.proxy.ClientAddress() })
}

// OperatorAddresses returns the addresses at which the control instances serve the operators' API.
func (d *Deployment) OperatorAddresses() []string {
	return addresses(d.controlNodes, func(n *node) string { return n.control.OperatorAddress() })
}

// RestartProxy stops a proxy gracefully and starts it again. Its process and announce addresses stay the same.
func (d *Deployment) RestartProxy(ctx context.Context, number int) error {
	return d.proxyNodes[number].restart(ctx)
}

// KillProxy stops a proxy without draining: it drops its sessions and transactions and doesn't hand over its gateway
// roles.
func (d *Deployment) KillProxy(number int) error {
	n := d.proxyNodes[number]
	n.proxy.Settings.DrainSeconds = 0

	return n.stop()
}

// RestartControl stops a control instance and starts it again with its journal.
func (d *Deployment) RestartControl(ctx context.Context, number int) error {
	return d.controlNodes[number].restart(ctx)
}

// Leader returns the number of the control instance that is the leader, or -1 if there is none.
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
		return errors.Newf("create keys: %w", err)
	}

	if err := a.Issue(operatorName, labkeys.RoleOperator); err != nil {
		return errors.Newf("issue operator key: %w", err)
	}

	for _, name := range append(d.instanceNames("control", d.Settings.ControlZones), d.instanceNames("proxy", d.Settings.ProxyZones)...) {
		if err := a.Issue(name, labkeys.RoleInstance); err != nil {
			return errors.Newf("issue key of %s: %w", name, err)
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

// WaitReady waits until every proxy is ready to serve every database. It fails if that takes longer than
// readyTimeout.
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

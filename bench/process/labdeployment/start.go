package labdeployment

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab/control/process/labinstance"
	"laburnumlock.dev/lab/proxy/process/labproxy"
	"laburnumlock.dev/lab/standin/process/labstandin"
	"laburnumlock.dev/lab/version/labsettings"
)

const passwordMode = 0o600

// writePassword writes the upstream password to its file. It is called before any instance starts, since the instances
// read the file.
func (d *Deployment) writePassword() error {
	if err := os.WriteFile(d.passwordFile(), []byte(upstreamPassword+"\n"), passwordMode); err != nil {
		return errors.Newf("write upstream password: %w", err)
	}

	return nil
}

func (d *Deployment) passwordFile() string {
	return filepath.Join(d.Folder, "upstream_password")
}

func (d *Deployment) commonSettings(name, zone string) labsettings.Common {
	return labsettings.Common{
		Instance: name, Region: d.Settings.Region(zone), AvailabilityZone: zone, ProcessAddress: anyPort,
		AnnounceAddress: anyPort, MetricsAddress: anyPort, KeysFolder: d.keysFolder(), UpstreamUser: upstreamUser,
		UpstreamPasswordFile: d.passwordFile(), LogLevel: "info",
	}
}

func (d *Deployment) startControls(ctx context.Context) error {
	var peers []labsettings.Peer

	for i, name := range d.instanceNames("control", d.Settings.ControlZones) {
		c := d.commonSettings(name, d.Settings.ControlZones[i])
		s := &labsettings.Control{
			Common: c, DataFolder: filepath.Join(d.Folder, name), OperatorAddress: anyPort, SnapshotEntries: 1000,
		}
		n := d.controlNode(name, s)

		if err := n.listen(ctx); err != nil {
			return errors.Newf("start %s: %w", name, err)
		}

		// After a restart the instance must have the same addresses.
		s.ProcessAddress, s.OperatorAddress = n.control.ProcessAddress(), n.control.OperatorAddress()
		s.AnnounceAddress = n.control.AnnounceAddress()
		peers = append(peers, labsettings.Peer{
			Instance: name, ProcessAddress: s.ProcessAddress, OperatorAddress: s.OperatorAddress,
		})
		d.controlNodes = append(d.controlNodes, n)
	}

	for _, n := range d.controlNodes {
		n.control.Settings.Peers = peers
		n.run(ctx)
	}

	return nil
}

func (d *Deployment) controlNode(name string, s *labsettings.Control) *node {
	n := &node{name: name}
	n.listen = func(ctx context.Context) error {
		n.control = &labinstance.Instance{Settings: s, Logger: d.Logger.With().Str("process", name).Logger()}

		return n.control.Listen(ctx)
	}

	return n
}

func (d *Deployment) startProxies(ctx context.Context) error {
	control := addresses(d.controlNodes, func(n *node) string { return n.control.ProcessAddress() })

	for i, name := range d.instanceNames("proxy", d.Settings.ProxyZones) {
		c := d.commonSettings(name, d.Settings.ProxyZones[i])
		s, err := labsettings.CheckProxy(&labsettings.Proxy{
			Common: c, ClientAddress: anyPort, Control: control, EventLoops: 2, RegionLinkBits: d.Settings.RegionLinkBits,
		})
		if err != nil {
			return errors.Newf("check settings of %s: %w", name, err)
		}

		n := &node{name: name}
		n.listen = func(ctx context.Context) error {
			n.proxy = &labproxy.Proxy{Settings: s, Logger: d.Logger.With().Str("process", name).Logger()}

			return n.proxy.Listen(ctx)
		}

		if err := n.listen(ctx); err != nil {
			return errors.Newf("start %s: %w", name, err)
		}

		s.ProcessAddress, s.AnnounceAddress = n.proxy.ProcessAddress(), n.proxy.AnnounceAddress()
		d.proxyNodes = append(d.proxyNodes, n)
		n.run(ctx)
	}

	return nil
}

func (d *Deployment) startGroups(ctx context.Context) error {
	var urls []string
	for _, a := range addresses(d.proxyNodes, func(n *node) string { return n.proxy.AnnounceAddress() }) {
		urls = append(urls, "http://"+a)
	}

	d.groups = map[string]*labstandin.Group{}

	for k, name := range d.Settings.DatabaseGroup.Databases {
		g := NewGroup(d.Settings, name, k)
		g.User, g.Password, g.AnnounceURLs = upstreamUser, upstreamPassword, urls
		g.ConnectionCost, g.StatementCost = d.ConnectionCost, d.StatementCost

		for i := range g.Members {
			g.Members[i].Lag = d.Lag
		}

		if err := g.Start(context.WithoutCancel(ctx)); err != nil {
			return errors.Newf("start stand-in servers of %s: %w", name, err)
		}

		d.groups[name] = g
	}

	return nil
}

// NewGroup returns the stand-in servers of a database, one member in each of the deployment's member zones. The first
// member is the primary. Its zone is the member zone with index first.
func NewGroup(s *labsettings.Deployment, database string, first int) *labstandin.Group {
	g := &labstandin.Group{Database: database}

	for i := range s.DatabaseGroup.MemberZones {
		z := s.DatabaseGroup.MemberZones[(i+first)%len(s.DatabaseGroup.MemberZones)]
		g.Members = append(g.Members, labstandin.MemberConfig{
			Name: fmt.Sprintf("%s-%s", database, z), Region: s.Region(z), AvailabilityZone: z,
			Slots: int(s.DatabaseGroup.Slots), Connections: int(s.DatabaseGroup.Connections),
		})
	}

	return g
}

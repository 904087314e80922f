package labsettings

import (
	"fmt"
	"os"
	"slices"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// Zone is an availability zone with its region.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// DatabaseGroup describes the databases of a deployment and the members that hold them.
type DatabaseGroup struct {
	Databases   []string `json:"databases"`
	MemberZones []string `json:"member_zones"` // availability zone of each member
	Slots       int64    `json:"slots"`        // number of statements that each member runs concurrently
	Connections int64    `json:"connections"`  // number of connections that each member accepts
}

// Latency holds the one-way network delays of a deployment in microseconds.
type Latency struct {
	BetweenZonesUS   int64 `json:"between_zones_us"`
	BetweenRegionsUS int64 `json:"between_regions_us"`
	ToClientsUS      int64 `json:"to_callers_us"`
}

// Deployment describes a whole deployment: its processes, network and members, its organisation with the parameters,
// and the load.
type Deployment struct {
	Name           string             `json:"name"`
	Zones          []Zone             `json:"availability_zones"`
	Latency        Latency            `json:"latency"`
	RegionLinkBits int64              `json:"region_link_bits"` // link capacity between regions, bit/s per direction
	ConnectCostUS  int64              `json:"connect_cost_us"`  // microseconds to open a connection to an upstream
	ProxyZones     []string           `json:"proxy_zones"`      // availability zone of each proxy
	ControlZones   []string           `json:"control_zones"`    // availability zone of each control instance
	DatabaseGroup  DatabaseGroup      `json:"database_group"`
	Organisation   string             `json:"organisation"`
	Template       string             `json:"template"`
	Parameters     lab.Parameters     `json:"parameters"`
	Workload       DeploymentWorkload `json:"workload"`
}

// DeploymentWorkload is the load under which a deployment is measured.
type DeploymentWorkload struct {
	ReadsPerSecond     int64 `json:"reads_per_second"`
	WritesPerSecond    int64 `json:"writes_per_second"`
	StatementUS        int64 `json:"statement_us"`         // microseconds that one statement takes
	StaleReadsPct      int64 `json:"reads_accept_age_pct"` // percentage of reads that accept stale data
	ReplicationLagMS   int64 `json:"replication_lag_ms"`
	ClientSessionCount int64 `json:"caller_sessions"`
}

// LoadDeployment reads and checks the file of a deployment.
func LoadDeployment(file string) (*Deployment, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Newf("read deployment: %w", err)
	}

	return ParseDeployment(file, text)
}

// ParseDeployment decodes and checks a deployment. The errors refer to the file by the given name.
func ParseDeployment(name string, text []byte) (*Deployment, error) {
	s := &Deployment{}

	d, err := parse(name, text, s)
	if err != nil {
		return nil, err
	}

	c := &checks{document: d}
	s.check(c)

	return s, c.err()
}

func (s *Deployment) check(c *checks) {
	c.name("/name", s.Name)
	c.name("/organisation", s.Organisation)
	c.name("/template", s.Template)
	c.between("/region_link_bits", s.RegionLinkBits, 100_000, 1_000_000_000_000)
	c.between("/parameters/leave_grace_ms", s.Parameters.DrainGraceMS, 0, 5000)

	names := make([]string, 0, len(s.Zones))

	for n, z := range s.Zones {
		c.name(fmt.Sprintf("/availability_zones/%d/name", n), z.Name)
		c.name(fmt.Sprintf("/availability_zones/%d/region", n), z.Region)
		names = append(names, z.Name)
	}

	s.checkZones(c, "/proxy_zones", s.ProxyZones, names)
	s.checkZones(c, "/control_zones", s.ControlZones, names)
	s.checkZones(c, "/database_group/member_zones", s.DatabaseGroup.MemberZones, names)
	c.between("/database_group/slots", s.DatabaseGroup.Slots, 1, 1000)
	c.between("/database_group/connections", s.DatabaseGroup.Connections, lab.ReservedConnections+1, 10_000)

	if !slices.Contains([]int{1, 3, 5, 7}, len(s.ControlZones)) {
		c.fail("/control_zones", "has %d instances, must have 1, 3, 5 or 7", len(s.ControlZones))
	}

	for n, d := range s.DatabaseGroup.Databases {
		c.name(fmt.Sprintf("/database_group/databases/%d", n), d)
	}
}

func (s *Deployment) checkZones(c *checks, path string, zones, known []string) {
	if len(zones) == 0 {
		c.fail(path, "must name at least one availability zone")
	}

	for n, z := range zones {
		c.oneOf(fmt.Sprintf("%s/%d", path, n), z, known...)
	}
}

// Region returns the region of an availability zone.
func (s *Deployment) Region(zone string) string {
	for _, z := range s.Zones {
		if z.Name == zone {
			return z.Region
		}
	}

	return ""
}

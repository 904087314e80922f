package labsettings

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
)

// Peer names one control instance of a deployment.
type Peer struct {
	Instance        string `json:"instance"`
	ProcessAddress  string `json:"process_address"`
	OperatorAddress string `json:"operator_address"`
}

// Control holds the settings of laburnumlock-control.
type Control struct {
	Common

	DataFolder      string `json:"data_folder"`
	OperatorAddress string `json:"operator_address"`           // host:port for HTTPS with operator certificates
	Peers           []Peer `json:"peers"`                      // all 1, 3, 5 or 7 control instances, including this one
	Join            bool   `json:"join,omitempty"`             // join a running group instead of creating one
	SnapshotEntries int64  `json:"snapshot_entries,omitempty"` // number of log entries between two snapshots, default 1000
}

const (
	defaultSnapshotEntries = 1000
)

// LoadControl reads and checks the settings file of a control instance.
func LoadControl(file string) (*Control, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Newf("read settings: %w", err)
	}

	return ParseControl(file, text)
}

// ParseControl decodes and checks the settings of a control instance. The errors refer to the file by the given name.
func ParseControl(name string, text []byte) (*Control, error) {
	s := &Control{SnapshotEntries: defaultSnapshotEntries}

	d, err := parse(name, text, s)
	if err != nil {
		return nil, err
	}

	s.defaults()

	c := &checks{document: d}
	s.check(c)
	s.checkControlSettings(c)

	return s, c.err()
}

func (s *Control) checkControlSettings(c *checks) {
	c.required("/data_folder", s.DataFolder)
	c.address("/operator_address", s.OperatorAddress)
	c.between("/snapshot_entries", s.SnapshotEntries, 10, 1_000_000)

	switch len(s.Peers) {
	case 1, 3, 5, 7:
	default:
		c.fail("/peers", "has %d instances, must have 1, 3, 5 or 7", len(s.Peers))
	}

	s.checkPeers(c)
}

func (s *Control) checkPeers(c *checks) {
	names := map[string]bool{}

	for n, p := range s.Peers {
		path := fmt.Sprintf("/peers/%d", n)
		c.name(path+"/instance", p.Instance)
		c.address(path+"/process_address", p.ProcessAddress)
		c.address(path+"/operator_address", p.OperatorAddress)

		if names[p.Instance] {
			c.fail(path+"/instance", "%q is listed twice", p.Instance)
		}

		names[p.Instance] = true
	}

	if !names[s.Instance] {
		c.fail("/peers", "must contain this instance, %q", s.Instance)
	}
}

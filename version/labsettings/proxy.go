package labsettings

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
)

// Proxy holds the settings of laburnumlock-proxy.
type Proxy struct {
	Common

	ClientAddress     string   `json:"caller_address"`                // host:port for clients, PostgreSQL protocol
	Control           []string `json:"control"`                       // process addresses of the control instances
	DataFolder        string   `json:"data_folder,omitempty"`         // folder of registry snapshots; empty without a disk
	MaxClients        int64    `json:"max_callers,omitempty"`         // maximum client connections, default 20000
	MaxMessageBytes   int64    `json:"max_message_bytes,omitempty"`   // maximum size of a client message, default 16 MiB
	RegionLinkBits    int64    `json:"region_link_bits,omitempty"`    // capacity to other regions, bit/s, default 30000000
	DrainSeconds      int64    `json:"drain_seconds,omitempty"`       // time limit of a graceful stop, default 60
	EventLoops        int64    `json:"event_loops,omitempty"`         // number of event loops; 0 for one per processor
	StartupDeadlineMS int64    `json:"startup_deadline_ms,omitempty"` // time limit of a client's login, default 10000
}

// The defaults of optional settings.
const (
	defaultMaxClients        = 20_000
	defaultMaxMessageBytes   = 16 << 20
	defaultRegionLinkBits    = 30_000_000
	defaultDrainSeconds      = 60
	defaultStartupDeadlineMS = 10_000
)

// LoadProxy reads and checks the settings file of a proxy.
func LoadProxy(file string) (*Proxy, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Newf("read settings: %w", err)
	}

	return ParseProxy(file, text)
}

// ParseProxy decodes and checks the settings of a proxy. The errors refer to the file by the given name.
func ParseProxy(name string, text []byte) (*Proxy, error) {
	s := &Proxy{}

	d, err := parse(name, text, s)
	if err != nil {
		return nil, err
	}

	s.defaults()
	s.proxyDefaults()

	c := &checks{document: d}
	s.check(c)
	s.checkProxySettings(c)

	return s, c.err()
}

// CheckProxy checks settings that do not come from a file, and returns them with defaults for the omitted ones.
func CheckProxy(s *Proxy) (*Proxy, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Newf("encode settings: %w", err)
	}

	return ParseProxy("settings", text)
}

func (s *Proxy) proxyDefaults() {
	for value, fallback := range map[*int64]int64{
		&s.MaxClients:        defaultMaxClients,
		&s.MaxMessageBytes:   defaultMaxMessageBytes,
		&s.RegionLinkBits:    defaultRegionLinkBits,
		&s.DrainSeconds:      defaultDrainSeconds,
		&s.StartupDeadlineMS: defaultStartupDeadlineMS,
	} {
		if *value == 0 {
			*value = fallback
		}
	}
}

func (s *Proxy) checkProxySettings(c *checks) {
	c.address("/caller_address", s.ClientAddress)
	c.between("/max_callers", s.MaxClients, 1, 1_000_000)
	c.between("/max_message_bytes", s.MaxMessageBytes, 64<<10, 1<<30)
	c.between("/region_link_bits", s.RegionLinkBits, 100_000, 1_000_000_000_000)
	c.between("/drain_seconds", s.DrainSeconds, 1, 3600)
	c.between("/event_loops", s.EventLoops, 0, 256)
	c.between("/startup_deadline_ms", s.StartupDeadlineMS, 100, 600_000)

	if len(s.Control) == 0 {
		c.fail("/control", "must name at least one control instance")
	}

	for n, a := range s.Control {
		c.address(fmt.Sprintf("/control/%d", n), a)
	}
}
